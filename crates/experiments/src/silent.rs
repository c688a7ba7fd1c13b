//! `consul-silent`: 20 s of silence in several forms, beside the same load undisturbed.

use crate::RunOptions;
use crate::load::{self, LoadResult};
use crate::report::{Chart, ChartSeries, ExperimentReport};
use crate::site::{DESTINATION, TestBed, consul_settings, progress, wait_until};
use orchidyoke_fakes::consul::ConsulFault;
use orchidyoke_fakes::destination::CapacityModel;
use serde_json::{Value, json};
use std::time::{Duration, Instant};

const SPAN: Duration = Duration::from_secs(25);
const FROM: Duration = Duration::from_secs(3);
const TO: Duration = Duration::from_secs(23);
const RATE: f64 = 60.0;
/// Share delivered, against the same load undisturbed.
const AIM: f64 = 0.99;

pub fn run(run: &RunOptions) -> Result<ExperimentReport, String> {
    let forms: Vec<(&str, ConsulFault)> = vec![
        ("undisturbed", ConsulFault::None),
        ("says nothing", ConsulFault::Unresponsive),
        ("refuses connections", ConsulFault::Down),
        ("vanishes in the middle", ConsulFault::CloseOnRequest),
        (
            "500 No cluster leader",
            ConsulFault::Status { status: 500, text: "No cluster leader", retry_after_s: None },
        ),
        ("empty list, no leader", ConsulFault::NoLeader { complete: false }),
        ("answer cut short", ConsulFault::TruncatedBody),
        ("answer without an end", ConsulFault::EndlessBody),
    ];
    let program = run.program()?;
    let mut sites = Vec::new();
    for (number, (name, fault)) in forms.iter().enumerate() {
        let site = TestBed::new(&format!("silent-{number}"), CapacityModel::default());
        for place in 0..3 {
            site.register_endpoint(&format!("w{place}"));
        }
        let script = consul_settings(site.consul.address(), 200.0);
        let (folder, forwarder) = site.start_forwarder(&program, 0, &site.config().text(), Some(&script));
        site.wait_for_list(&forwarder)?;
        sites.push((*name, fault, site, folder, forwarder));
    }
    let start = Instant::now();
    let loads: Vec<_> = sites
        .iter()
        .map(|(.., forwarder)| {
            let plan = load::poisson_plan(run.seed, RATE, SPAN, &["orders", "status"], DESTINATION);
            load::start(forwarder.address, start, plan)
        })
        .collect();
    let bar = progress("consul-silent", SPAN);
    wait_until(&bar, start, FROM);
    for (name, fault, site, ..) in &sites {
        if run.sabotage && *name != "undisturbed" {
            for place in 0..3 {
                site.consul.deregister("n1", &format!("w{place}"));
            }
        } else {
            site.consul.set_fault((*fault).clone());
        }
    }
    wait_until(&bar, start, TO);
    sites.iter().for_each(|(_, _, site, ..)| site.consul.set_fault(ConsulFault::None));
    wait_until(&bar, start, SPAN);
    bar.finish_and_clear();
    let handed: Vec<LoadResult> = loads
        .into_iter()
        .map(|load| load.join().map_err(|_| "the load has panicked"))
        .collect::<Result<_, _>>()?;
    let (mut rows, mut lines, mut broken, mut forms) =
        (Vec::new(), Vec::new(), Vec::new(), Vec::<Value>::new());
    let mut undisturbed = 0.0;
    for ((name, _, site, ..), handed) in sites.iter().zip(&handed) {
        let ends = site.wait_for_outcomes(std::slice::from_ref(handed));
        let share = ends.delivered as f64 / ends.submitted.max(1) as f64;
        if *name == "undisturbed" {
            undisturbed = share;
        }
        let kept = if undisturbed > 0.0 { share / undisturbed } else { 0.0 };
        let second = |call: &orchidyoke_fakes::destination::Call| {
            call.received_at.saturating_duration_since(start).as_secs()
        };
        let each: Vec<f64> = (0..SPAN.as_secs())
            .map(|n| ends.calls.iter().filter(|call| call.served && second(call) == n).count() as f64)
            .collect();
        let least =
            each[FROM.as_secs() as usize + 1..TO.as_secs() as usize].iter().copied().fold(f64::MAX, f64::min);
        if kept < AIM {
            broken
                .push(format!("{name}: {kept:.3} of the undisturbed share was delivered, {AIM} is the aim"));
        }
        if least < 1.0 {
            broken.push(format!(
                "{name}: a second passed in the silence without a delivery: the list was empty"
            ));
        }
        if ends.lost > 0 || ends.duplicated > 0 {
            broken.push(format!("{name}: {} messages lost, {} duplicated", ends.lost, ends.duplicated));
        }
        rows.push(vec![
            (*name).to_owned(),
            ends.submitted.to_string(),
            format!("{share:.4}"),
            format!("{kept:.4}"),
            format!("{least:.0}"),
            ends.lost.to_string(),
            ends.duplicated.to_string(),
            site.consul.request_count().to_string(),
        ]);
        let points = each.iter().enumerate().map(|(second, calls)| (second as f64, *calls)).collect();
        lines.push(ChartSeries { name: (*name).to_owned(), points });
        forms.push(json!({"form": name, "share": share, "against_undisturbed": kept, "lost": ends.lost,
            "duplicated": ends.duplicated, "least_per_second": least}));
    }
    let title = "Deliveries each second; Consul is silent from 3 s to 23 s".to_owned();
    Ok(ExperimentReport {
        columns: vec![
            "Consul",
            "messages",
            "delivered",
            "against undisturbed",
            "least in a second",
            "lost",
            "duplicated",
            "questions",
        ],
        rows,
        chart: Chart { title, x_label: "s".to_owned(), y_label: "deliveries".to_owned(), series: lines },
        violations: broken,
        json: json!({"experiment": "consul-silent", "seed": run.seed, "forms": forms}),
    })
}

//! `consul-cold`: a partner returns healthy but cold, and Consul says that all is well again.

use crate::RunOptions;
use crate::load;
use crate::report::{Chart, ChartSeries, ExperimentReport};
use crate::site::{DESTINATION, TestBed, consul_settings, progress, wait_until};
use orchidyoke_fakes::destination::{CapacityModel, Mode, OverloadBehavior};
use serde_json::json;
use std::time::{Duration, Instant};

const SPAN: Duration = Duration::from_secs(26);
const OUT_FROM: Duration = Duration::from_secs(4);
const BACK_FROM: Duration = Duration::from_secs(10);
/// What the partner bears when warm, and what all forwarders together are handed, a second.
const CAPACITY: f64 = 400.0;
const RATE: f64 = 160.0;
const FORWARDERS: usize = 2;
const ENDPOINTS: usize = 3;
/// Calls that a forwarder may have out: enough for windows alone to be no protection.
const SLOTS: usize = 512;

pub fn run(run: &RunOptions) -> Result<ExperimentReport, String> {
    let program = run.program()?;
    // It lets calls wait rather than turn them away: no push-back helps the forwarders to keep their measure.
    let bearing = CapacityModel {
        capacity_rps: CAPACITY,
        service_time: Duration::from_millis(20),
        overload_behavior: OverloadBehavior::Queue,
        ..CapacityModel::default()
    };
    let mut sites = Vec::new();
    for seed in run.seed..run.seed + run.seeds.max(1) {
        let site = TestBed::new(&format!("cold-{seed}"), bearing);
        for place in 0..ENDPOINTS {
            site.register_endpoint(&format!("w{place}"));
        }
        let mut setup = site.config();
        setup.fleet_size = FORWARDERS;
        setup.max_in_flight = SLOTS;
        // Sabotage: a forwarder that believes that nothing can tip the partner over, and that it is warm at once.
        let config = match run.sabotage {
            false => setup.text(),
            true => setup
                .text()
                .replace("\"fall_multiple\":2", "\"fall_multiple\":1000000")
                .replace("\"cold_from\":0.18", "\"cold_from\":1.0"),
        };
        let script = consul_settings(site.consul.address(), CAPACITY);
        let forwarders: Vec<_> = (0..FORWARDERS)
            .map(|number| site.start_forwarder(&program, number, &config, Some(&script)))
            .collect();
        for (_, forwarder) in &forwarders {
            site.wait_for_list(forwarder)?;
        }
        sites.push((seed, site, forwarders));
    }
    let start = Instant::now();
    let mut loads = Vec::new();
    for (seed, _, forwarders) in &sites {
        for (number, (_, forwarder)) in forwarders.iter().enumerate() {
            let seed = seed * 1000 + number as u64;
            let plan = load::poisson_plan(seed, RATE / FORWARDERS as f64, SPAN, &["status"], DESTINATION);
            loads.push(load::start(forwarder.address, start, plan));
        }
    }
    let bar = progress("consul-cold", SPAN);
    let mut bears = Vec::new();
    for second in 0..SPAN.as_secs() {
        let at = Duration::from_secs(second);
        wait_until(&bar, start, at);
        for (_, site, _) in &sites {
            let all = |status| (0..ENDPOINTS).for_each(|place| told(site, place, status));
            if at == OUT_FROM {
                // It is away, and Consul says so before any call shows it.
                all("critical");
                site.destination.set_mode(Mode::Unavailable);
            } else if at == BACK_FROM {
                site.destination.recover();
                all("passing");
            }
        }
        wait_until(&bar, start, at + Duration::from_millis(500));
        bears.push(sites[0].1.destination.current_capacity());
    }
    wait_until(&bar, start, SPAN);
    bar.finish_and_clear();
    let mut handed = Vec::new();
    for load in loads {
        handed.push(load.join().map_err(|_| "the load has panicked")?);
    }
    let (mut rows, mut broken, mut tips_all, mut lost, mut duplicated) = (Vec::new(), Vec::new(), 0, 0, 0);
    let mut sent_most = vec![0.0_f64; SPAN.as_secs() as usize];
    let mut sent_mean = sent_most.clone();
    for ((seed, site, _), handed) in sites.iter().zip(handed.chunks(FORWARDERS)) {
        let (ends, at) = (site.wait_for_outcomes(handed), site.destination.collapses());
        let tips = at.len();
        let at: Vec<_> = at.iter().map(|at| format!("{:.2}", (*at - start).as_secs_f64())).collect();
        let mut each = vec![0.0; SPAN.as_secs() as usize];
        for call in &ends.calls {
            let second = call.received_at.saturating_duration_since(start).as_secs() as usize;
            each.get_mut(second).into_iter().for_each(|count| *count += 1.0);
        }
        for (second, count) in each.iter().enumerate() {
            sent_most[second] = sent_most[second].max(*count);
            sent_mean[second] += count / sites.len() as f64;
        }
        let back = BACK_FROM.as_secs() as usize;
        let served = ends.calls.iter().filter(|c| c.served && c.received_at > start + BACK_FROM).count();
        rows.push(vec![
            seed.to_string(),
            ends.submitted.to_string(),
            at.join(" "),
            format!("{:.0}", each[back..back + 4].iter().copied().fold(0.0, f64::max)),
            served.to_string(),
            ends.lost.to_string(),
            ends.duplicated.to_string(),
        ]);
        if tips > 0 {
            broken.push(format!("seed {seed}: the partner was tipped over {tips} times"));
        }
        (tips_all, lost, duplicated) = (tips_all + tips, lost + ends.lost, duplicated + ends.duplicated);
        if served == 0 {
            broken.push(format!("seed {seed}: nothing was delivered after the return"));
        }
    }
    // One that waited in the partner's line past its time-out may be served twice: its class allows the repeat.
    if lost > 0 {
        broken.push(format!("{lost} messages lost"));
    }
    let points = |values: &[f64]| values.iter().enumerate().map(|(s, value)| (s as f64, *value)).collect();
    let limit: Vec<f64> = bears.iter().map(|bears| bears * bearing.overload_factor).collect();
    let lines = vec![
        ChartSeries { name: "sent, mean of the seeds".to_owned(), points: points(&sent_mean) },
        ChartSeries { name: "sent, most of any seed".to_owned(), points: points(&sent_most) },
        ChartSeries { name: "what it can do".to_owned(), points: points(&bears) },
        ChartSeries { name: "tips over if kept up for 2 s".to_owned(), points: points(&limit) },
    ];
    let title = "Calls each second; out from 4 s to 10 s, then back and cold".to_owned();
    Ok(ExperimentReport {
        columns: vec![
            "seed",
            "messages",
            "tipped over at s",
            "most in a second of the first 4 back",
            "delivered after the return",
            "lost",
            "duplicated",
        ],
        rows,
        chart: Chart { title, x_label: "s".to_owned(), y_label: "calls a second".to_owned(), series: lines },
        violations: broken,
        json: json!({"experiment": "consul-cold", "seed": run.seed, "seeds": run.seeds, "tip_overs": tips_all,
            "lost": lost, "duplicated": duplicated, "unrestrained": run.sabotage}),
    })
}

fn told(site: &TestBed, place: usize, status: &str) {
    site.consul.set_status("n1", &format!("w{place}"), status);
}

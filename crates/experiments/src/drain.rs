//! `consul-drain`: endpoints flap, drain and vanish under load.

use crate::RunOptions;
use crate::load;
use crate::report::{Chart, ChartSeries, ExperimentReport};
use crate::site::{DESTINATION, TestBed, consul_settings, percentile, progress, wait_until};
use orchidyoke_fakes::consul::Instance;
use orchidyoke_fakes::destination::CapacityModel;
use orchidyoke_fakes::forwarder::endpoint_entry;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const SPAN: Duration = Duration::from_secs(20);
const RATE: f64 = 500.0;
const ENDPOINTS: usize = 6;
/// Between two changes of the catalogue, and as long as an endpoint is out.
const CHANGE: Duration = Duration::from_millis(150);
const OUT: Duration = Duration::from_millis(600);
const BOUND: Duration = Duration::from_millis(250);

/// An endpoint that was taken out, how, with which change, and until when.
struct Removal {
    how: &'static str,
    endpoint: SocketAddr,
    index: u64,
    until: Instant,
}

pub fn run(run: &RunOptions) -> Result<ExperimentReport, String> {
    let site = TestBed::new("drain", CapacityModel::default());
    let endpoints: Vec<SocketAddr> =
        (0..ENDPOINTS).map(|number| site.register_endpoint(&format!("w{number}"))).collect();
    let mut setup = site.config();
    if run.sabotage {
        let targets =
            endpoints.iter().enumerate().map(|(n, e)| endpoint_entry(&format!("s{n}"), *e, DESTINATION));
        setup.endpoints = targets.collect();
    }
    let script = (!run.sabotage).then(|| consul_settings(site.consul.address(), 400.0));
    let (_folder, forwarder) = site.start_forwarder(&run.program()?, 0, &setup.text(), script.as_deref());
    site.wait_for_list(&forwarder)?;
    let start = Instant::now();
    let plan = load::poisson_plan(run.seed, RATE, SPAN, &["orders", "status", "refund"], DESTINATION);
    let loading = load::start(forwarder.address, start, plan);
    let bar = progress("consul-drain", SPAN);
    let mut rng = StdRng::seed_from_u64(run.seed ^ 0xd7a1);
    let mut removals: Vec<Removal> = Vec::new();
    let mut back: Vec<(Instant, usize, &'static str)> = Vec::new();
    let mut at = Duration::from_secs(1);
    while at < SPAN - Duration::from_secs(1) {
        wait_until(&bar, start, at);
        at += CHANGE;
        // Never more than two are out, so that the others can carry all.
        for (_, place, how) in back.extract_if(.., |(due, ..)| *due <= Instant::now()) {
            restore(&site, place, how, endpoints[place]);
        }
        if back.len() >= 2 {
            continue;
        }
        let place = rng.random_range(0..ENDPOINTS);
        if back.iter().any(|(_, other, _)| *other == place) {
            continue;
        }
        let id = format!("w{place}");
        let (how, index) = match rng.random_range(0..4) {
            0 => ("draining tag", site.consul.set_tag("n1", &id, "draining", true)),
            1 => ("maintenance", site.consul.set_maintenance("n1", &id, true)),
            2 => ("critical", site.consul.set_status("n1", &id, "critical")),
            _ => ("deregistered", site.consul.deregister("n1", &id)),
        };
        let until = Instant::now() + OUT;
        removals.push(Removal { how, endpoint: endpoints[place], index, until });
        back.push((until, place, how));
    }
    wait_until(&bar, start, SPAN);
    bar.finish_and_clear();
    let handed = loading.join().map_err(|_| "the load has panicked")?;
    let ends = site.wait_for_outcomes(std::slice::from_ref(&handed));
    // From the moment that Consul's answer was written; a forwarder that does not ask is measured from the change.
    let mut worst: Vec<(&'static str, f64)> = Vec::new();
    let mut after = 0;
    for removal in &removals {
        let told = site.consul.first_answered_at("web", removal.index).unwrap_or(removal.until - OUT);
        let calls = ends.calls.iter().filter(|c| {
            c.endpoint == removal.endpoint && c.received_at > told && c.received_at < removal.until
        });
        let last = calls.clone().map(|call| call.received_at - told).max().unwrap_or_default();
        after += calls.filter(|call| call.received_at - told > BOUND).count();
        worst.push((removal.how, last.as_secs_f64() * 1e3));
    }
    let sorted = |of: &dyn Fn(&str) -> bool| {
        let mut all: Vec<f64> = worst.iter().filter(|(how, _)| of(how)).map(|(_, ms)| *ms).collect();
        all.sort_by(f64::total_cmp);
        all
    };
    let mut rows = Vec::new();
    let mut lines = Vec::new();
    for how in ["draining tag", "maintenance", "critical", "deregistered"] {
        let all = sorted(&|other| other == how);
        let cells = [0.5, 0.99, 1.0].map(|part| format!("{:.1}", percentile(&all, part)));
        rows.push([vec![how.to_owned(), all.len().to_string()], cells.to_vec()].concat());
        let points = all.iter().enumerate().map(|(n, ms)| (*ms, (n + 1) as f64 / all.len() as f64 * 100.0));
        lines.push(ChartSeries { name: how.to_owned(), points: points.collect() });
    }
    let all = sorted(&|_| true);
    let (p50, most) = (percentile(&all, 0.5), percentile(&all, 1.0));
    let mut broken = Vec::new();
    if after > 0 {
        broken.push(format!(
            "{after} calls came more than 250 ms after Consul had told that their endpoint is out"
        ));
    }
    if ends.lost > 0 || ends.duplicated > 0 {
        broken.push(format!("{} messages lost, {} duplicated", ends.lost, ends.duplicated));
    }
    if removals.len() < 20 || handed.accepted.len() < 1000 {
        broken.push("too little has happened to show anything".to_owned());
    }
    let title = "Time from Consul's answer to the last new call at the endpoint".to_owned();
    Ok(ExperimentReport {
        columns: vec!["taken out by", "times", "p50 ms", "p99 ms", "worst ms"],
        rows,
        chart: Chart { title, x_label: "ms".to_owned(), y_label: "% of removals".to_owned(), series: lines },
        violations: broken,
        json: json!({"experiment": "consul-drain", "seed": run.seed, "messages": ends.submitted, "lost": ends.lost,
            "duplicated": ends.duplicated, "calls_after_250ms": after, "drain_worst_ms": most, "drain_p50_ms": p50,
            "removals": removals.len(), "taken": handed.accepted.len(),
            "door_p99_ms": handed.latency.value_at_quantile(0.99) as f64 / 1e3}),
    })
}

fn restore(site: &TestBed, place: usize, how: &str, endpoint: SocketAddr) {
    let id = format!("w{place}");
    match how {
        "draining tag" => site.consul.set_tag("n1", &id, "draining", false),
        "maintenance" => site.consul.set_maintenance("n1", &id, false),
        "critical" => site.consul.set_status("n1", &id, "passing"),
        _ => site.consul.register(Instance::new("web", "n1", &id, endpoint)),
    };
}

//! `consul-drain`: endpoints flap, drain and disappear in Consul under load. The experiment measures the time from
//! Consul's answer to the forwarder's last new call to each such endpoint.

use crate::error::ExperimentError;
use crate::load::{Load, LoadResult, poisson_plan};
use crate::options::RunOptions;
use crate::progress::Progress;
use crate::report::{Chart, ChartSeries, ExperimentReport};
use crate::statistics::percentile;
use crate::test_bed::{DESTINATION, MessageOutcomes, TestBed, consul_settings};
use orchidyoke_fakes::consul::Instance;
use orchidyoke_fakes::destination::CapacityModel;
use orchidyoke_fakes::forwarder::endpoint_entry;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const RUN_LENGTH: Duration = Duration::from_secs(20);
/// Time after the start and before the end of the run in which no endpoint is removed.
const MARGIN: Duration = Duration::from_secs(1);
/// Messages per second.
const MESSAGE_RATE: f64 = 500.0;
/// Capacity of the destination in the settings, in calls per second.
const CAPACITY_RPS: f64 = 400.0;
const ENDPOINTS: usize = 6;
/// Maximum number of endpoints that are removed at the same time. The others can carry the load.
const MAX_REMOVED: usize = 2;
const CHANGE_INTERVAL: Duration = Duration::from_millis(150);
/// Time from the removal of an endpoint to its restoration.
const REMOVAL_LENGTH: Duration = Duration::from_millis(600);
/// Maximum time from Consul's answer to the last new call to a removed endpoint.
const DRAIN_BOUND: Duration = Duration::from_millis(250);
/// A run with fewer removals or fewer accepted messages counts as a violation, because it proves nothing.
const MIN_REMOVALS: usize = 20;
const MIN_ACCEPTED: usize = 1000;

/// The way in which an endpoint is removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Method {
    DrainingTag,
    Maintenance,
    Critical,
    Deregistration,
}

impl Method {
    const ALL: [Method; 4] =
        [Method::DrainingTag, Method::Maintenance, Method::Critical, Method::Deregistration];

    fn label(self) -> &'static str {
        match self {
            Method::DrainingTag => "draining tag",
            Method::Maintenance => "maintenance",
            Method::Critical => "critical",
            Method::Deregistration => "deregistered",
        }
    }

    /// Removes an endpoint and returns the index of the change in Consul.
    fn remove(self, bed: &TestBed, id: &str) -> u64 {
        match self {
            Method::DrainingTag => bed.consul.set_tag("n1", id, "draining", true),
            Method::Maintenance => bed.consul.set_maintenance("n1", id, true),
            Method::Critical => bed.consul.set_status("n1", id, "critical"),
            Method::Deregistration => bed.consul.deregister("n1", id),
        }
    }

    fn restore(self, bed: &TestBed, id: &str, endpoint: SocketAddr) {
        match self {
            Method::DrainingTag => bed.consul.set_tag("n1", id, "draining", false),
            Method::Maintenance => bed.consul.set_maintenance("n1", id, false),
            Method::Critical => bed.consul.set_status("n1", id, "passing"),
            Method::Deregistration => bed.consul.register(Instance::new("web", "n1", id, endpoint)),
        };
    }
}

/// An endpoint that was removed.
#[derive(Clone, Copy, Debug)]
struct Removal {
    /// Number of the endpoint.
    number: usize,
    endpoint: SocketAddr,
    method: Method,
    /// Index of the change in Consul.
    index: u64,
    /// Time at which the endpoint is restored.
    until: Instant,
}

/// The time for which new calls went to a removed endpoint.
struct DrainTime {
    method: Method,
    /// Time from Consul's answer to the last new call, or 0 if there was none, in milliseconds.
    last_call_ms: f64,
    /// Number of new calls after [`DRAIN_BOUND`].
    late_calls: usize,
}

/// Runs the experiment. Under sabotage the forwarder has a fixed list instead of Consul.
pub fn run(options: &RunOptions) -> Result<ExperimentReport, ExperimentError> {
    let bed = TestBed::new("drain", CapacityModel::default());
    let endpoints = bed.register_endpoints(ENDPOINTS);
    let mut config = bed.config();
    if options.sabotage {
        let entry = |(number, endpoint): (usize, &SocketAddr)| {
            endpoint_entry(&format!("s{number}"), *endpoint, DESTINATION)
        };
        config.endpoints = endpoints.iter().enumerate().map(entry).collect();
    }
    let settings = (!options.sabotage).then(|| consul_settings(bed.consul.address(), CAPACITY_RPS));
    let forwarder = bed.start_forwarder(&options.program()?, 0, &config.text(), settings.as_deref());
    bed.wait_for_endpoint(&forwarder.process)?;
    let start = Instant::now();
    let classes = ["orders", "status", "refund"];
    let plan = poisson_plan(options.seed, MESSAGE_RATE, RUN_LENGTH, &classes, DESTINATION);
    let load = Load::start(forwarder.process.address, start, plan);
    let removals = run_removals(&bed, &endpoints, options.seed, start);
    let result = load.join()?;
    let outcomes = bed.wait_for_outcomes(std::slice::from_ref(&result));
    let drain_times: Vec<DrainTime> =
        removals.iter().map(|removal| drain_time(removal, &bed, &outcomes)).collect();
    Ok(report(options, &drain_times, &result, &outcomes))
}

/// Removes endpoints at random and restores them until the run is over. Returns all removals.
fn run_removals(bed: &TestBed, endpoints: &[SocketAddr], seed: u64, start: Instant) -> Vec<Removal> {
    let progress = Progress::new("consul-drain", RUN_LENGTH, start);
    let mut rng = StdRng::seed_from_u64(seed ^ 0xd7a1);
    let mut removals: Vec<Removal> = Vec::new();
    let mut removed: Vec<Removal> = Vec::new();
    let mut elapsed = MARGIN;
    while elapsed < RUN_LENGTH - MARGIN {
        progress.wait_until(elapsed);
        elapsed += CHANGE_INTERVAL;
        for removal in removed.extract_if(.., |removal| removal.until <= Instant::now()) {
            removal.method.restore(bed, &format!("w{}", removal.number), removal.endpoint);
        }
        if removed.len() >= MAX_REMOVED {
            continue;
        }
        let number = rng.random_range(0..ENDPOINTS);
        if removed.iter().any(|removal| removal.number == number) {
            continue;
        }
        let method = Method::ALL[rng.random_range(0..4_i32) as usize];
        let index = method.remove(bed, &format!("w{number}"));
        let until = Instant::now() + REMOVAL_LENGTH;
        let removal = Removal { number, endpoint: endpoints[number], method, index, until };
        removals.push(removal);
        removed.push(removal);
    }
    progress.wait_until(RUN_LENGTH);
    progress.finish();
    removals
}

/// Returns the drain time of a removal. It is measured from the moment at which Consul wrote its answer, or from the
/// change if the forwarder never asked.
fn drain_time(removal: &Removal, bed: &TestBed, outcomes: &MessageOutcomes) -> DrainTime {
    let answered = bed.consul.first_answered_at("web", removal.index);
    let answered = answered.unwrap_or(removal.until - REMOVAL_LENGTH);
    let new_calls = outcomes.calls.iter().filter(|call| {
        call.endpoint == removal.endpoint && call.received_at > answered && call.received_at < removal.until
    });
    let delays: Vec<Duration> = new_calls.map(|call| call.received_at - answered).collect();
    let last = delays.iter().max().copied().unwrap_or_default();
    DrainTime {
        method: removal.method,
        last_call_ms: last.as_secs_f64() * 1e3,
        late_calls: delays.iter().filter(|delay| **delay > DRAIN_BOUND).count(),
    }
}

/// Returns the times of these removals in milliseconds, in ascending order.
fn sorted_ms<'a>(drain_times: impl Iterator<Item = &'a DrainTime>) -> Vec<f64> {
    let mut times: Vec<f64> = drain_times.map(|time| time.last_call_ms).collect();
    times.sort_by(f64::total_cmp);
    times
}

fn violations(
    late_calls: usize,
    removals: usize,
    result: &LoadResult,
    outcomes: &MessageOutcomes,
) -> Vec<String> {
    let mut violations = Vec::new();
    if late_calls > 0 {
        violations.push(format!(
            "{late_calls} calls came more than 250 ms after Consul had told that their endpoint is out"
        ));
    }
    if outcomes.lost > 0 || outcomes.duplicated > 0 {
        violations.push(format!("{} messages lost, {} duplicated", outcomes.lost, outcomes.duplicated));
    }
    if removals < MIN_REMOVALS || result.accepted.len() < MIN_ACCEPTED {
        violations.push("too little has happened to show anything".to_owned());
    }
    violations
}

fn report(
    options: &RunOptions,
    drain_times: &[DrainTime],
    result: &LoadResult,
    outcomes: &MessageOutcomes,
) -> ExperimentReport {
    let mut rows = Vec::new();
    let mut series = Vec::new();
    for method in Method::ALL {
        let label = method.label().to_owned();
        let times = sorted_ms(drain_times.iter().filter(|time| time.method == method));
        let mut row = vec![label.clone(), times.len().to_string()];
        row.extend([0.5, 0.99, 1.0].map(|share| format!("{:.1}", percentile(&times, share))));
        rows.push(row);
        series.push(ChartSeries::cumulative(label, &times));
    }
    let all = sorted_ms(drain_times.iter());
    let late_calls: usize = drain_times.iter().map(|time| time.late_calls).sum();
    ExperimentReport {
        columns: vec!["taken out by", "times", "p50 ms", "p99 ms", "worst ms"],
        rows,
        chart: Chart {
            title: "Time from Consul's answer to the last new call at the endpoint".to_owned(),
            x_label: "ms".to_owned(),
            y_label: "% of removals".to_owned(),
            series,
        },
        violations: violations(late_calls, drain_times.len(), result, outcomes),
        json: json!({"experiment": "consul-drain", "seed": options.seed, "messages": outcomes.submitted,
            "lost": outcomes.lost, "duplicated": outcomes.duplicated, "calls_after_250ms": late_calls,
            "drain_worst_ms": percentile(&all, 1.0), "drain_p50_ms": percentile(&all, 0.5),
            "removals": drain_times.len(), "taken": result.accepted.len(),
            "door_p99_ms": result.latency.value_at_quantile(0.99) as f64 / 1e3}),
    }
}

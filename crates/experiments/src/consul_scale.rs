//! `consul-scale`: Consul has many endpoints, and they change continuously. The journal shows the time of each
//! decision, because the forwarder stores an update of the endpoint list there before it uses the update.

mod journal_tail;

use crate::capacity::process::{self, Usage};
use crate::error::ExperimentError;
use crate::options::RunOptions;
use crate::progress::Progress;
use crate::report::{Chart, ChartSeries, ExperimentReport};
use crate::statistics::percentile;
use crate::test_bed::{RunningForwarder, TestBed};
use journal_tail::JournalTail;
use orchidyoke_core::endpoint_list::EndpointState;
use orchidyoke_fakes::consul::{ConsulFault, Instance};
use orchidyoke_fakes::destination::CapacityModel;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::collections::btree_map::Entry;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const SIZES: [usize; 3] = [100, 1_000, 10_000];
const INSTANCES_PER_SERVICE: usize = 5;
const INSTANCES_PER_NODE: usize = 20;
/// Capacity of each service in the settings, in calls per second.
const CAPACITY_RPS: f64 = 100.0;
/// Disk limit of the state folder, in megabytes. It is large enough for the largest list.
const DISK_MB: f64 = 64.0;
const CHANGES_FOR: Duration = Duration::from_secs(6);
const IDLE_FOR: Duration = Duration::from_secs(2);
const CHANGES_PER_SECOND: u32 = 50;
/// Maximum time from a change in Consul to its decision.
const DECISION_BOUND: Duration = Duration::from_secs(3);
const MAX_CONNECTIONS: usize = 64;
const LEARN_TIMEOUT: Duration = Duration::from_secs(30);
const LEARN_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Interval between two reads of the journal, which is the resolution of the decision times.
const DECISION_POLL_INTERVAL: Duration = Duration::from_micros(500);

/// The results of one size.
struct SizeOutcome {
    endpoints: usize,
    /// Time from the start of the forwarder until its journal has all endpoints.
    learn_time: Duration,
    /// Processor time while nothing changes, in percent of a core.
    idle_cpu_percent: f64,
    busy_cpu_percent: f64,
    resident_bytes: u64,
    /// Time from each change in Consul to its decision, in milliseconds, in ascending order.
    decision_times_ms: Vec<f64>,
    /// Number of changes without a decision.
    missed: usize,
    peak_connections: usize,
}

/// Runs the experiment. Under sabotage Consul stops answering before the changes, and only the smallest size is run.
pub fn run(options: &RunOptions) -> Result<ExperimentReport, ExperimentError> {
    let sizes = if options.sabotage { &SIZES[..1] } else { &SIZES[..] };
    let outcomes =
        sizes.iter().map(|endpoints| measure(options, *endpoints)).collect::<Result<Vec<_>, _>>()?;
    Ok(report(options, &outcomes))
}

fn settings(consul: SocketAddr, services: usize) -> String {
    format!(
        "consul(\n    addresses = [\"{consul}\"],\n    networks = [\"127.0.0.0/8\"],\n    wait = \"30s\",\n    \
         connections = {MAX_CONNECTIONS},\n    services = [service(name = \"s%d\" % n, destination = n, kind = \"one\", \
         zone = \"a\", capacity = {CAPACITY_RPS:?}) for n in range({services})],\n)\n"
    )
}

/// An instance in Consul's catalogue, identified by its number.
#[derive(Clone, Copy)]
struct InstanceNumber {
    number: usize,
    services: usize,
}

impl InstanceNumber {
    fn service(self) -> String {
        format!("s{}", self.number % self.services)
    }

    fn node(self) -> String {
        format!("node-{}", self.number / INSTANCES_PER_NODE)
    }

    fn id(self) -> String {
        format!("i{}", self.number)
    }

    /// Returns the instance's own address. Nothing listens there, because no message is sent.
    fn address(self) -> SocketAddr {
        let [_, high, middle, low] = (self.number as u32).to_be_bytes();
        SocketAddr::from(([127, 200 + high, middle, low], 9_000))
    }

    /// Returns the uid that the forwarder gives the instance's endpoint.
    fn uid(self) -> String {
        let service = self.service();
        let destination = self.number % self.services;
        format!("{service}.{destination}/{}/{}@{}", self.node(), self.id(), self.address())
    }
}

/// Waits until the forwarder's journal has all endpoints. Returns the time since `start`.
fn wait_for_endpoints(
    tail: &mut JournalTail,
    expected: usize,
    start: Instant,
) -> Result<Duration, ExperimentError> {
    while tail.list.len() < expected {
        if start.elapsed() > LEARN_TIMEOUT {
            let learnt = tail.list.len();
            return Err(ExperimentError::EndpointsMissing { learnt, expected, timeout: LEARN_TIMEOUT });
        }
        tail.read_new();
        std::thread::sleep(LEARN_POLL_INTERVAL);
    }
    Ok(start.elapsed())
}

fn usage(forwarder: &RunningForwarder) -> Result<Usage, ExperimentError> {
    process::usage(forwarder.process.pid()).map_err(ExperimentError::ProcessUsage)
}

fn cpu_percent(before: &Usage, after: &Usage, elapsed: Duration) -> f64 {
    (after.processor - before.processor).as_secs_f64() / elapsed.as_secs_f64() * 100.0
}

fn measure(options: &RunOptions, endpoints: usize) -> Result<SizeOutcome, ExperimentError> {
    let bed = TestBed::new(&format!("scale-{endpoints}"), CapacityModel::default());
    let services = endpoints / INSTANCES_PER_SERVICE;
    let instances: Vec<InstanceNumber> =
        (0..endpoints).map(|number| InstanceNumber { number, services }).collect();
    for instance in &instances {
        let address = instance.address();
        bed.consul.register(Instance::new(&instance.service(), &instance.node(), &instance.id(), address));
    }
    let mut config = bed.config();
    config.disk_mb = DISK_MB;
    let settings = settings(bed.consul.address(), services);
    let started = Instant::now();
    let forwarder = bed.start_forwarder(&options.program()?, 0, &config.text(), Some(&settings));
    let mut tail = JournalTail::new(forwarder.folder.path().join("state").join("journal"));
    let learn_time = wait_for_endpoints(&mut tail, endpoints, started)?;
    let start = Instant::now();
    let progress =
        Progress::new(&format!("consul-scale, {endpoints} endpoints"), IDLE_FOR + CHANGES_FOR, start);
    let at_start = usage(&forwarder)?;
    progress.wait_until(IDLE_FOR);
    let before_changes = usage(&forwarder)?;
    if options.sabotage {
        bed.consul.set_fault(ConsulFault::Unresponsive);
    }
    let changes_start = Instant::now();
    let rng = StdRng::seed_from_u64(options.seed);
    let mut changes = Changes { bed: &bed, instances: &instances, rng, pending: BTreeMap::new() };
    let mut decision_times_ms = changes.run(&mut tail, &progress);
    let after_changes = usage(&forwarder)?;
    let changes_elapsed = changes_start.elapsed();
    progress.finish();
    decision_times_ms.sort_by(f64::total_cmp);
    Ok(SizeOutcome {
        endpoints,
        learn_time,
        idle_cpu_percent: cpu_percent(&at_start, &before_changes, IDLE_FOR),
        busy_cpu_percent: cpu_percent(&before_changes, &after_changes, changes_elapsed),
        resident_bytes: after_changes.resident,
        decision_times_ms,
        missed: changes.pending.len(),
        peak_connections: bed.consul.connections().peak,
    })
}

/// A change in Consul whose decision is not in the journal yet.
struct PendingChange {
    made_at: Instant,
    expected: EndpointState,
}

/// Changes to the catalogue. Each sets or removes the draining tag of an instance.
struct Changes<'a> {
    bed: &'a TestBed,
    instances: &'a [InstanceNumber],
    rng: StdRng,
    /// Pending changes by the uid of the endpoint.
    pending: BTreeMap<String, PendingChange>,
}

impl Changes<'_> {
    /// Makes changes at [`CHANGES_PER_SECOND`] and waits for the decisions. Returns the times to the decisions in
    /// milliseconds.
    fn run(&mut self, tail: &mut JournalTail, progress: &Progress) -> Vec<f64> {
        let start = Instant::now();
        let mut decision_times_ms = Vec::new();
        let mut made = 0;
        loop {
            let elapsed = start.elapsed();
            let making = elapsed < CHANGES_FOR;
            let waiting = !self.pending.is_empty() && elapsed < CHANGES_FOR + DECISION_BOUND;
            if !making && !waiting {
                return decision_times_ms;
            }
            let due = Duration::from_secs(1) * made / CHANGES_PER_SECOND;
            if making && due <= elapsed {
                made += 1;
                self.make(tail);
            }
            for update in tail.read_new() {
                let decided = self.pending.remove(&update.uid);
                if let Some(change) = decided.filter(|change| change.expected == update.state) {
                    decision_times_ms.push(change.made_at.elapsed().as_secs_f64() * 1e3);
                }
            }
            progress.update();
            std::thread::sleep(DECISION_POLL_INTERVAL);
        }
    }

    /// Changes an instance that is chosen at random, unless a change of it is pending.
    fn make(&mut self, tail: &JournalTail) {
        let instance = self.instances[self.rng.random_range(0..self.instances.len())];
        let uid = instance.uid();
        let drained = tail.list.get(&uid).is_some_and(|listed| listed.state == EndpointState::Draining);
        if let Entry::Vacant(place) = self.pending.entry(uid) {
            self.bed.consul.set_tag(&instance.node(), &instance.id(), "draining", !drained);
            let expected = if drained { EndpointState::Active } else { EndpointState::Draining };
            place.insert(PendingChange { made_at: Instant::now(), expected });
        }
    }
}

impl SizeOutcome {
    fn resident_mib(&self) -> f64 {
        self.resident_bytes as f64 / f64::from(1 << 20)
    }

    fn violations(&self) -> Vec<String> {
        let SizeOutcome { endpoints, missed, peak_connections, .. } = self;
        let mut violations = Vec::new();
        if *missed > 0 {
            let bound_s = DECISION_BOUND.as_secs();
            violations.push(format!(
                "{endpoints} endpoints: {missed} changes were not decided on within {bound_s} s"
            ));
        }
        if *peak_connections > MAX_CONNECTIONS {
            violations.push(format!(
                "{endpoints} endpoints: {peak_connections} connections to Consul, {MAX_CONNECTIONS} were allowed"
            ));
        }
        violations
    }

    fn row(&self) -> Vec<String> {
        vec![
            self.endpoints.to_string(),
            format!("{:.2}", self.learn_time.as_secs_f64()),
            format!("{:.1}", self.idle_cpu_percent),
            format!("{:.1}", self.busy_cpu_percent),
            format!("{:.1}", self.resident_mib()),
            self.decision_times_ms.len().to_string(),
            format!("{:.1}", percentile(&self.decision_times_ms, 0.5)),
            format!("{:.1}", percentile(&self.decision_times_ms, 0.99)),
            self.peak_connections.to_string(),
        ]
    }

    fn json(&self) -> Value {
        json!({"endpoints": self.endpoints, "learnt_s": self.learn_time.as_secs_f64(),
            "idle_cpu_percent": self.idle_cpu_percent, "busy_cpu_percent": self.busy_cpu_percent,
            "resident_mib": self.resident_mib(), "changes": self.decision_times_ms.len(), "missed": self.missed,
            "decision_p50_ms": percentile(&self.decision_times_ms, 0.5),
            "decision_p99_ms": percentile(&self.decision_times_ms, 0.99), "connections": self.peak_connections})
    }
}

fn report(options: &RunOptions, outcomes: &[SizeOutcome]) -> ExperimentReport {
    let series = outcomes.iter().map(|outcome| {
        ChartSeries::cumulative(format!("{} endpoints", outcome.endpoints), &outcome.decision_times_ms)
    });
    let sizes: Vec<Value> = outcomes.iter().map(SizeOutcome::json).collect();
    ExperimentReport {
        columns: vec![
            "endpoints",
            "learnt in s",
            "idle CPU %",
            "CPU % at 50 changes/s",
            "resident MiB",
            "changes",
            "p50 ms",
            "p99 ms",
            "connections",
        ],
        rows: outcomes.iter().map(SizeOutcome::row).collect(),
        chart: Chart {
            title: "Time from a change in Consul to its decision, 50 changes a second".to_owned(),
            x_label: "ms".to_owned(),
            y_label: "% of changes".to_owned(),
            series: series.collect(),
        },
        violations: outcomes.iter().flat_map(SizeOutcome::violations).collect(),
        json: json!({"experiment": "consul-scale", "seed": options.seed, "sizes": sizes}),
    }
}

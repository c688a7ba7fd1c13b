//! `policy-epochs`: measures the time until a committed policy is in force on fleets of 10, 100 and 1,000 forwarders,
//! and the load on Consul. The participants are those of the real forwarder. All run in one process, each with its own
//! connections to one Consul server.

use crate::error::ExperimentError;
use crate::options::RunOptions;
use crate::report::{Chart, ChartSeries, ExperimentReport};
use orchidyoke_fakes::TemporaryFolder;
use orchidyoke_fakes::forwarder::ForwarderConfig;
use orchidyoke_fakes::{ConsulServer, FaultProxy, NetworkFault, ServerRuntime, unused_loopback_address};
use orchidyoke_forwarder::input::Input;
use orchidyoke_forwarder::policy_participant::PolicyParticipant;
use orchidyoke_forwarder::reload::ConfigSource;
use orchidyoke_policy_commit::{ConsulParticipant, Coordinator, Settings};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;

const SIZES: [usize; 3] = [10, 100, 1_000];
/// Number of changes at each fleet size.
const CHANGES: usize = 5;
const MEMBER_TTL: Duration = Duration::from_secs(10);
/// Maximum time from a commit until it is in force everywhere. A forwarder that has not learnt of a commit by then
/// reports that it is disconnected.
const IN_FORCE_BOUND: Duration = Duration::from_millis(6_667);
/// Time after which the wait for a change to be in force on all forwarders is given up.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum time until all forwarders have appeared at the commit point.
const JOIN_TIMEOUT: Duration = Duration::from_secs(60);
const MEMBERS_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which requests are counted while nothing changes.
const IDLE_FOR: Duration = Duration::from_secs(5);

/// The results of one change.
struct ChangeOutcome {
    /// Time from the proposal until all participants have voted and the policy is committed.
    prepared_ms: f64,
    /// Time from the commit until the policy is in force on the first forwarder.
    first_ms: f64,
    /// Time from the commit until the policy is in force on the last forwarder.
    last_ms: f64,
    consul_requests: u64,
}

/// The results of one fleet size.
struct SizeOutcome {
    forwarders: usize,
    /// Requests per second to Consul while nothing changes.
    idle_requests_per_second: f64,
    changes: Vec<ChangeOutcome>,
}

/// Runs the experiment. Under sabotage one forwarder is disconnected from Consul before the change, and only the
/// smallest size is run.
pub fn run(options: &RunOptions) -> Result<ExperimentReport, ExperimentError> {
    let changes = usize::try_from(options.seeds).unwrap_or(CHANGES).min(CHANGES);
    let sizes = if options.sabotage { &SIZES[..1] } else { &SIZES[..] };
    let mut outcomes = Vec::new();
    for forwarders in sizes {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(ExperimentError::Runtime)?;
        let measured = measure(*forwarders, changes, options.sabotage);
        outcomes.push(LocalSet::new().block_on(&runtime, measured)?);
        eprintln!("policy-epochs: {forwarders} forwarders done");
    }
    Ok(report(&outcomes))
}

/// The participants of a fleet and the coordinator, with their own Consul server.
struct PolicyFleet {
    consul: ConsulServer,
    coordinator: Coordinator,
    /// Proxy that is between the first forwarder and Consul under sabotage.
    link: FaultProxy,
    /// Times at which forwarders put a policy in force.
    in_force: UnboundedReceiver<Instant>,
    size: usize,
    /// Folder with the configuration that all participants read.
    _base: TemporaryFolder,
    _runtime: ServerRuntime,
}

fn commit_point(address: SocketAddr) -> Settings {
    let consul =
        orchidyoke_consul::Settings { addresses: vec![address], ..orchidyoke_consul::Settings::default() };
    Settings { consul, prefix: "experiment".to_owned(), name: None, ttl: MEMBER_TTL }
}

/// Runs a participant until the runtime ends, and reports the time of each policy that it puts in force.
async fn participate(
    commit_point: Settings,
    name: String,
    source: Rc<ConfigSource>,
    in_force: UnboundedSender<Instant>,
) {
    let folder = TemporaryFolder::new(&format!("experiment-policy-{name}"));
    let participant = ConsulParticipant::new(commit_point, &name, folder.path());
    let (inputs, mut received) = unbounded_channel();
    participant.join(&source).await;
    let follow = spawn_local(participant.clone().follow(source, inputs));
    while let Some(input) = received.recv().await {
        if matches!(input, Input::ConfigReloaded(_)) {
            // The receiver is dropped only when the experiment ends.
            let _ = in_force.send(Instant::now());
        }
    }
    follow.abort();
}

impl PolicyFleet {
    /// Starts the participants and waits until all have joined. If `sabotage` is `true`, the first one connects through
    /// the proxy.
    async fn start(size: usize, sabotage: bool) -> Result<Self, ExperimentError> {
        let consul = ConsulServer::start();
        let runtime = ServerRuntime::new();
        let link = FaultProxy::start(&runtime, unused_loopback_address(), consul.address());
        let base = TemporaryFolder::new(&format!("experiment-policy-{size}"));
        let config = base.write("config.json", &ForwarderConfig::new(unused_discovery()).text());
        let (in_force_sender, in_force) = unbounded_channel();
        for number in 0..size {
            let behind_link = sabotage && number == 0;
            let address = if behind_link { link.address } else { consul.address() };
            let source = Rc::new(ConfigSource { path: config.clone(), ..ConfigSource::default() });
            let name = format!("f{number}");
            spawn_local(participate(commit_point(address), name, source, in_force_sender.clone()));
        }
        let coordinator = Coordinator::new(commit_point(consul.address()));
        let mut fleet =
            PolicyFleet { consul, coordinator, link, in_force, size, _base: base, _runtime: runtime };
        let joined = fleet.wait_for_members(|members| members >= size);
        tokio::time::timeout(JOIN_TIMEOUT, joined)
            .await
            .map_err(|_| ExperimentError::MembersMissing { members: size, timeout: JOIN_TIMEOUT })?;
        Ok(fleet)
    }

    async fn wait_for_members(&mut self, enough: impl Fn(usize) -> bool) {
        while !enough(self.coordinator.status().await.map_or(0, |fleet| fleet.members.len())) {
            sleep(MEMBERS_POLL_INTERVAL).await;
        }
    }

    async fn idle_requests_per_second(&self) -> f64 {
        let before = self.consul.request_count();
        sleep(IDLE_FOR).await;
        (self.consul.request_count() - before) as f64 / IDLE_FOR.as_secs_f64()
    }

    /// Proposes a policy that differs from the others by `number`, and waits until it is in force on all forwarders.
    async fn change(&mut self, number: usize) -> Result<ChangeOutcome, ExperimentError> {
        let policy = json!({"settings": {"limits": {"idle_close_us": 8_000_000 + number}}}).to_string();
        let requests_before = self.consul.request_count();
        let proposed_at = Instant::now();
        self.coordinator
            .propose(&policy, "experiment", CHANGE_TIMEOUT)
            .await
            .map_err(|error| ExperimentError::NotCommitted(error.to_string()))?;
        let committed = self
            .coordinator
            .last_commit()
            .ok_or_else(|| ExperimentError::NotCommitted("the coordinator has seen no commit".to_owned()))?;
        // A forwarder that has not put the policy in force by then counts with the full time-out.
        let deadline = committed + CHANGE_TIMEOUT;
        let mut times = Vec::new();
        while times.len() < self.size {
            let at = tokio::time::timeout_at(deadline, self.in_force.recv()).await;
            times.push(at.ok().flatten().unwrap_or(deadline.into_std()));
        }
        times.sort();
        let committed = committed.into_std();
        let since_commit_ms = |at: Instant| at.saturating_duration_since(committed).as_secs_f64() * 1000.0;
        Ok(ChangeOutcome {
            prepared_ms: committed.duration_since(proposed_at).as_secs_f64() * 1000.0,
            first_ms: since_commit_ms(times[0]),
            last_ms: since_commit_ms(times[times.len() - 1]),
            consul_requests: self.consul.request_count() - requests_before,
        })
    }
}

async fn measure(forwarders: usize, changes: usize, sabotage: bool) -> Result<SizeOutcome, ExperimentError> {
    let mut fleet = PolicyFleet::start(forwarders, sabotage).await?;
    let idle_requests_per_second = fleet.idle_requests_per_second().await;
    let mut outcomes = Vec::new();
    for number in 0..changes {
        if sabotage {
            fleet.link.set_fault(NetworkFault::Partition);
            // The change starts after Consul has removed the disconnected member.
            fleet.wait_for_members(|members| members < forwarders).await;
        }
        outcomes.push(fleet.change(number).await?);
    }
    Ok(SizeOutcome { forwarders, idle_requests_per_second, changes: outcomes })
}

/// Returns an address at which nothing listens, because these participants send no request to discovery.
fn unused_discovery() -> SocketAddr {
    (unused_loopback_address(), 9).into()
}

impl SizeOutcome {
    fn max_over_changes(&self, value: impl Fn(&ChangeOutcome) -> f64) -> f64 {
        self.changes.iter().map(value).fold(0.0, f64::max)
    }

    fn rows(&self) -> Vec<Vec<String>> {
        let row = |(number, change): (usize, &ChangeOutcome)| {
            vec![
                self.forwarders.to_string(),
                (number + 1).to_string(),
                format!("{:.1}", change.prepared_ms),
                format!("{:.1}", change.first_ms),
                format!("{:.1}", change.last_ms),
                change.consul_requests.to_string(),
                format!("{:.1}", self.idle_requests_per_second),
            ]
        };
        self.changes.iter().enumerate().map(row).collect()
    }

    fn violations(&self) -> Vec<String> {
        let bound_ms = IN_FORCE_BOUND.as_millis();
        let late =
            |(_, change): &(usize, &ChangeOutcome)| change.last_ms > IN_FORCE_BOUND.as_secs_f64() * 1000.0;
        let violation = |(number, change): (usize, &ChangeOutcome)| {
            format!(
                "{} forwarders, change {}: in force everywhere after {:.0} ms, over the bound of {bound_ms} ms",
                self.forwarders,
                number + 1,
                change.last_ms,
            )
        };
        self.changes.iter().enumerate().filter(late).map(violation).collect()
    }

    fn json(&self) -> Value {
        json!({"forwarders": self.forwarders, "idle_questions_a_second": self.idle_requests_per_second,
            "last_ms_most": self.max_over_changes(|change| change.last_ms),
            "prepared_ms_most": self.max_over_changes(|change| change.prepared_ms)})
    }
}

fn series(name: &str, outcomes: &[SizeOutcome], value: fn(&ChangeOutcome) -> f64) -> ChartSeries {
    let point =
        |outcome: &SizeOutcome| ((outcome.forwarders as f64).log10(), outcome.max_over_changes(value));
    ChartSeries { name: name.to_owned(), points: outcomes.iter().map(point).collect() }
}

fn report(outcomes: &[SizeOutcome]) -> ExperimentReport {
    let prepared = "from the proposal until all have voted and it is committed";
    let in_force = "from the commit until it is in force on the last";
    let sizes: Vec<Value> = outcomes.iter().map(SizeOutcome::json).collect();
    ExperimentReport {
        columns: vec![
            "forwarders",
            "change",
            "prepared ms",
            "first ms",
            "last ms",
            "questions",
            "idle questions/s",
        ],
        rows: outcomes.iter().flat_map(SizeOutcome::rows).collect(),
        chart: Chart {
            title: "A policy epoch: prepared by all, in force on the last".to_owned(),
            x_label: "forwarders, power of ten".to_owned(),
            y_label: "ms, slowest of the changes".to_owned(),
            series: vec![
                series(prepared, outcomes, |change| change.prepared_ms),
                series(in_force, outcomes, |change| change.last_ms),
            ],
        },
        violations: outcomes.iter().flat_map(SizeOutcome::violations).collect(),
        json: json!({"experiment": "policy-epochs", "sizes": sizes}),
    }
}

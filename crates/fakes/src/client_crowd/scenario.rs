//! Runs one real forwarder under a crowd beside regular clients, with kills and shutdowns if asked for.

use super::bad_client::{self, CrowdBehavior, CrowdState};
use super::memory_usage::{MemoryUsage, memory_usage};
use super::regular_clients::{MESSAGE_LIFETIME_S, RegularClients, RequestEnd, Submission};
use crate::destination::{CapacityModel, DestinationServer};
use crate::forwarder::{ForwarderConfig, ForwarderProcess, endpoint_entry};
use crate::message_records::MessageRecords;
use crate::{DiscoveryServer, ServerRuntime, TemporaryFolder};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Time that the endpoint takes for a message.
const SERVICE_TIME: Duration = Duration::from_millis(20);
/// Time after the last deadline in which a notification may still arrive.
const NOTIFICATION_MARGIN: Duration = Duration::from_millis(1_800);
/// Time from SIGTERM to SIGKILL.
const TERMINATION_GRACE: Duration = Duration::from_millis(3_700);
/// Time from SIGKILL to the next start.
const RESTART_DELAY: Duration = Duration::from_millis(600);
/// Interval at which the memory is read.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// Clients with the same behavior.
#[derive(Clone, Copy, Debug)]
pub struct CrowdGroup {
    /// What they send.
    pub behavior: CrowdBehavior,
    /// How many there are.
    pub clients: usize,
}

/// How the forwarder is interrupted amid the crowd.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Interruption {
    /// SIGKILL, and a start.
    Kill,
    /// SIGTERM, SIGKILL at the end of the grace period, and a start.
    Terminate,
    /// SIGHUP with the same configuration.
    Reload,
}

/// The parameters of a run.
#[derive(Clone, Debug)]
pub struct CrowdScenario {
    /// Seed of the regular clients.
    pub seed: u64,
    /// `memory_mb` of the configuration.
    pub memory_mb: u64,
    /// `sockets` of the configuration, which is also the process's limit on descriptors.
    pub descriptors: usize,
    /// `disk_mb` of the configuration.
    pub disk_mb: f64,
    /// The crowd. It connects one second after the regular clients.
    pub crowd: Vec<CrowdGroup>,
    /// Duration of each wave of the crowd.
    pub crowd_time: Duration,
    /// Number of waves, with a second between two of them.
    pub waves: usize,
    /// Requests of the regular clients in a second.
    pub requests_per_second: u32,
    /// Interruptions, spread evenly over the first wave.
    pub interruptions: Vec<Interruption>,
}

/// The result of a run.
#[derive(Clone, Debug, Default)]
pub struct CrowdScenarioReport {
    /// Resident memory before the crowd, in bytes.
    pub idle_bytes: u64,
    /// Highest resident memory of any of the processes, in bytes.
    pub peak_bytes: u64,
    /// The same without the pages of the program's file, as far as it was seen in samples.
    pub peak_anonymous_bytes: u64,
    /// Resident memory after each wave, in bytes.
    pub bytes_after_waves: Vec<u64>,
    /// Most descriptors that were open at once.
    pub max_descriptors: usize,
    /// Requests of regular clients beside the crowd, and their ends by name.
    pub requests: usize,
    /// Number of these requests by end: the status, or why there is none.
    pub ends: BTreeMap<String, usize>,
    /// Median latency of the answers 202 beside the crowd.
    pub median_latency: Duration,
    /// Latency of the answers 202 beside the crowd that 99 in 100 do not exceed.
    pub p99_latency: Duration,
    /// Connections of the crowd.
    pub crowd_connections: usize,
    /// Connections of the crowd with neither an answer nor a close within 3 s.
    pub left_open: usize,
    /// Messages that were accepted, those of the crowd included.
    pub accepted: usize,
    /// Accepted messages that were neither delivered nor ended by a notification.
    pub lost: Vec<String>,
    /// Accepted messages that may not be repeated and were sent more than once.
    pub sent_again: Vec<String>,
    /// Whether a process ended by itself.
    pub has_crashed: bool,
}

impl CrowdScenarioReport {
    /// Returns the share of the regular clients' requests beside the crowd that were answered 202.
    pub fn accepted_share(&self) -> f64 {
        self.count("202") as f64 / self.requests.max(1) as f64
    }

    /// Returns the number of the regular clients' requests beside the crowd with this end.
    pub fn count(&self, end: &str) -> usize {
        self.ends.get(end).copied().unwrap_or(0)
    }
}

impl CrowdScenario {
    /// Returns a run with one group of clients for 8 s, at the least memory that a deployment gives.
    pub fn new(behavior: CrowdBehavior, clients: usize) -> Self {
        CrowdScenario {
            seed: 1,
            memory_mb: 32,
            descriptors: 1_024,
            disk_mb: 3.0,
            crowd: vec![CrowdGroup { behavior, clients }],
            crowd_time: Duration::from_secs(8),
            waves: 1,
            requests_per_second: 20,
            interruptions: Vec::new(),
        }
    }

    /// Runs the forwarder `program`. `name` must be unique within this process.
    pub fn run(&self, program: &Path, name: &str) -> CrowdScenarioReport {
        let destination =
            DestinationServer::new(CapacityModel { service_time: SERVICE_TIME, ..CapacityModel::default() });
        let discovery = DiscoveryServer::start("");
        let folder = self.folder(name, &destination, &discovery);
        let mut run = Run::start(program, folder, self.descriptors);
        let is_over = Arc::new(AtomicBool::new(false));
        let regular =
            RegularClients::new(run.address.clone(), is_over.clone(), self.requests_per_second, self.seed);
        let regular_runtime = ServerRuntime::new();
        regular_runtime.spawn(regular.clone().run());
        thread::sleep(Duration::from_secs(1));
        run.sample();
        let mut report =
            CrowdScenarioReport { idle_bytes: run.last.resident, ..CrowdScenarioReport::default() };
        let mut accepted_by_crowd = Vec::new();
        let crowd_began = Instant::now();
        for wave in 0..self.waves {
            let interruptions = if wave == 0 { &self.interruptions[..] } else { &[] };
            let state = self.run_wave(&mut run, wave, interruptions);
            report.left_open += state.left_open.load(Ordering::Relaxed);
            report.crowd_connections += state.connections.load(Ordering::Relaxed);
            accepted_by_crowd.append(&mut state.accepted.lock().unwrap_or_else(PoisonError::into_inner));
            run.sample_for(Duration::from_secs(1));
            report.bytes_after_waves.push(run.last.resident);
        }
        let crowd_ended = Instant::now();
        is_over.store(true, Ordering::Relaxed);
        run.sample_for(Duration::from_secs(MESSAGE_LIFETIME_S) + NOTIFICATION_MARGIN);
        report.peak_bytes = run.peak;
        report.peak_anonymous_bytes = run.peak_anonymous;
        report.max_descriptors = run.max_descriptors;
        report.has_crashed = run.has_crashed || memory_usage(run.forwarder.pid()).is_none();
        let submissions = regular.submissions.lock().unwrap_or_else(PoisonError::into_inner).clone();
        summarize_requests(&mut report, &submissions, crowd_began, crowd_ended);
        audit(&mut report, &submissions, &accepted_by_crowd, &destination, &discovery);
        report
    }

    fn folder(
        &self,
        name: &str,
        destination: &DestinationServer,
        discovery: &DiscoveryServer,
    ) -> TemporaryFolder {
        let folder = TemporaryFolder::new(name);
        let mut config = ForwarderConfig::new(discovery.address());
        config.endpoints = vec![endpoint_entry("s-1", destination.open_endpoint(), 1)];
        config.memory_mb = self.memory_mb;
        config.sockets = self.descriptors;
        config.disk_mb = self.disk_mb;
        config.max_in_flight = 14;
        config.max_open = 272;
        folder.write("config.json", &config.text());
        folder
    }

    /// Runs one wave of the crowd.
    fn run_wave(&self, run: &mut Run, wave: usize, interruptions: &[Interruption]) -> Arc<CrowdState> {
        let state = Arc::new(CrowdState {
            address: run.address.clone(),
            is_over: Arc::default(),
            left_open: AtomicUsize::new(0),
            connections: AtomicUsize::new(0),
            accepted: Mutex::default(),
        });
        let runtime = ServerRuntime::new();
        for (group, CrowdGroup { behavior, clients }) in self.crowd.iter().enumerate() {
            for client in 0..*clients {
                let name = format!("x{}-{wave}-{group}-{client}", self.seed);
                runtime.spawn(bad_client::run(state.clone(), *behavior, name));
            }
        }
        let pause = self.crowd_time / (interruptions.len() as u32 + 1);
        for interruption in interruptions {
            run.sample_for(pause);
            run.interrupt(*interruption);
        }
        run.sample_for(pause);
        state.is_over.store(true, Ordering::Relaxed);
        state
    }
}

/// The running process and what was seen of its memory.
struct Run {
    program: PathBuf,
    descriptors: usize,
    forwarder: ForwarderProcess,
    folder: TemporaryFolder,
    address: Arc<Mutex<SocketAddr>>,
    last: MemoryUsage,
    peak: u64,
    peak_anonymous: u64,
    max_descriptors: usize,
    has_crashed: bool,
}

impl Run {
    fn start(program: &Path, folder: TemporaryFolder, descriptors: usize) -> Self {
        let forwarder = ForwarderProcess::start_with_descriptor_limit(program, &folder, descriptors);
        let address = Arc::new(Mutex::new(forwarder.address));
        Run {
            program: program.to_owned(),
            descriptors,
            forwarder,
            folder,
            address,
            last: MemoryUsage::default(),
            peak: 0,
            peak_anonymous: 0,
            max_descriptors: 0,
            has_crashed: false,
        }
    }

    fn sample(&mut self) {
        let process = self.forwarder.pid();
        match memory_usage(process) {
            Some(usage) => {
                self.last = usage;
                self.peak = self.peak.max(usage.peak);
                self.peak_anonymous = self.peak_anonymous.max(usage.anonymous);
            }
            None => self.has_crashed = true,
        }
        let descriptors = std::fs::read_dir(format!("/proc/{process}/fd")).map_or(0, Iterator::count);
        self.max_descriptors = self.max_descriptors.max(descriptors);
    }

    fn sample_for(&mut self, time: Duration) {
        let until = Instant::now() + time;
        while Instant::now() < until {
            self.sample();
            thread::sleep(SAMPLE_INTERVAL);
        }
        self.sample();
    }

    fn interrupt(&mut self, interruption: Interruption) {
        self.sample();
        match interruption {
            Interruption::Reload => return self.forwarder.signal("HUP"),
            Interruption::Terminate => {
                self.forwarder.signal("TERM");
                thread::sleep(TERMINATION_GRACE);
            }
            Interruption::Kill => {}
        }
        self.forwarder.kill_now();
        thread::sleep(RESTART_DELAY);
        self.forwarder =
            ForwarderProcess::start_with_descriptor_limit(&self.program, &self.folder, self.descriptors);
        *self.address.lock().unwrap_or_else(PoisonError::into_inner) = self.forwarder.address;
    }
}

fn summarize_requests(
    report: &mut CrowdScenarioReport,
    submissions: &[Submission],
    began: Instant,
    ended: Instant,
) {
    let beside_crowd = submissions.iter().filter(|one| {
        let sent_at = one.sent_at.into_std();
        sent_at >= began && sent_at < ended
    });
    let mut latencies = Vec::new();
    for submission in beside_crowd {
        report.requests += 1;
        if submission.end == RequestEnd::Answered(202) {
            latencies.push(submission.latency);
        }
        let end = match submission.end {
            RequestEnd::Answered(status) => status.to_string(),
            other => format!("{other:?}"),
        };
        *report.ends.entry(end).or_default() += 1;
    }
    latencies.sort_unstable();
    let part = |share: f64| {
        let index = (latencies.len() as f64 * share) as usize;
        latencies.get(index.min(latencies.len().saturating_sub(1))).copied().unwrap_or_default()
    };
    (report.median_latency, report.p99_latency) = (part(0.5), part(0.99));
}

fn audit(
    report: &mut CrowdScenarioReport,
    submissions: &[Submission],
    accepted_by_crowd: &[String],
    destination: &DestinationServer,
    discovery: &DiscoveryServer,
) {
    let records = MessageRecords::collect(destination, discovery);
    let accepted = submissions.iter().filter(|one| one.end == RequestEnd::Answered(202));
    let accepted = accepted.map(|one| (&one.id, one.is_repeatable));
    let all = accepted.chain(accepted_by_crowd.iter().map(|id| (id, true)));
    for (id, is_repeatable) in all {
        report.accepted += 1;
        let count = records.call_count(id);
        if count == 0 && !records.is_notified(id) {
            report.lost.push(id.clone());
        }
        if count > 1 && !is_repeatable {
            report.sent_again.push(id.clone());
        }
    }
}

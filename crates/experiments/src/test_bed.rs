//! A test bed: a destination, Consul and discovery as scripted servers, forwarders as processes; and what became of the
//! messages, counted at the servers.

use crate::error::ExperimentError;
use crate::load::LoadResult;
use orchidyoke_fakes::TemporaryFolder;
use orchidyoke_fakes::consul::Instance;
use orchidyoke_fakes::destination::{Call, CapacityModel};
use orchidyoke_fakes::forwarder::ForwarderConfig;
use orchidyoke_fakes::{ConsulServer, DestinationServer, DiscoveryServer, ForwarderProcess};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

/// The destination of the service `web`.
pub const DESTINATION: u64 = 3;
/// Longer than a message's deadline and the notification after it.
const OUTCOME_TIMEOUT: Duration = Duration::from_secs(16);
const OUTCOME_POLL_INTERVAL: Duration = Duration::from_millis(100);
const ENDPOINT_TIMEOUT: Duration = Duration::from_secs(10);
const ENDPOINT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Settings that discover the service `web` in this Consul, with a capacity in calls a second.
pub fn consul_settings(consul: SocketAddr, capacity_rps: f64) -> String {
    format!(
        "consul(\n    addresses = [\"{consul}\"],\n    networks = [\"127.0.0.0/8\"],\n    wait = \"10s\",\n    \
         services = [service(name = \"web\", destination = {DESTINATION}, kind = \"one\", zone = \"a\", \
         capacity = {capacity_rps:?})],\n)\n"
    )
}

/// The servers of a test bed.
pub struct TestBed {
    /// Tells test beds of one run apart.
    pub name: String,
    /// Discovery, which also takes notifications.
    pub discovery: DiscoveryServer,
    /// Consul.
    pub consul: ConsulServer,
    /// The destination behind the service `web`.
    pub destination: DestinationServer,
}

/// A forwarder of a test bed.
pub struct RunningForwarder {
    /// The process; it ends before its folder is removed.
    pub process: ForwarderProcess,
    /// Its folder.
    pub folder: TemporaryFolder,
}

impl TestBed {
    /// Starts the servers, without endpoints.
    pub fn new(name: &str, model: CapacityModel) -> Self {
        TestBed {
            name: name.to_owned(),
            discovery: DiscoveryServer::start(""),
            consul: ConsulServer::start(),
            destination: DestinationServer::new(model),
        }
    }

    /// Opens an endpoint of the destination, and registers it in Consul as an instance of `web`.
    pub fn register_endpoint(&self, id: &str) -> SocketAddr {
        let endpoint = self.destination.open_endpoint();
        self.consul.register(Instance::new("web", "n1", id, endpoint));
        endpoint
    }

    /// Opens and registers endpoints with the ids `w0` and on.
    pub fn register_endpoints(&self, count: usize) -> Vec<SocketAddr> {
        (0..count).map(|number| self.register_endpoint(&format!("w{number}"))).collect()
    }

    /// Starts a forwarder with this configuration, and with these settings where there are any.
    pub fn start_forwarder(
        &self,
        program: &Path,
        number: usize,
        config: &str,
        settings: Option<&str>,
    ) -> RunningForwarder {
        let folder = TemporaryFolder::new(&format!("experiment-{}-{number}", self.name));
        folder.write("config.json", config);
        let settings = settings.map(|text| folder.write("edge.star", text).display().to_string());
        let options: Vec<&str> = settings.iter().flat_map(|path| ["--settings", path]).collect();
        let process = ForwarderProcess::start(program, &folder, &options);
        RunningForwarder { process, folder }
    }

    /// The configuration of a forwarder in this test bed.
    pub fn config(&self) -> ForwarderConfig {
        ForwarderConfig::new(self.discovery.address())
    }

    /// Waits until the forwarder accepts a message for the destination, which it does once it knows an endpoint.
    pub fn wait_for_list(&self, forwarder: &ForwarderProcess) -> Result<(), ExperimentError> {
        let deadline = Instant::now() + ENDPOINT_TIMEOUT;
        let pid = forwarder.pid();
        for number in 0.. {
            let message_id = format!("{}-first-{pid}-{number}", self.name);
            if forwarder.submit_message("status", &message_id, DESTINATION) == 202 {
                break;
            }
            if Instant::now() > deadline {
                return Err(ExperimentError::NoEndpoint {
                    test_bed: self.name.clone(),
                    timeout: ENDPOINT_TIMEOUT,
                });
            }
            std::thread::sleep(ENDPOINT_POLL_INTERVAL);
        }
        Ok(())
    }

    /// Waits until each accepted message has its outcome, or all deadlines are over.
    pub fn wait_for_outcomes(&self, results: &[LoadResult]) -> MessageOutcomes {
        let deadline = Instant::now() + OUTCOME_TIMEOUT;
        loop {
            let outcomes = MessageOutcomes::count(self, results);
            if outcomes.lost == 0 || Instant::now() > deadline {
                return outcomes;
            }
            std::thread::sleep(OUTCOME_POLL_INTERVAL);
        }
    }
}

/// What became of messages.
#[derive(Debug)]
pub struct MessageOutcomes {
    /// Submitted by clients, whatever the answer.
    pub submitted: usize,
    /// Accepted, and answered 200 by the destination.
    pub delivered: usize,
    /// Accepted, and neither delivered nor reported by a notification.
    pub lost: usize,
    /// Answered 200 by the destination more than once.
    pub duplicated: usize,
    /// All calls that the destination received.
    pub calls: Vec<Call>,
}

impl MessageOutcomes {
    fn count(bed: &TestBed, results: &[LoadResult]) -> Self {
        let calls = bed.destination.calls();
        let notifications = bed.discovery.notifications();
        let mut deliveries: BTreeMap<&str, usize> = BTreeMap::new();
        for call in calls.iter().filter(|call| call.served) {
            *deliveries.entry(&call.message_id).or_default() += 1;
        }
        let mut delivered = 0;
        let mut lost = 0;
        for message_id in results.iter().flat_map(|result| &result.accepted) {
            if deliveries.contains_key(message_id.as_str()) {
                delivered += 1;
            } else if !notifications.contains_key(message_id) {
                lost += 1;
            }
        }
        let submitted = results.iter().map(LoadResult::submitted).sum();
        let duplicated = deliveries.values().filter(|count| **count > 1).count();
        MessageOutcomes { submitted, delivered, lost, duplicated, calls }
    }
}

//! A test bed with a fake destination, a fake Consul and a fake discovery, and with forwarders as processes. It counts
//! the outcomes of the messages at the fakes.

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

/// Number of the destination that the service `web` serves.
pub const DESTINATION: u64 = 3;
/// Maximum wait for the outcomes of all messages. It is longer than a message's deadline and the notification after it.
const OUTCOME_TIMEOUT: Duration = Duration::from_secs(16);
const OUTCOME_POLL_INTERVAL: Duration = Duration::from_millis(100);
const ENDPOINT_TIMEOUT: Duration = Duration::from_secs(10);
const ENDPOINT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Returns settings that discover the service `web` in this Consul, with a capacity in calls per second.
pub fn consul_settings(consul: SocketAddr, capacity_rps: f64) -> String {
    format!(
        "consul(\n    addresses = [\"{consul}\"],\n    networks = [\"127.0.0.0/8\"],\n    wait = \"10s\",\n    \
         services = [service(name = \"web\", destination = {DESTINATION}, kind = \"one\", zone = \"a\", \
         capacity = {capacity_rps:?})],\n)\n"
    )
}

/// The servers of a test bed.
pub struct TestBed {
    /// Name of the test bed, unique within a run.
    pub name: String,
    /// Fake discovery, which also receives notifications.
    pub discovery: DiscoveryServer,
    /// Fake Consul.
    pub consul: ConsulServer,
    /// Fake destination behind the service `web`.
    pub destination: DestinationServer,
}

/// A forwarder of a test bed.
pub struct RunningForwarder {
    /// The process. It is declared before the folder, so that it ends before its folder is removed.
    pub process: ForwarderProcess,
    /// Folder of the forwarder.
    pub folder: TemporaryFolder,
}

impl TestBed {
    /// Starts the servers without endpoints.
    pub fn new(name: &str, model: CapacityModel) -> Self {
        TestBed {
            name: name.to_owned(),
            discovery: DiscoveryServer::start(""),
            consul: ConsulServer::start(),
            destination: DestinationServer::new(model),
        }
    }

    /// Opens an endpoint of the destination and registers it in Consul as an instance of `web`.
    pub fn register_endpoint(&self, id: &str) -> SocketAddr {
        let endpoint = self.destination.open_endpoint();
        self.consul.register(Instance::new("web", "n1", id, endpoint));
        endpoint
    }

    /// Opens and registers `count` endpoints with the ids `w0`, `w1` and so on.
    pub fn register_endpoints(&self, count: usize) -> Vec<SocketAddr> {
        (0..count).map(|number| self.register_endpoint(&format!("w{number}"))).collect()
    }

    /// Starts a forwarder with this configuration, and with these settings if there are any.
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

    /// Returns the configuration of a forwarder in this test bed.
    pub fn config(&self) -> ForwarderConfig {
        ForwarderConfig::new(self.discovery.address())
    }

    /// Waits until the forwarder accepts a message for the destination, which it does when it knows an endpoint.
    pub fn wait_for_endpoint(&self, forwarder: &ForwarderProcess) -> Result<(), ExperimentError> {
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

    /// Waits until each accepted message has its outcome, or until [`OUTCOME_TIMEOUT`] has passed.
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

/// The outcomes of messages.
#[derive(Debug)]
pub struct MessageOutcomes {
    /// Number of messages that clients sent, regardless of the answer.
    pub submitted: usize,
    /// Number of messages that were accepted and answered 200 by the destination.
    pub delivered: usize,
    /// Number of messages that were accepted and neither delivered nor reported by a notification.
    pub lost: usize,
    /// Number of messages that the destination answered 200 more than once.
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

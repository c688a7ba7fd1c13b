//! A site: a partner, a stand-in Consul and platform, and forwarders; and what became of the messages there.

use crate::load::LoadResult;
use indicatif::{ProgressBar, ProgressDrawTarget, ProgressStyle};
use orchidyoke_fakes::TemporaryFolder;
use orchidyoke_fakes::consul::Instance;
use orchidyoke_fakes::destination::{Call, CapacityModel};
use orchidyoke_fakes::forwarder::ForwarderConfig;
use orchidyoke_fakes::{ConsulServer, DestinationServer, DiscoveryServer, ForwarderProcess};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

/// The destination that the service `web` stands for.
pub const DESTINATION: u64 = 3;
/// Messages have their end within their time, and the notice soon after.
const OUTCOME_TIMEOUT: Duration = Duration::from_secs(16);

/// The settings that follow `web` in this Consul.
pub fn consul_settings(consul: SocketAddr, capacity: f64) -> String {
    format!(
        "consul(\n    addresses = [\"{consul}\"],\n    networks = [\"127.0.0.0/8\"],\n    wait = \"10s\",\n    \
         services = [service(name = \"web\", destination = {DESTINATION}, kind = \"one\", zone = \"a\", \
         capacity = {capacity:?})],\n)\n"
    )
}

/// Stand-ins, and folders for forwarders.
pub struct TestBed {
    pub name: String,
    pub discovery: DiscoveryServer,
    pub consul: ConsulServer,
    pub destination: DestinationServer,
}

impl TestBed {
    pub fn new(name: &str, bearing: CapacityModel) -> Self {
        TestBed {
            name: name.to_owned(),
            discovery: DiscoveryServer::start(""),
            consul: ConsulServer::start(),
            destination: DestinationServer::new(bearing),
        }
    }

    pub fn register_endpoint(&self, id: &str) -> SocketAddr {
        let endpoint = self.destination.open_endpoint();
        self.consul.register(Instance::new("web", "n1", id, endpoint));
        endpoint
    }

    /// A forwarder with this configuration, and this script if there is one.
    pub fn start_forwarder(
        &self,
        program: &Path,
        number: usize,
        config: &str,
        script: Option<&str>,
    ) -> (TemporaryFolder, ForwarderProcess) {
        let folder = TemporaryFolder::new(&format!("lab-{}-{number}", self.name));
        folder.write("config.json", config);
        let settings = script.map(|text| folder.write("edge.star", text).display().to_string());
        let options: Vec<&str> = settings.iter().flat_map(|path| ["--settings", path]).collect();
        let forwarder = ForwarderProcess::start(program, &folder, &options);
        (folder, forwarder)
    }

    pub fn config(&self) -> ForwarderConfig {
        ForwarderConfig::new(self.discovery.address())
    }

    /// Waits until the forwarder knows the destination.
    pub fn wait_for_list(&self, forwarder: &ForwarderProcess) -> Result<(), String> {
        let end = Instant::now() + Duration::from_secs(10);
        let mut number = 0;
        while forwarder.submit_message(
            "status",
            &format!("{}-first-{}-{number}", self.name, forwarder.pid()),
            DESTINATION,
        ) != 202
        {
            number += 1;
            if Instant::now() > end {
                return Err("the forwarder never learnt of the destination".to_owned());
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        Ok(())
    }

    /// Waits until each message that was taken on has its end, or its time is long over.
    pub fn wait_for_outcomes(&self, handed: &[LoadResult]) -> MessageOutcomes {
        let until = Instant::now() + OUTCOME_TIMEOUT;
        loop {
            let ends = MessageOutcomes::new(self, handed);
            if ends.lost == 0 || Instant::now() > until {
                return ends;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
    }
}

/// What became of messages, counted at the far ends.
#[derive(Debug)]
pub struct MessageOutcomes {
    pub submitted: usize,
    pub delivered: usize,
    /// Taken on, and neither delivered nor told of.
    pub lost: usize,
    /// Served more than once.
    pub duplicated: usize,
    pub calls: Vec<Call>,
}

impl MessageOutcomes {
    fn new(site: &TestBed, handed: &[LoadResult]) -> Self {
        let (calls, notices) = (site.destination.calls(), site.discovery.notifications());
        let mut served: BTreeMap<&str, usize> = BTreeMap::new();
        for call in calls.iter().filter(|call| call.served) {
            *served.entry(&call.message_id).or_default() += 1;
        }
        let taken = || handed.iter().flat_map(|handed| &handed.accepted);
        let delivered = taken().filter(|txn| served.contains_key(txn.as_str())).count();
        let told =
            taken().filter(|txn| !served.contains_key(txn.as_str()) && notices.contains_key(*txn)).count();
        let messages = handed.iter().map(|h| h.accepted.len() + h.rejected + h.failed).sum();
        let duplicated = served.values().filter(|count| **count > 1).count();
        MessageOutcomes {
            submitted: messages,
            delivered,
            lost: taken().count() - delivered - told,
            duplicated,
            calls,
        }
    }
}

/// A value at a part of a sorted list; nothing in it is 0.
pub fn percentile(sorted: &[f64], part: f64) -> f64 {
    let place = (part * sorted.len() as f64).ceil() as usize;
    sorted.get(place.clamp(1, sorted.len().max(1)) - 1).copied().unwrap_or(0.0)
}

/// Shows how far a run has come, on a terminal.
pub fn progress(what: &str, span: Duration) -> ProgressBar {
    let bar = ProgressBar::with_draw_target(Some(span.as_secs()), ProgressDrawTarget::stderr());
    let style = ProgressStyle::with_template("{msg} [{bar:40}] {pos}/{len} s");
    bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    bar.set_message(what.to_owned());
    bar
}

/// Waits until a moment, and shows it.
pub fn wait_until(bar: &ProgressBar, start: Instant, at: Duration) {
    while start.elapsed() < at {
        bar.set_position(start.elapsed().as_secs());
        std::thread::sleep((at - start.elapsed()).min(Duration::from_millis(200)));
    }
}

//! The destinations on a forwarder's endpoint list. The endpoints of some serve, and those of the others are down: they
//! refuse connections.

use super::client::{TENANT, TIME_LEFT_SECONDS};
use orchidyoke_fakes::DestinationServer;
use orchidyoke_fakes::destination::CapacityModel;
use orchidyoke_fakes::forwarder::{ForwarderConfig, endpoint_entry};
use orchidyoke_fakes::unused_loopback_address;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use serde_json::{Value, json};
use std::io;
use std::net::SocketAddr;
use tokio::net::TcpSocket;

/// Number of addresses that serve. Destinations share them, because each address needs a listening socket.
const SERVING_ADDRESSES: usize = 50;
/// Disk limit of the state folder, in megabytes. It leaves room to compact a journal of a million messages.
const DISK_MB: f64 = 4096.0;
/// Quota of the tenant, in messages per second. No run exceeds it, so no message gets the lower weight that applies
/// above a quota.
const TENANT_QUOTA_RPS: f64 = 1e6;

/// Addresses for endpoints: those of a fake server, and one that refuses connections.
#[derive(Debug)]
pub struct Endpoints {
    _server: DestinationServer,
    serving: Vec<SocketAddr>,
    refusing: SocketAddr,
    /// A socket that is bound but does not listen, so that the system refuses connections to its port and gives the
    /// port to no other process.
    _bound: TcpSocket,
}

impl Endpoints {
    /// Opens the addresses.
    pub fn open() -> io::Result<Self> {
        let server = DestinationServer::new(CapacityModel::default());
        let serving = (0..SERVING_ADDRESSES).map(|_| server.open_endpoint()).collect();
        let bound = TcpSocket::new_v4()?;
        bound.bind(SocketAddr::new(unused_loopback_address(), 0))?;
        Ok(Endpoints { _server: server, serving, refusing: bound.local_addr()?, _bound: bound })
    }
}

/// Destinations 1 to `count` with one endpoint each.
#[derive(Clone, Debug)]
pub struct Destinations {
    /// Destinations whose endpoint serves.
    pub up: Vec<u64>,
    /// Destinations whose endpoint refuses connections.
    pub down: Vec<u64>,
    /// One entry per destination, in the format of the endpoint list.
    pub entries: Vec<Value>,
}

impl Destinations {
    /// Chooses at random the destinations that are down: the share `share_down` of all.
    pub fn new(endpoints: &Endpoints, count: usize, share_down: f64, rng: &mut StdRng) -> Self {
        let mut shuffled: Vec<u64> = (1..=count as u64).collect();
        shuffled.shuffle(rng);
        let up = shuffled.split_off((count as f64 * share_down).round() as usize);
        let mut addresses = vec![endpoints.refusing; count];
        for destination in &up {
            let number = *destination as usize;
            addresses[number - 1] = endpoints.serving[number % SERVING_ADDRESSES];
        }
        let entry = |(number, address): (usize, &SocketAddr)| entry(number as u64 + 1, *address);
        let entries = addresses.iter().enumerate().map(entry).collect();
        Destinations { up, down: shuffled, entries }
    }

    /// Adds a destination that serves, and returns its number.
    pub fn add(&mut self, endpoints: &Endpoints) -> u64 {
        let destination = self.entries.len() as u64 + 1;
        self.entries.push(entry(destination, endpoints.serving[0]));
        self.up.push(destination);
        destination
    }

    /// Returns the configuration of a forwarder that knows the destinations from its start.
    pub fn config(&self, discovery: SocketAddr, seed: u64) -> String {
        let mut setup = ForwarderConfig::new(discovery);
        setup.max_open = 0;
        setup.disk_mb = DISK_MB;
        let mut config: Value = serde_json::from_str(&setup.text()).unwrap_or_default();
        config["seed"] = json!(format!("{seed:016x}"));
        config["known"]["targets"] = json!(self.entries);
        let settings = &mut config["settings"];
        settings["limits"]["try_limit"] = json!(0);
        settings["tenants"] = json!([{"name": TENANT, "quota_rps": TENANT_QUOTA_RPS}]);
        let time_left_us = u64::from(TIME_LEFT_SECONDS) * 1_000_000;
        for class in settings["classes"].as_array_mut().into_iter().flatten() {
            class["hard_limit_us"] = json!(time_left_us);
            class["on_time_us"] = json!(time_left_us / 2);
        }
        config.to_string()
    }

    /// Returns a snapshot of the list, as discovery sends it.
    pub fn snapshot(&self, version: u64) -> String {
        json!({"rev": version, "all": true, "targets": self.entries}).to_string()
    }

    /// Returns a delta with the last entry, as discovery sends it.
    pub fn delta(&self, version: u64) -> String {
        json!({"rev": version, "all": false, "targets": [self.entries.last()]}).to_string()
    }
}

fn entry(destination: u64, address: SocketAddr) -> Value {
    endpoint_entry(&format!("server-{destination:06}"), address, destination)
}

//! What an installation says of its Consul: plain data, checked by whoever reads it from a file.

use ipnet::IpNet;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Which servers may answer, and how fresh they have to be
/// (<https://developer.hashicorp.com/consul/api-docs/features/consistency>).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Consistency {
    /// The leader, by its lease.
    #[default]
    Default,
    /// Any server, as long as its data is no older than `max_stale`.
    Stale,
    /// The leader, after it has asked its peers.
    Consistent,
}

/// TLS towards Consul. Files are PEM and are read again when they change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tls {
    /// Certificates of the authorities that Consul's own is checked against.
    pub ca: PathBuf,
    /// This forwarder's certificate with those above it, where Consul asks for one.
    pub cert: Option<PathBuf>,
    /// The key of that certificate.
    pub key: Option<PathBuf>,
    /// The name that Consul's certificate has to bear, such as `server.dc1.consul`; the address where there is none.
    pub server_name: Option<String>,
}

/// One service of the catalogue, and what it stands for here.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Its name in the catalogue.
    pub name: String,
    /// The destination that its instances are endpoints of.
    pub destination: u64,
    /// The kind of that destination, as the platform's settings name it.
    pub kind: String,
    /// The zone of instances that have none in their meta data.
    pub zone: String,
    /// The key of the zone in an instance's meta data, or else in its node's.
    pub zone_meta: Option<String>,
    /// What the destination takes, in calls a second; 0 where it is not known.
    pub capacity: f64,
    /// A filter expression that Consul applies.
    pub filter: Option<String>,
}

/// Consul as a source of the transport map.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// Agents or servers, asked in turn when one fails.
    pub addresses: Vec<SocketAddr>,
    /// TLS, if it is spoken.
    pub tls: Option<Tls>,
    /// The file with the token, read for each query.
    pub token_file: Option<PathBuf>,
    /// The datacentre; the agent's own where there is none.
    pub datacenter: Option<String>,
    /// The namespace, where Consul has any.
    pub namespace: Option<String>,
    /// How fresh answers have to be.
    pub consistency: Consistency,
    /// How old an answer may be, where any server may answer: its server's last word from the leader.
    pub max_stale: Duration,
    /// How long Consul may hold a blocking query.
    pub wait: Duration,
    /// Connections at once, at most.
    pub connections: usize,
    /// The services that are followed.
    pub services: Vec<Service>,
    /// Where endpoints may lie; one elsewhere is never dialled.
    pub networks: Vec<IpNet>,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            addresses: Vec::new(),
            tls: None,
            token_file: None,
            datacenter: None,
            namespace: None,
            consistency: Consistency::Default,
            max_stale: Duration::from_secs(10),
            wait: Duration::from_secs(30),
            connections: 64,
            services: Vec::new(),
            networks: Vec::new(),
        }
    }
}

impl Settings {
    /// A short name for these settings: others have another.
    pub fn id(&self) -> String {
        // Plain data: there is nothing in it that JSON cannot hold.
        let text = serde_json::to_vec(self).unwrap_or_default();
        format!("consul:{:08x}.{:x}", crc32fast::hash(&text), text.len())
    }
}

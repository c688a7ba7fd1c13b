//! The settings of an installation's Consul: plain data, checked by whoever reads it from a file.
//!
//! [`Settings::id`] is a checksum over their JSON and is stored with the endpoint list, so the names of the fields here are
//! a stored form.

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
    /// The leader answers, as long as its lease runs.
    #[default]
    Default,
    /// Any server answers (stale reads), as long as its data is no older than `max_stale`.
    Stale,
    /// The leader answers after a quorum has confirmed it.
    Consistent,
}

/// TLS towards Consul. Files are PEM and are read again when they change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tls {
    /// The authorities' certificates that Consul's own is verified with.
    pub ca: PathBuf,
    /// This forwarder's certificate chain, where Consul requires one.
    pub cert: Option<PathBuf>,
    /// The key of that certificate.
    pub key: Option<PathBuf>,
    /// The name that Consul's certificate has to bear, such as `server.dc1.consul`; the IP address where it is `None`.
    pub server_name: Option<String>,
}

/// One service of the catalogue, and the destination that it stands for.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Its name in the catalogue.
    pub name: String,
    /// The destination that its instances are endpoints of.
    pub destination: u64,
    /// The kind of that destination, by its name in the platform's settings.
    pub kind: String,
    /// The zone of instances without one in their metadata.
    pub zone: String,
    /// The metadata key of the zone, in the instance's or else in its node's.
    pub zone_meta: Option<String>,
    /// The capacity of the destination, in calls a second; 0 where it is unknown.
    pub capacity: f64,
    /// A filter expression that Consul applies.
    pub filter: Option<String>,
}

/// Consul as the source of the endpoint list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// Agents or servers; the next one is used when one fails.
    pub addresses: Vec<SocketAddr>,
    /// TLS; plain HTTP where it is `None`.
    pub tls: Option<Tls>,
    /// The file with the token, read for each request.
    pub token_file: Option<PathBuf>,
    /// The datacentre; the agent's own where it is `None`.
    pub datacenter: Option<String>,
    /// The namespace, where Consul has namespaces.
    pub namespace: Option<String>,
    /// Which servers may answer.
    pub consistency: Consistency,
    /// The oldest data that counts under [`Consistency::Stale`]: the time since the server's last contact with the leader.
    pub max_stale: Duration,
    /// How long Consul may hold a blocking query.
    pub wait: Duration,
    /// Most connections at once.
    pub connections: usize,
    /// The services to follow.
    pub services: Vec<Service>,
    /// Where endpoints may lie; an address elsewhere is never dialled.
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
    /// A name for these settings, which changes when any of them does.
    pub fn id(&self) -> String {
        // Serializing plain data does not fail.
        let text = serde_json::to_vec(self).unwrap_or_default();
        format!("consul:{:08x}.{:x}", crc32fast::hash(&text), text.len())
    }
}

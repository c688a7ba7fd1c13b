//! The settings of an installation's Consul. They are plain data; the code that reads them from a file checks them.
//!
//! [`Settings::id`] is a checksum of their JSON and is stored with the endpoint list. So the names of the fields here
//! are part of a stored format and must not change.

use ipnet::IpNet;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Which servers may answer, and how fresh their data must be
/// (<https://developer.hashicorp.com/consul/api-docs/features/consistency>).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Consistency {
    /// The leader answers as long as its lease is valid.
    #[default]
    Default,
    /// Any server answers (stale reads). A response is used only if its data is no older than `max_stale`.
    Stale,
    /// The leader answers after a quorum has confirmed that it is the leader.
    Consistent,
}

/// TLS towards Consul. The files are in PEM format and are read again when they change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tls {
    /// Certificates of the authorities that may have signed Consul's certificate.
    pub ca: PathBuf,
    /// This forwarder's certificate chain; `None` if Consul requires no client certificate.
    pub cert: Option<PathBuf>,
    /// Private key of this forwarder's certificate.
    pub key: Option<PathBuf>,
    /// The name that Consul's certificate must contain, such as `server.dc1.consul`. If it is `None`, the certificate
    /// must contain the IP address.
    pub server_name: Option<String>,
}

/// One service of the catalogue, and the destination whose endpoints are its instances.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// The service's name in the catalogue.
    pub name: String,
    /// The destination that its instances are endpoints of.
    pub destination: u64,
    /// The kind of that destination, by its name in the platform's settings.
    pub kind: String,
    /// The zone of instances that have no zone in their metadata.
    pub zone: String,
    /// The metadata key of the zone. It is looked up in the metadata of the instance, then in that of its node. If it
    /// is `None`, all instances are in `zone`.
    pub zone_meta: Option<String>,
    /// The capacity of the destination, in calls a second; 0 if it is unknown.
    pub capacity: f64,
    /// A filter expression that Consul applies to the instances.
    pub filter: Option<String>,
}

/// Consul as the source of the endpoint list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// Addresses of agents or servers. If one fails, the next one is used.
    pub addresses: Vec<SocketAddr>,
    /// TLS settings; plain HTTP if `None`.
    pub tls: Option<Tls>,
    /// The file with the token, which is read for each request. Requests carry no token if it is `None`.
    pub token_file: Option<PathBuf>,
    /// The datacentre; that of the agent if `None`.
    pub datacenter: Option<String>,
    /// The namespace; requests name no namespace if `None`.
    pub namespace: Option<String>,
    /// Which servers may answer, and how fresh their data must be.
    pub consistency: Consistency,
    /// The greatest age of data that is used with [`Consistency::Stale`]. The age is the time since the server's last
    /// contact with the leader.
    pub max_stale: Duration,
    /// The longest time that Consul may hold a blocking query.
    pub wait: Duration,
    /// The most connections that may be open at once for the endpoint list.
    pub connections: usize,
    /// The services to follow.
    pub services: Vec<Service>,
    /// Networks in which endpoints may lie. An address in any other network is never dialled.
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
    /// Returns an identifier of these settings, which changes when any of them changes.
    pub fn id(&self) -> String {
        // Serializing plain data does not fail.
        let text = serde_json::to_vec(self).unwrap_or_default();
        format!("consul:{:08x}.{:x}", crc32fast::hash(&text), text.len())
    }
}

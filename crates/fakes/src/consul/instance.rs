//! Instances of services, as they are registered in the catalogue.

use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The share of traffic that Consul advises for an instance, by its health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InstanceWeights {
    /// While all its checks pass.
    pub passing: i64,
    /// While a check warns.
    pub warning: i64,
}

/// An instance of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Instance {
    /// The service.
    pub service: String,
    /// The node it runs on.
    pub node: String,
    /// The id, unique on its node.
    pub id: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its tags.
    pub tags: Vec<String>,
    /// Its metadata.
    pub meta: BTreeMap<String, String>,
    /// Its weights.
    pub weights: InstanceWeights,
    /// Its checks: status by id.
    pub checks: BTreeMap<String, String>,
}

impl Instance {
    /// An instance with one passing check, named `service:ID`.
    pub fn new(service: &str, node: &str, id: &str, address: SocketAddr) -> Self {
        Instance {
            service: service.to_owned(),
            node: node.to_owned(),
            id: id.to_owned(),
            address,
            tags: Vec::new(),
            meta: BTreeMap::new(),
            weights: InstanceWeights { passing: 1, warning: 1 },
            checks: BTreeMap::from([(format!("service:{id}"), "passing".to_owned())]),
        }
    }
}

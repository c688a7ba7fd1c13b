//! Instances of services that tests register in the catalogue.

use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The weights of an instance, which Consul returns as advice on its share of the traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InstanceWeights {
    /// The weight while all its checks are passing.
    pub passing: i64,
    /// The weight while a check is at warning.
    pub warning: i64,
}

/// An instance of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Instance {
    /// The name of its service.
    pub service: String,
    /// The node that it runs on.
    pub node: String,
    /// The id, unique on its node.
    pub id: String,
    /// The address at which it listens.
    pub address: SocketAddr,
    /// Its tags.
    pub tags: Vec<String>,
    /// Its metadata.
    pub meta: BTreeMap<String, String>,
    /// Its weights.
    pub weights: InstanceWeights,
    /// The statuses of its checks by their ids.
    pub checks: BTreeMap<String, String>,
}

impl Instance {
    /// Creates an instance with one passing check, whose id is `service:ID`.
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

//! Instances of services, as they are registered.

use std::collections::BTreeMap;
use std::net::SocketAddr;

/// An instance of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Instance {
    /// The service.
    pub service: String,
    /// The node, which has the address of the instance unless it was told otherwise before.
    pub node: String,
    /// The id, the only one on its node.
    pub id: String,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its tags.
    pub tags: Vec<String>,
    /// Its meta data.
    pub meta: BTreeMap<String, String>,
    /// Its weights, passing and warning.
    pub weights: (i64, i64),
    /// Its checks: id and status.
    pub checks: BTreeMap<String, String>,
}

impl Instance {
    /// An instance with one check, that passes.
    pub fn new(service: &str, node: &str, id: &str, address: SocketAddr) -> Self {
        Instance {
            service: service.to_owned(),
            node: node.to_owned(),
            id: id.to_owned(),
            address,
            tags: Vec::new(),
            meta: BTreeMap::new(),
            weights: (1, 1),
            checks: BTreeMap::from([(format!("service:{id}"), "passing".to_owned())]),
        }
    }
}

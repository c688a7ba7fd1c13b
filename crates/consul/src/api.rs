//! The responses of Consul's HTTP API, as far as they are read here.

use serde::{Deserialize, Deserializer};
use std::collections::BTreeMap;

/// Go writes an empty list or map as `null`.
fn null_as_default<'de, D: Deserializer<'de>, T: Default + Deserialize<'de>>(from: D) -> Result<T, D::Error> {
    Ok(Option::deserialize(from)?.unwrap_or_default())
}

/// An entry of `GET /v1/health/service/:service`
/// (<https://developer.hashicorp.com/consul/api-docs/health#list-service-instances-for-service>).
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(rename_all = "PascalCase")]
pub struct ServiceEntry {
    /// The node that the instance runs on.
    pub node: Node,
    /// The instance.
    pub service: Instance,
    /// Its health checks and those of its node.
    #[serde(default, deserialize_with = "null_as_default")]
    pub checks: Vec<Check>,
}

/// A node.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(rename_all = "PascalCase")]
pub struct Node {
    /// Its name, unique in its datacentre.
    pub node: String,
    /// Its address, an IP address or a name.
    #[serde(default)]
    pub address: String,
    /// Metadata that its operators set.
    #[serde(default, deserialize_with = "null_as_default")]
    pub meta: BTreeMap<String, String>,
}

/// An instance of a service.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
pub struct Instance {
    /// Its id, unique on its node.
    #[serde(rename = "ID")]
    pub id: String,
    /// Its address where that is not the node's.
    #[serde(rename = "Address", default)]
    pub address: String,
    /// Its port; 0 where it has none.
    #[serde(rename = "Port", default)]
    pub port: i64,
    /// Tags.
    #[serde(rename = "Tags", default, deserialize_with = "null_as_default")]
    pub tags: Vec<String>,
    /// Metadata that its operators set.
    #[serde(rename = "Meta", default, deserialize_with = "null_as_default")]
    pub meta: BTreeMap<String, String>,
    /// Its weights, by the status of its checks.
    #[serde(rename = "Weights", default, deserialize_with = "null_as_default")]
    pub weights: Weights,
}

/// The weights of an instance; 0 or less takes it out.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "PascalCase", default)]
pub struct Weights {
    /// While all checks are passing.
    pub passing: i64,
    /// While one check is at warning.
    pub warning: i64,
}

impl Default for Weights {
    fn default() -> Self {
        Weights { passing: 1, warning: 1 }
    }
}

/// A health check, of an instance or of a whole node.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
pub struct Check {
    /// Its id; maintenance mode is a check with an id of its own.
    #[serde(rename = "CheckID", default)]
    pub id: String,
    /// `passing`, `warning`, `critical`, or `maintenance` in a summary.
    #[serde(rename = "Status", default)]
    pub status: String,
    /// The node.
    #[serde(rename = "Node", default)]
    pub node: String,
    /// The service; empty for a check of the whole node.
    #[serde(rename = "ServiceName", default)]
    pub service: String,
}

/// The id of the check that puts a node in maintenance mode.
pub const NODE_MAINTENANCE: &str = "_node_maintenance";
/// What the id of a check begins with that puts an instance in maintenance mode.
pub const SERVICE_MAINTENANCE: &str = "_service_maintenance:";

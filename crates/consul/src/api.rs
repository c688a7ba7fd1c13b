//! Types for the fields that this package reads from the responses of Consul's HTTP API.

use serde::{Deserialize, Deserializer};
use std::collections::BTreeMap;

/// Reads `null` as the default value, because Go writes an empty list or map as `null`.
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
    /// Its address; empty if it has the address of its node.
    #[serde(rename = "Address", default)]
    pub address: String,
    /// Its port; 0 if it has none.
    #[serde(rename = "Port", default)]
    pub port: i64,
    /// Tags that its operators set.
    #[serde(rename = "Tags", default, deserialize_with = "null_as_default")]
    pub tags: Vec<String>,
    /// Metadata that its operators set.
    #[serde(rename = "Meta", default, deserialize_with = "null_as_default")]
    pub meta: BTreeMap<String, String>,
    /// Its weights for each status of its checks.
    #[serde(rename = "Weights", default, deserialize_with = "null_as_default")]
    pub weights: Weights,
}

/// The weights of an instance. With a weight of 0 or less the instance is draining.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "PascalCase", default)]
pub struct Weights {
    /// The weight while all checks are passing.
    pub passing: i64,
    /// The weight while the worst check is at warning.
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
    /// Its id. Consul represents maintenance mode as a check with a reserved id.
    #[serde(rename = "CheckID", default)]
    pub id: String,
    /// `passing`, `warning`, `critical`, or `maintenance` in a summary.
    #[serde(rename = "Status", default)]
    pub status: String,
    /// The name of the node.
    #[serde(rename = "Node", default)]
    pub node: String,
    /// The name of the service; empty for a check of the whole node.
    #[serde(rename = "ServiceName", default)]
    pub service: String,
}

/// The id of the check that puts a node in maintenance mode.
pub const NODE_MAINTENANCE: &str = "_node_maintenance";
/// The prefix of the id of a check that puts an instance in maintenance mode.
pub const SERVICE_MAINTENANCE: &str = "_service_maintenance:";

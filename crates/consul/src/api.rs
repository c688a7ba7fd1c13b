//! The answers of Consul's HTTP API, as far as they are read here.

use serde::{Deserialize, Deserializer};
use std::collections::BTreeMap;

/// Go writes an empty list or map as `null`.
fn or_none<'de, D: Deserializer<'de>, T: Default + Deserialize<'de>>(from: D) -> Result<T, D::Error> {
    Ok(Option::deserialize(from)?.unwrap_or_default())
}

/// A line of `GET /v1/health/service/:service`
/// (<https://developer.hashicorp.com/consul/api-docs/health#list-service-instances-for-service>).
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(rename_all = "PascalCase")]
pub struct ServiceEntry {
    /// Where the instance runs.
    pub node: Node,
    /// The instance.
    pub service: Instance,
    /// Its checks and those of its node.
    #[serde(default, deserialize_with = "or_none")]
    pub checks: Vec<Check>,
}

/// A node.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(rename_all = "PascalCase")]
pub struct Node {
    /// Its name, the only one in its datacentre.
    pub node: String,
    /// Its address, an IP address or a name.
    #[serde(default)]
    pub address: String,
    /// What its operators say of it.
    #[serde(default, deserialize_with = "or_none")]
    pub meta: BTreeMap<String, String>,
}

/// An instance of a service.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
pub struct Instance {
    /// The only one on its node.
    #[serde(rename = "ID")]
    pub id: String,
    /// Its address where that is not the node's.
    #[serde(rename = "Address", default)]
    pub address: String,
    /// Its port; 0 where it has none.
    #[serde(rename = "Port", default)]
    pub port: i64,
    /// Marks.
    #[serde(rename = "Tags", default, deserialize_with = "or_none")]
    pub tags: Vec<String>,
    /// What its operators say of it.
    #[serde(rename = "Meta", default, deserialize_with = "or_none")]
    pub meta: BTreeMap<String, String>,
    /// Its weights.
    #[serde(rename = "Weights", default, deserialize_with = "or_none")]
    pub weights: Weights,
}

/// The weights of an instance, by what its checks say.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "PascalCase", default)]
pub struct Weights {
    /// While they pass.
    pub passing: i64,
    /// While one warns.
    pub warning: i64,
}

impl Default for Weights {
    fn default() -> Self {
        Weights { passing: 1, warning: 1 }
    }
}

/// A check, of an instance or of a whole node.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
pub struct Check {
    /// Its id; maintenance has ids of its own.
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

/// The check that stands for the maintenance of a node.
pub const NODE_MAINTENANCE: &str = "_node_maintenance";
/// What the check begins with that stands for the maintenance of an instance.
pub const SERVICE_MAINTENANCE: &str = "_service_maintenance:";

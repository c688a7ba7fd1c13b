//! The transport map as data: the list of endpoints, its form, and how news changes it.

mod bounds;
mod list;

pub use bounds::{ListError, MAX_ENTRIES, MAX_LIST_BYTES, bounded_watch_event, parse_list};
pub use list::{EndpointList, ListedEndpoint};

pub use crate::interface::{EndpointState, HealthStatus};

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Bytes of a line of the list beside its names and its address, at most: all its numbers at their longest.
const LINE_SIZE: usize = 160;
/// Bytes of an address at most.
const IPV4_SIZE: usize = "255.255.255.255:65535".len();
const IPV6_SIZE: usize = "[ffff:ffff:ffff:ffff:ffff:ffff:ffff:ffff%4294967295]:65535".len();
/// A byte of a name that JSON does not write as it is takes up to so many more.
const ESCAPE_SIZE: usize = "\\u0000".len() - 1;

/// A line of the list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointEntry {
    /// The same at every forwarder, and across restarts.
    pub uid: String,
    /// Where this forwarder reaches it.
    #[serde(rename = "endpoint")]
    pub address: SocketAddr,
    /// Its zone.
    #[serde(rename = "az", default)]
    pub zone: String,
    /// The kind of its destination.
    #[serde(rename = "model", default)]
    pub kind: String,
    /// Its destination.
    #[serde(rename = "pod_group")]
    pub destination: u64,
    /// Whether it takes anything new.
    pub state: EndpointState,
    /// What its destination takes, in calls a second.
    #[serde(default)]
    pub capacity_hint: f64,
    /// What health checks say of it.
    #[serde(rename = "checks", default, skip_serializing_if = "HealthStatus::is_passing")]
    pub health: HealthStatus,
}

impl EndpointEntry {
    /// About the bytes of its line, never less.
    pub fn size(&self) -> usize {
        line_size(&self.address, [&self.uid, &self.zone, &self.kind])
    }
}

/// About the bytes of a line with this address and these names, never less.
fn line_size(endpoint: &SocketAddr, names: [&str; 3]) -> usize {
    let address = if endpoint.is_ipv4() { IPV4_SIZE } else { IPV6_SIZE };
    let name_size = |name: &str| {
        let escaped = name.bytes().filter(|byte| matches!(byte, 0..0x20 | b'"' | b'\\' | 0x7f));
        name.len() + escaped.count() * ESCAPE_SIZE
    };
    LINE_SIZE + address + names.into_iter().map(name_size).sum::<usize>()
}

/// The whole list, or what has changed in it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WatchEvent {
    /// Version of the list after this news.
    #[serde(rename = "rev")]
    pub version: u64,
    /// Whether this is the whole list.
    #[serde(rename = "all")]
    pub is_snapshot: bool,
    /// The entries.
    #[serde(rename = "targets")]
    pub endpoints: Vec<EndpointEntry>,
    /// Who told it: the id of a catalogue; empty for discovery.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub origin: String,
}

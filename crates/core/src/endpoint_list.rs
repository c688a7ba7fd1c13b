//! The endpoint list as data: its entries, the events that change it, and the list as it stands. Used by discovery, the
//! journal and the forwarder; it holds no decision.

mod bounds;
mod list;

pub use bounds::{ListError, MAX_ENTRIES, MAX_LIST_BYTES, bounded_watch_event, parse_list};
pub use list::{EndpointList, ListedEndpoint};

pub use crate::interface::{EndpointState, HealthStatus};

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Most bytes of an entry beside its names and its address: all its numbers at their longest.
const ENTRY_BYTES: usize = 160;
/// Most bytes of an address.
const IPV4_BYTES: usize = "255.255.255.255:65535".len();
const IPV6_BYTES: usize = "[ffff:ffff:ffff:ffff:ffff:ffff:ffff:ffff%4294967295]:65535".len();
/// Most bytes that JSON adds to escape a byte of a name.
const ESCAPE_BYTES: usize = "\\u0000".len() - 1;

/// An entry of the list, as discovery and the journal write it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointEntry {
    /// Its id, the same at every forwarder and across restarts.
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
    /// Whether it takes new calls.
    pub state: EndpointState,
    /// Capacity of its destination, in calls a second.
    #[serde(default)]
    pub capacity_hint: f64,
    /// Result of its health checks.
    #[serde(rename = "checks", default, skip_serializing_if = "HealthStatus::is_passing")]
    pub health: HealthStatus,
}

impl EndpointEntry {
    /// Bytes of the entry as JSON, rounded up.
    pub fn size(&self) -> usize {
        entry_size(&self.address, [&self.uid, &self.zone, &self.kind])
    }
}

/// Bytes of an entry with this address and these names as JSON, rounded up.
fn entry_size(address: &SocketAddr, names: [&str; 3]) -> usize {
    let address_bytes = if address.is_ipv4() { IPV4_BYTES } else { IPV6_BYTES };
    let name_size = |name: &str| {
        let escaped = name.bytes().filter(|byte| matches!(byte, 0..0x20 | b'"' | b'\\' | 0x7f));
        name.len() + escaped.count() * ESCAPE_BYTES
    };
    ENTRY_BYTES + address_bytes + names.into_iter().map(name_size).sum::<usize>()
}

/// An event of the watch: the whole list, or what has changed in it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WatchEvent {
    /// Version of the list after this event.
    #[serde(rename = "rev")]
    pub version: u64,
    /// Whether this is the whole list.
    #[serde(rename = "all")]
    pub is_snapshot: bool,
    /// The entries.
    #[serde(rename = "targets")]
    pub endpoints: Vec<EndpointEntry>,
    /// Its source: the id of a catalogue; empty for discovery.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub origin: String,
}

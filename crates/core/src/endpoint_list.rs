//! The endpoint list as data: its entries, the events that change it, and its current state. Discovery, the journal and
//! the forwarder use it. It makes no decisions.

mod bounds;
mod list;

pub use bounds::{ListError, MAX_ENTRIES, MAX_LIST_BYTES, bounded_watch_event, parse_list};
pub use list::{EndpointList, ListedEndpoint};

pub use crate::interface::{EndpointState, HealthStatus};

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Maximum size of an entry in bytes, without its names and its address, if all its numbers are at their longest.
const ENTRY_BYTES: usize = 160;
/// Maximum size of an address in bytes.
const IPV4_BYTES: usize = "255.255.255.255:65535".len();
const IPV6_BYTES: usize = "[ffff:ffff:ffff:ffff:ffff:ffff:ffff:ffff%4294967295]:65535".len();
/// Maximum number of bytes that JSON adds to escape one byte of a name.
const ESCAPE_BYTES: usize = "\\u0000".len() - 1;

/// An entry of the endpoint list, as discovery and the journal write it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointEntry {
    /// Its id, which is the same at every forwarder and across restarts.
    pub uid: String,
    /// The address at which this forwarder reaches it.
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
    /// Its state, which says whether it accepts new calls.
    pub state: EndpointState,
    /// Capacity of its destination, in calls a second; 0 if unknown.
    #[serde(default)]
    pub capacity_hint: f64,
    /// Result of its health checks; `Passing` if absent.
    #[serde(rename = "checks", default, skip_serializing_if = "HealthStatus::is_passing")]
    pub health: HealthStatus,
}

impl EndpointEntry {
    /// Returns an upper bound for the size of the entry as JSON, in bytes.
    pub fn size(&self) -> usize {
        entry_size(&self.address, [&self.uid, &self.zone, &self.kind])
    }
}

/// Returns an upper bound for the size as JSON, in bytes, of an entry with this address and these names.
fn entry_size(address: &SocketAddr, names: [&str; 3]) -> usize {
    let address_bytes = if address.is_ipv4() { IPV4_BYTES } else { IPV6_BYTES };
    let name_size = |name: &str| {
        let escaped = name.bytes().filter(|byte| matches!(byte, 0..0x20 | b'"' | b'\\' | 0x7f));
        name.len() + escaped.count() * ESCAPE_BYTES
    };
    ENTRY_BYTES + address_bytes + names.into_iter().map(name_size).sum::<usize>()
}

/// An event of the watch: the whole list, or its changes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WatchEvent {
    /// Version of the list after this event.
    #[serde(rename = "rev")]
    pub version: u64,
    /// Whether the event contains the whole list.
    #[serde(rename = "all")]
    pub is_snapshot: bool,
    /// The entries: all of them in a snapshot, only the changed ones in a delta.
    #[serde(rename = "targets")]
    pub endpoints: Vec<EndpointEntry>,
    /// The source of the list: the id of a catalogue; empty for discovery.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub origin: String,
}

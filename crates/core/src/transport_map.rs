//! The transport map as data: the list of endpoints, its form, and how news changes it.

mod bounds;
mod map;

pub use bounds::{LARGEST_LIST, ListError, MOST_ENTRIES, bounded_news, read_list};
pub use map::{MapEntry, TransportMap};

use crate::interface::{Listed, Report};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What the list says of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// To be used.
    InService,
    /// Nothing new may go there.
    Terminating,
    /// Gone; only among changes.
    Terminated,
}

impl From<State> for Listed {
    fn from(state: State) -> Self {
        match state {
            State::InService => Listed::On,
            State::Terminating => Listed::Draining,
            State::Terminated => Listed::Gone,
        }
    }
}

/// What health checks say of an endpoint; discovery tells nothing of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Checks {
    /// All pass, or there are none.
    #[default]
    Passing,
    /// At least one warns.
    Warning,
    /// At least one fails.
    Critical,
}

impl Checks {
    /// Whether there is nothing to tell.
    pub fn pass(&self) -> bool {
        *self == Checks::Passing
    }
}

impl From<Checks> for Report {
    fn from(checks: Checks) -> Self {
        match checks {
            Checks::Passing => Report::Fit,
            Checks::Warning => Report::Warning,
            Checks::Critical => Report::Critical,
        }
    }
}

/// Bytes of a line of the list beside its names and its address, at most: all its numbers at their longest.
const LINE_SIZE: usize = 160;
/// Bytes of an address at most.
const IPV4_SIZE: usize = "255.255.255.255:65535".len();
const IPV6_SIZE: usize = "[ffff:ffff:ffff:ffff:ffff:ffff:ffff:ffff%4294967295]:65535".len();
/// A byte of a name that JSON does not write as it is takes up to so many more.
const ESCAPE_SIZE: usize = "\\u0000".len() - 1;

/// A line of the list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// The same at every forwarder, and across restarts.
    pub uid: String,
    /// Where this forwarder reaches it.
    pub endpoint: SocketAddr,
    /// Its zone.
    #[serde(default)]
    pub az: String,
    /// The kind of its destination.
    #[serde(default)]
    pub model: String,
    /// Its destination.
    pub pod_group: u64,
    /// Whether it takes anything new.
    pub state: State,
    /// What its destination takes, in calls a second.
    #[serde(default)]
    pub capacity_hint: f64,
    /// What health checks say of it.
    #[serde(default, skip_serializing_if = "Checks::pass")]
    pub checks: Checks,
}

impl Target {
    /// About the bytes of its line, never less.
    pub fn size(&self) -> usize {
        line_size(&self.endpoint, [&self.uid, &self.az, &self.model])
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
pub struct News {
    /// Version of the list after this news.
    pub rev: u64,
    /// Whether this is the whole list.
    pub all: bool,
    /// The entries.
    pub targets: Vec<Target>,
    /// Who told it: the id of a catalogue; empty for discovery.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub origin: String,
}

//! What the experiment and its child processes tell each other: one JSON object a line, on the child's standard input
//! and output.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// What a child process is to be: the first line on its standard input.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Role {
    /// Hollow forwarders of one zone.
    Members(MembersRole),
    /// The control stand-in of one zone.
    Control(ControlRole),
}

/// A process with the control parts of several forwarders.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MembersRole {
    /// The forwarders' names, the only ones in the fleet.
    pub names: Vec<String>,
    /// Where the commit point of the fleet's policy is reached.
    pub policy: SocketAddr,
    /// Where the region's duties are reached.
    pub duties: SocketAddr,
    /// How many duties the region shares.
    pub duty_count: u32,
    /// The TTL of all sessions.
    pub ttl: Duration,
    /// A configuration that all of them have, whole and checked.
    pub configuration: PathBuf,
    /// Where each keeps its files, in a folder of its name.
    pub folder: PathBuf,
    /// Each also reads all members of the fleet again at every change to one of them. Only sabotage asks for this.
    pub reads_all_members: bool,
}

/// The control stand-in of a zone: what its forwarders connect to.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ControlRole {
    /// The store with the commit point of the fleet's policy.
    pub policy: Store,
    /// The store with the region's duties.
    pub duties: Store,
}

/// Where a store is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Store {
    /// In this process.
    Here,
    /// In another, at this address.
    At(SocketAddr),
}

/// What a child is asked for.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Request {
    /// Members: start all of them.
    Begin,
    /// Members: this one stops in good order and starts again.
    Restart(String),
    /// Members: this one ends without a word, as a process does that is killed.
    Kill(String),
    /// Control: report the counts, under this number.
    Count(u64),
    /// Control: the links of its zone are cut, or joined again.
    Cut(bool),
    /// Control: sessions that are not renewed end after so many times their TTL.
    SessionsEndAfter(f64),
}

/// What a child reports.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Report {
    /// Members: the process is up, and has started none of them.
    Up,
    /// Control: it listens.
    Listens(Listens),
    /// A policy is in force on a member.
    InForce(InForce),
    /// A member has left in good order and is starting again.
    Restarted(String),
    /// Control: the counts that were asked for under this number.
    Counted(u64, Counts),
}

/// Where a control stand-in is reached.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Listens {
    /// Its forwarders' link to the commit point.
    pub policy_link: SocketAddr,
    /// Its forwarders' link to the duties.
    pub duties_link: SocketAddr,
    /// The store with the commit point, where it is here.
    pub policy_store: Option<SocketAddr>,
    /// The store with the duties, where it is here.
    pub duties_store: Option<SocketAddr>,
}

/// A policy that is in force on a member: it is on its way to the decisions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForce {
    /// The member.
    pub name: String,
    /// The policy's number.
    pub epoch: u64,
    /// When, in microseconds of the machine's clock.
    pub at: u64,
}

/// What a control stand-in has counted since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Bytes over its zone's link to the commit point, both ways.
    pub policy_bytes: u64,
    /// Bytes over its zone's link to the duties, both ways.
    pub duties_bytes: u64,
    /// Requests to the store with the commit point; 0 where that is elsewhere.
    pub policy_requests: u64,
    /// Requests to the store with the duties; 0 where that is elsewhere.
    pub duties_requests: u64,
}

/// The machine's clock in microseconds, the same for all processes.
pub fn clock() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_micros() as u64)
}

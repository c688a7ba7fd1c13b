//! Messages between the experiment and its child processes: one JSON object per line, on the child's standard input and
//! output.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The role of a child process, sent as the first line on its standard input.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Role {
    /// Runs simulated forwarders of one zone.
    Members(MembersRole),
    /// Runs the control process of one zone.
    Control(ControlRole),
}

/// The role of a process with several simulated forwarders.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MembersRole {
    /// Names of the forwarders, unique in the fleet.
    pub names: Vec<String>,
    /// Address of the zone's link to the commit point of the policy.
    pub policy: SocketAddr,
    /// Address of the zone's link to the region's lease store.
    #[serde(rename = "duties")]
    pub leases: SocketAddr,
    /// Number of leases in the region.
    #[serde(rename = "duty_count")]
    pub lease_count: u32,
    /// TTL of all sessions.
    pub ttl: Duration,
    /// Path of a complete and valid configuration that all the forwarders share.
    pub configuration: PathBuf,
    /// Folder in which each forwarder has a folder of its own name for its files.
    pub folder: PathBuf,
    /// Whether each forwarder also reads all members of the fleet again at each change to one of them. Set only under
    /// sabotage.
    pub reads_all_members: bool,
}

/// The role of a zone's control process, which the zone's forwarders connect to.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ControlRole {
    /// Location of the store with the commit point of the policy.
    pub policy: Store,
    /// Location of the region's lease store.
    #[serde(rename = "duties")]
    pub leases: Store,
}

/// The location of a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Store {
    /// The process that gets the role runs the store.
    Here,
    /// Another process runs the store, at this address.
    At(SocketAddr),
}

/// A request to a child process. The description of each variant begins with the role that the request is for.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Request {
    /// Members: starts all forwarders of the process.
    Begin,
    /// Members: stops this forwarder gracefully and starts it again.
    Restart(String),
    /// Members: stops this forwarder abruptly, as if its process were killed.
    Kill(String),
    /// Control: asks for a report of the counts, with this number.
    Count(u64),
    /// Control: cuts the links of the zone if `true`; otherwise restores them.
    Cut(bool),
    /// Control: sets the time after which a session that is not renewed expires, as a multiple of its TTL.
    SessionsEndAfter(f64),
}

/// A report of a child process. The description of each variant begins with the role that sends the report.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Report {
    /// Members: the process has started. None of its forwarders runs yet.
    Up,
    /// Control: the control process listens at these addresses.
    Listens(ControlAddresses),
    /// Members: a policy is in force on a member.
    InForce(InForce),
    /// Members: the named member has stopped gracefully and is about to start again.
    Restarted(String),
    /// Control: the counts that the request with this number asked for.
    Counted(u64, Counts),
}

/// The addresses of a control process.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct ControlAddresses {
    /// The zone's link to the commit point.
    pub policy_link: SocketAddr,
    /// The zone's link to the lease store.
    #[serde(rename = "duties_link")]
    pub lease_link: SocketAddr,
    /// The store with the commit point, or `None` if another process runs it.
    pub policy_store: Option<SocketAddr>,
    /// The lease store, or `None` if another process runs it.
    #[serde(rename = "duties_store")]
    pub lease_store: Option<SocketAddr>,
}

/// A policy that is in force on a member: the configuration with it is loaded and on its way to the reducer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForce {
    /// Name of the member.
    pub name: String,
    /// Version of the policy.
    pub epoch: u64,
    /// Time at which it came into force, in microseconds of [`clock`].
    pub at: u64,
}

/// The counts of a control process since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Bytes over the zone's link to the commit point, both directions.
    pub policy_bytes: u64,
    /// Bytes over the zone's link to the lease store, both directions.
    #[serde(rename = "duties_bytes")]
    pub lease_bytes: u64,
    /// Requests to the store with the commit point, or 0 if another process runs it.
    pub policy_requests: u64,
    /// Requests to the lease store, or 0 if another process runs it.
    #[serde(rename = "duties_requests")]
    pub lease_requests: u64,
}

/// Returns the machine's wall clock in microseconds since the Unix epoch, which is the same for all processes.
pub fn clock() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_micros() as u64)
}

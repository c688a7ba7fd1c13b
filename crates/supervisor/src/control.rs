//! The supervisor's control address as words: one line a connection, the reply begins with `200` or `400`, as at the
//! forwarder's console. The caller's side is here too.

use serde::{Deserialize, Serialize};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Longest line that is taken.
pub const MAX_LINE_BYTES: usize = 256;
/// Most that is read of a reply: times to delivery of many classes are the longest.
const MAX_REPLY_BYTES: u64 = 8 << 20;

/// A release that was to replace the forwarder and did not.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailedUpgrade {
    /// The release.
    pub release: String,
    /// Why it was given up.
    #[serde(rename = "why")]
    pub reason: String,
}

/// What `show` tells.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SupervisorStatus {
    /// The release that runs, or is started next.
    pub release: String,
    /// Which of the two consoles is that of the forwarder: 0 or 1.
    #[serde(rename = "place")]
    pub slot: usize,
    /// The forwarder takes clients, and no other process stands beside it.
    pub settled: bool,
    /// Starts after the forwarder had died, since the supervisor began.
    pub restarts: u64,
    /// The last upgrade asked for was given up.
    #[serde(rename = "refused")]
    pub failed_upgrade: Option<FailedUpgrade>,
    /// The number of the forwarder's process.
    pub pid: Option<u32>,
}

/// What a caller asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
    /// How things stand.
    Status,
    /// Replace the forwarder by this release.
    Upgrade(String),
}

/// Reads a line; why it is no call.
pub fn parse_request(line: &str) -> Result<Request, &'static str> {
    let words: Vec<&str> = line.split_ascii_whitespace().collect();
    match words[..] {
        ["show"] => Ok(Request::Status),
        ["upgrade", release] if is_release_name(release) => Ok(Request::Upgrade(release.to_owned())),
        ["upgrade", _] => Err("a release is the name of a file in the folder of releases"),
        _ => Err("unknown: show, or upgrade RELEASE"),
    }
}

/// Whether this names a file in a folder, and nothing outside of it.
pub fn is_release_name(release: &str) -> bool {
    !release.is_empty()
        && !release.starts_with('.')
        && release.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"._-+".contains(&byte))
}

/// Why a call brought nothing.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// It could not be reached, or did not answer in time.
    #[error("its supervisor at {0} did not answer: {1}")]
    NoAnswer(SocketAddr, std::io::Error),
    /// It said no; why.
    #[error("its supervisor said no: {0}")]
    Rejected(String),
    /// What it said is no answer.
    #[error("its supervisor answered something else: {0:?}")]
    InvalidReply(String),
}

/// Says one line on a connection of its own, and gives what comes until its end: at the control address, and at a
/// forwarder's console. It waits so long at the most for the connection and for each piece.
pub fn exchange(at: SocketAddr, line: &str, timeout: Duration) -> std::io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&at, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    stream.write_all(format!("{line}\n").as_bytes())?;
    let mut reply = String::new();
    stream.take(MAX_REPLY_BYTES).read_to_string(&mut reply)?;
    Ok(reply)
}

/// Makes one call, waiting so long at the most for the connection and for each piece of the reply.
pub fn call(control: SocketAddr, line: &str, timeout: Duration) -> Result<String, CallError> {
    let reply = exchange(control, line, timeout).map_err(|error| CallError::NoAnswer(control, error))?;
    match reply.trim_end().split_once(' ') {
        Some(("200", words)) => Ok(words.to_owned()),
        Some(("400", why)) => Err(CallError::Rejected(why.to_owned())),
        _ => Err(CallError::InvalidReply(reply.chars().take(80).collect())),
    }
}

/// Asks how things stand.
pub fn status(control: SocketAddr, timeout: Duration) -> Result<SupervisorStatus, CallError> {
    let words = call(control, "show", timeout)?;
    serde_json::from_str(&words).map_err(|_| CallError::InvalidReply(words))
}

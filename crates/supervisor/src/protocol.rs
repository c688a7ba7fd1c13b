//! The control protocol. Each connection carries one request line and one reply line that begins with `200` or `400`,
//! as at the forwarder's console. The supervisor parses requests with this module, and [`crate::client`] formats them
//! with it.

use serde::{Deserialize, Serialize};
use std::fmt::{Display, Formatter};

/// Longest request line that the supervisor always accepts, in bytes without its line feed. A longer line is rejected,
/// unless its line feed arrives in the same read that exceeds this length.
pub const MAX_LINE_BYTES: usize = 256;

/// An upgrade that failed. The previous release continues to serve.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailedUpgrade {
    /// The release that was to replace the forwarder.
    pub release: String,
    /// Why the upgrade failed, for operators.
    #[serde(rename = "why")]
    pub reason: String,
}

/// The reply to a status request, as JSON on the wire.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SupervisorStatus {
    /// The release that runs, or that is started next.
    pub release: String,
    /// The slot of the forwarder, 0 or 1. It is also the index of the forwarder's console in
    /// [`SupervisorConfig::consoles`](crate::SupervisorConfig::consoles).
    #[serde(rename = "place")]
    pub slot: usize,
    /// Whether the forwarder takes clients and no other process runs beside it.
    pub settled: bool,
    /// Number of restarts after the forwarder died, since the supervisor began.
    pub restarts: u64,
    /// The last requested upgrade if it failed, otherwise `None`.
    #[serde(rename = "refused")]
    pub failed_upgrade: Option<FailedUpgrade>,
    /// The process id of the forwarder. `None` while it is not running.
    pub pid: Option<u32>,
}

/// A request at the control address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
    /// Asks for the [`SupervisorStatus`].
    Status,
    /// Asks the supervisor to replace the forwarder by this release.
    Upgrade(String),
}

impl Request {
    /// Returns this request as it is sent, without its line feed.
    pub fn to_line(&self) -> String {
        match self {
            Request::Status => "show".to_owned(),
            Request::Upgrade(release) => format!("upgrade {release}"),
        }
    }

    /// Parses a request line.
    ///
    /// # Errors
    ///
    /// The line is not a request, or its release is not a plain file name.
    pub fn parse(line: &str) -> Result<Request, RejectReason> {
        let words: Vec<&str> = line.split_ascii_whitespace().collect();
        match words[..] {
            ["show"] => Ok(Request::Status),
            ["upgrade", release] if is_release_name(release) => Ok(Request::Upgrade(release.to_owned())),
            ["upgrade", _] => Err(RejectReason::InvalidReleaseName),
            _ => Err(RejectReason::UnknownRequest),
        }
    }
}

impl Display for Request {
    fn fmt(&self, out: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            Request::Status => out.write_str("status request"),
            Request::Upgrade(release) => write!(out, "upgrade to {release}"),
        }
    }
}

/// Why the supervisor rejects a request. The texts are part of the protocol, because they follow `400` on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RejectReason {
    /// The line is longer than [`MAX_LINE_BYTES`].
    #[error("the line is too long")]
    LineTooLong,
    /// The release is not a plain file name.
    #[error("a release is the name of a file in the folder of releases")]
    InvalidReleaseName,
    /// The line is not a request.
    #[error("unknown: show, or upgrade RELEASE")]
    UnknownRequest,
    /// The folder of releases has no file of this name.
    #[error("there is no such release")]
    ReleaseNotFound,
    /// Another process runs beside the forwarder; see [`is_busy`].
    #[error("busy: another process still stands beside the one that serves")]
    Busy,
    /// The supervisor is shutting down.
    #[error("the supervisor ends")]
    ShuttingDown,
    /// The status could not be written as JSON.
    #[error("it cannot be written")]
    StatusNotSerializable,
}

/// Returns whether a reject reason on the wire is [`RejectReason::Busy`]. The request may then be repeated.
pub fn is_busy(reason: &str) -> bool {
    reason.starts_with("busy")
}

/// Returns whether this is a plain file name, which cannot refer to a file outside the folder of releases.
pub fn is_release_name(release: &str) -> bool {
    !release.is_empty()
        && !release.starts_with('.')
        && release.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"._-+".contains(&byte))
}

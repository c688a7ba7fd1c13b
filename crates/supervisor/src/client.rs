//! A blocking client of the control address. The rollout uses it to read a supervisor's status and to request
//! upgrades. [`exchange_line`] also works for a forwarder's console, which takes one line per connection too.

use crate::protocol::{Request, SupervisorStatus, is_busy};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Longest reply that is read, in bytes. A longer reply is truncated. The longest replies are a console's latency
/// histograms of many classes.
const MAX_REPLY_BYTES: u64 = 8 << 20;
/// Characters of an invalid reply that its error quotes.
const QUOTED_REPLY_CHARS: usize = 80;

/// Why a request failed.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The supervisor could not be reached, or did not answer in time.
    #[error("no answer from the supervisor at {address} to the {request}: {source}")]
    NoAnswer {
        /// The control address.
        address: SocketAddr,
        /// What was requested.
        request: Request,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The supervisor rejected the request.
    #[error("supervisor at {address} rejected the {request}: {reason}")]
    Rejected {
        /// The control address.
        address: SocketAddr,
        /// What was requested.
        request: Request,
        /// The supervisor's reason, as on the wire.
        reason: String,
    },
    /// The reply does not follow the control protocol.
    #[error("supervisor at {address} gave an invalid reply to the {request}: {reply:?}")]
    InvalidReply {
        /// The control address.
        address: SocketAddr,
        /// What was requested.
        request: Request,
        /// The reply, or its beginning.
        reply: String,
    },
}

impl CallError {
    /// Returns whether the supervisor is busy with another upgrade. The request may then be repeated.
    pub fn is_busy(&self) -> bool {
        matches!(self, CallError::Rejected { reason, .. } if is_busy(reason))
    }
}

/// Sends one line on a new connection and returns everything received until the peer closes the connection, up to 8
/// MiB. `timeout` limits the connection attempt and each single read and write.
///
/// # Errors
///
/// The address cannot be reached, the peer sends nothing for longer than `timeout`, or the reply is not UTF-8.
pub fn exchange_line(address: SocketAddr, line: &str, timeout: Duration) -> std::io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    stream.write_all(format!("{line}\n").as_bytes())?;
    let mut reply = String::new();
    stream.take(MAX_REPLY_BYTES).read_to_string(&mut reply)?;
    Ok(reply)
}

/// Makes one request and returns the text that follows `200` in the reply. `timeout` is that of [`exchange_line`].
///
/// # Errors
///
/// The supervisor does not answer or rejects the request, or its reply does not follow the protocol.
pub fn call(address: SocketAddr, request: &Request, timeout: Duration) -> Result<String, CallError> {
    let reply = exchange_line(address, &request.to_line(), timeout)
        .map_err(|source| CallError::NoAnswer { address, request: request.clone(), source })?;
    match reply.trim_end().split_once(' ') {
        Some(("200", result)) => Ok(result.to_owned()),
        Some(("400", reason)) => {
            Err(CallError::Rejected { address, request: request.clone(), reason: reason.to_owned() })
        }
        _ => {
            let reply = reply.chars().take(QUOTED_REPLY_CHARS).collect();
            Err(CallError::InvalidReply { address, request: request.clone(), reply })
        }
    }
}

/// Reads the status of the supervisor at this control address. `timeout` is that of [`exchange_line`].
///
/// # Errors
///
/// The supervisor does not answer or rejects the request, or its reply is not a status.
pub fn status(address: SocketAddr, timeout: Duration) -> Result<SupervisorStatus, CallError> {
    let reply = call(address, &Request::Status, timeout)?;
    serde_json::from_str(&reply).map_err(|_| CallError::InvalidReply {
        address,
        request: Request::Status,
        reply,
    })
}

/// Requests an upgrade to this release. Returns once the upgrade has begun, not once it is over. Repeating the request
/// for a release that serves or is being started changes nothing. `timeout` is that of [`exchange_line`].
///
/// # Errors
///
/// The supervisor does not answer or rejects the request. After an error for which [`CallError::is_busy`] returns
/// `true`, the request may be repeated.
pub fn request_upgrade(address: SocketAddr, release: &str, timeout: Duration) -> Result<(), CallError> {
    call(address, &Request::Upgrade(release.to_owned()), timeout).map(drop)
}

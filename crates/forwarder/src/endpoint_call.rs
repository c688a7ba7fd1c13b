//! A call to an endpoint and its reply as data: their form on the wire, and the outcome of a reply or a failure for
//! each message.
//!
//! The connection's task fills in these values and the reducer reads them. [`EndpointCallError::outcome`] decides
//! whether a failed call may have delivered its messages.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use orchidyoke_core::interface::{Micros, Outcome};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use thiserror::Error;

/// A message in a call.
#[derive(Clone, Debug, PartialEq)]
pub struct CallMessage {
    /// The message's id (`X-Txn`, in a bulk call `id`).
    pub id: String,
    /// The message's idempotency key (`Idempotency-Key`, in a bulk call `key`); `None` if it has none.
    pub idempotency_key: Option<String>,
    /// The message's body.
    pub body: Bytes,
}

/// A call: one message, or a bulk call with several.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointCall {
    /// The messages.
    pub messages: Vec<CallMessage>,
    /// Whether the call has the bulk form, which may contain several messages.
    pub is_bulk: bool,
    /// Time for which the forwarder waits, in microseconds. The endpoint receives it in `X-Remaining`.
    pub time_left: Micros,
    /// Time until which the forwarder waits, as Unix time in microseconds.
    pub deadline: Micros,
    /// Time from which the call must not be written any more, as Unix time in microseconds.
    pub send_by: Micros,
}

#[derive(Serialize)]
struct BulkItem<'a> {
    id: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    key: Option<&'a str>,
    body: String,
}

impl<'a> BulkItem<'a> {
    fn new(message: &'a CallMessage) -> Self {
        BulkItem {
            id: &message.id,
            key: message.idempotency_key.as_deref(),
            body: STANDARD.encode(&message.body),
        }
    }
}

#[derive(Deserialize)]
struct BulkState {
    id: String,
    state: String,
}

impl EndpointReply {
    /// Returns whether the body has the form that the status requires: a successful bulk reply lists the states of
    /// messages.
    pub fn is_readable(&self) -> bool {
        !self.is_bulk || self.status != 200 || self.bulk_states().is_some()
    }

    /// Returns whether the reply states the results of messages that are not in the call. Only the replies to
    /// successful bulk calls name messages.
    pub fn names_other_messages(&self, call: &EndpointCall) -> bool {
        let is_in_call = |state: &BulkState| call.messages.iter().any(|message| message.id == state.id);
        self.status == 200 && self.bulk_states().is_some_and(|states| !states.iter().all(is_in_call))
    }

    fn bulk_states(&self) -> Option<Vec<BulkState>> {
        serde_json::from_slice(&self.body).ok()
    }
}

impl EndpointCall {
    /// Returns the path of the request.
    pub fn path(&self) -> &'static str {
        if self.is_bulk { "/inbox/bulk" } else { "/inbox" }
    }

    /// Returns the body of the request. A single message is forwarded byte for byte.
    pub fn body(&self) -> Bytes {
        match &self.messages[..] {
            [message] if !self.is_bulk => message.body.clone(),
            messages => {
                let items: Vec<_> = messages.iter().map(BulkItem::new).collect();
                serde_json::to_vec(&items).unwrap_or_default().into()
            }
        }
    }
}

/// The reply of an endpoint.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointReply {
    /// The HTTP status.
    pub status: u16,
    /// The delay before the next attempt that the endpoint asks for (`X-Come-Back-Ms`), in milliseconds; 0 if it asks
    /// for none.
    pub retry_after_ms: u64,
    /// Whether all calls that the endpoint allows this forwarder were in use (`X-Line-Busy: 1`).
    pub line_busy: bool,
    /// The limit that the endpoint reports (`X-Pressure: x1`), in calls a second.
    pub reported_limit: Option<f64>,
    /// The share of the limit that is left (`X-Pressure: x0`), 0 to 1.
    pub reported_remaining: Option<f64>,
    /// Whether the reply answers a bulk call.
    pub is_bulk: bool,
    /// The body.
    pub body: Bytes,
}

/// The result of a reply for one message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MessageResult {
    /// The outcome of the attempt.
    pub outcome: Outcome,
    /// Whether no further attempt is to be made, because the endpoint reports that the message has expired.
    pub message_finished: bool,
}

/// Returns the result of a reply for each message of its call, in the order of `ids`.
pub fn message_results(reply: &EndpointReply, ids: &[String]) -> Vec<MessageResult> {
    let all = |outcome| vec![MessageResult { outcome, message_finished: false }; ids.len()];
    match reply.status {
        200 if reply.is_bulk => match serde_json::from_slice(&reply.body) {
            Ok(states) => bulk_results(states, ids),
            Err(_) => all(Outcome::InvalidResponse),
        },
        200 => all(Outcome::Success),
        // The request is malformed or has too many messages, and the endpoint has processed none of them.
        400 | 413 | 429 => all(Outcome::Rejected),
        503 if reply.line_busy => all(Outcome::NotSent),
        503 => all(Outcome::Rejected),
        504 => all(Outcome::NotSent),
        410 => vec![MessageResult { outcome: Outcome::NotSent, message_finished: true }; ids.len()],
        _ => all(Outcome::Error),
    }
}

fn bulk_results(states: Vec<BulkState>, ids: &[String]) -> Vec<MessageResult> {
    let states: HashMap<_, _> = states.into_iter().map(|message| (message.id, message.state)).collect();
    ids.iter().map(|id| bulk_result(states.get(id).map(String::as_str))).collect()
}

fn bulk_result(state: Option<&str>) -> MessageResult {
    let outcome = match state {
        Some("accepted") => Outcome::Success,
        Some("deferred") => Outcome::Rejected,
        Some("expired" | "no_more") => Outcome::NotSent,
        // The state reports an error, is unknown, or is missing. The endpoint may have executed the message.
        _ => Outcome::Error,
    };
    MessageResult { outcome, message_finished: state == Some("expired") }
}

/// The progress of a call when it failed. It determines whether the endpoint may have executed the call's messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Error)]
pub enum Progress {
    /// The connection was not established.
    #[error("not connected")]
    NotConnected,
    /// The connection was established, but the last byte of the call was not written.
    #[error("not fully written")]
    NotFullyWritten,
    /// The call was written to its last byte.
    #[error("fully written")]
    FullyWritten,
    /// The response had begun.
    #[error("response incomplete")]
    Answered,
}

/// The reason why a call ended without a reply.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum Cause {
    /// The call's deadline passed.
    #[error("timed out")]
    TimedOut,
    /// The forwarder cancelled the call.
    #[error("cancelled")]
    Cancelled,
    /// The connection failed, for this reason.
    #[error("{0}")]
    ConnectionFailed(String),
    /// The response cannot be read or is incomplete, for this reason.
    #[error("{0}")]
    InvalidResponse(String),
    /// Bytes arrived while no response was awaited. HTTP/1.1 matches responses to requests only by their order, so no
    /// later response on the connection can be trusted (RFC 9112, section 9.2).
    #[error("surplus bytes after a response")]
    SurplusBytes,
    /// The response names messages that are not in the call, so it belongs to another call.
    #[error("the response belongs to another call")]
    MismatchedResponse,
}

impl Cause {
    /// Returns whether the endpoint has sent more than it owes, or responses out of order.
    pub fn is_out_of_order(&self) -> bool {
        matches!(self, Cause::SurplusBytes | Cause::MismatchedResponse)
    }
}

/// A call that failed.
#[derive(Clone, Debug, PartialEq, Error)]
#[error("{cause}, {progress}")]
pub struct EndpointCallError {
    /// The progress of the call when it failed.
    pub progress: Progress,
    /// The reason of the failure.
    pub cause: Cause,
}

impl EndpointCallError {
    /// Returns whether it is certain that the endpoint has executed none of the messages.
    pub fn not_delivered(&self) -> bool {
        self.progress < Progress::FullyWritten
    }

    /// Returns whether the forwarder ended the call, by a time-out or a cancellation.
    pub fn ended_locally(&self) -> bool {
        matches!(self.cause, Cause::TimedOut | Cause::Cancelled)
    }

    /// Returns the outcome of the attempt for the controller.
    pub fn outcome(&self) -> Outcome {
        match &self.cause {
            _ if self.not_delivered() => Outcome::ConnectFailed,
            Cause::TimedOut => Outcome::Timeout,
            Cause::Cancelled => Outcome::Cancelled,
            Cause::ConnectionFailed(_) => Outcome::Reset,
            Cause::InvalidResponse(_) | Cause::SurplusBytes | Cause::MismatchedResponse => {
                Outcome::InvalidResponse
            }
        }
    }
}

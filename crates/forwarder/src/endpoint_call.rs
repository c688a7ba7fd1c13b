//! A call to an endpoint and its reply as data: the form on the wire, and what a reply or a failure means for each message.
//!
//! The sockets fill these values, the reducer reads them. Whether a message may have been delivered by a failed call is
//! decided here, in [`EndpointCallError::outcome`].

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
    /// Its id (`X-Txn`, in a bulk call `id`).
    pub id: String,
    /// Its idempotency key (`Idempotency-Key`, in a bulk call `key`).
    pub idempotency_key: Option<String>,
    /// Its body.
    pub body: Bytes,
}

/// A call: one message, or a bulk call with several.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointCall {
    /// The messages.
    pub messages: Vec<CallMessage>,
    /// Whether it has the form for several messages.
    pub is_bulk: bool,
    /// How long the forwarder waits, as the endpoint is notified (`X-Remaining`), in microseconds.
    pub time_left: Micros,
    /// Until when it waits, Unix time in microseconds.
    pub deadline: Micros,
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
    /// Whether it has the form that its status calls for: a successful bulk reply lists the state of messages.
    pub fn is_readable(&self) -> bool {
        !self.is_bulk || self.status != 200 || serde_json::from_slice::<Vec<BulkState>>(&self.body).is_ok()
    }
}

impl EndpointCall {
    /// The path of the request.
    pub fn path(&self) -> &'static str {
        if self.is_bulk { "/inbox/bulk" } else { "/inbox" }
    }

    /// The body of the request. A single message is forwarded as the bytes that came.
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
    /// Its time for the next attempt (`X-Come-Back-Ms`), in milliseconds; 0: none.
    pub retry_after_ms: u64,
    /// All calls that it allows this forwarder were in use (`X-Line-Busy: 1`).
    pub line_busy: bool,
    /// The limit that it reports (`X-Pressure: x1`), in calls a second.
    pub reported_limit: Option<f64>,
    /// The share of the limit that is left (`X-Pressure: x0`), 0 to 1.
    pub reported_remaining: Option<f64>,
    /// Whether it answers a bulk call.
    pub is_bulk: bool,
    /// The body.
    pub body: Bytes,
}

/// What a reply means for one message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MessageResult {
    /// How the attempt ended.
    pub outcome: Outcome,
    /// No attempt is left to make: the endpoint says that the message has expired.
    pub message_finished: bool,
}

/// What a reply means for each message of its call, in the order of `ids`.
pub fn message_results(reply: &EndpointReply, ids: &[String]) -> Vec<MessageResult> {
    let all = |outcome| vec![MessageResult { outcome, message_finished: false }; ids.len()];
    match reply.status {
        200 if reply.is_bulk => match serde_json::from_slice(&reply.body) {
            Ok(states) => bulk_results(states, ids),
            Err(_) => all(Outcome::InvalidResponse),
        },
        200 => all(Outcome::Success),
        // Malformed, or too many messages: the endpoint has looked at none of them.
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
        // A fault, an unknown state, or a message left out: it may have been executed.
        _ => Outcome::Error,
    };
    MessageResult { outcome, message_finished: state == Some("expired") }
}

/// How far a call had come when it failed: this settles whether its messages may have been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Error)]
pub enum Progress {
    /// No connection.
    #[error("not connected")]
    NotConnected,
    /// Connected, but its last byte was not written.
    #[error("not fully written")]
    NotFullyWritten,
    /// Written to its last byte.
    #[error("fully written")]
    FullyWritten,
    /// The response had begun.
    #[error("answered in part")]
    Answered,
}

/// What ended a call without a reply.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum Cause {
    /// Its deadline passed.
    #[error("timed out")]
    TimedOut,
    /// The forwarder cancelled it.
    #[error("cancelled")]
    Cancelled,
    /// The connection failed: why.
    #[error("{0}")]
    ConnectionFailed(String),
    /// A response came that cannot be read, or is incomplete: why.
    #[error("{0}")]
    InvalidResponse(String),
}

/// A call that failed.
#[derive(Clone, Debug, PartialEq, Error)]
#[error("{cause}, {progress}")]
pub struct EndpointCallError {
    /// How far it had come.
    pub progress: Progress,
    /// What ended it.
    pub cause: Cause,
}

impl EndpointCallError {
    /// Whether it is certain that the endpoint has executed nothing.
    pub fn not_delivered(&self) -> bool {
        self.progress < Progress::FullyWritten
    }

    /// Whether the forwarder ended it.
    pub fn ended_locally(&self) -> bool {
        matches!(self.cause, Cause::TimedOut | Cause::Cancelled)
    }

    /// The outcome of the attempt, as the decisions take it.
    pub fn outcome(&self) -> Outcome {
        match &self.cause {
            _ if self.not_delivered() => Outcome::ConnectFailed,
            Cause::TimedOut => Outcome::Timeout,
            Cause::Cancelled => Outcome::Cancelled,
            Cause::ConnectionFailed(_) => Outcome::Reset,
            Cause::InvalidResponse(_) => Outcome::InvalidResponse,
        }
    }
}

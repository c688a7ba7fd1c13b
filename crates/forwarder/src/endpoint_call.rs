//! A call to a next hop and what comes back: its form, and which end each message in it has had.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use orchidyoke_core::interface::{Micros, Outcome};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::fmt;

/// A message in a call.
#[derive(Clone, Debug, PartialEq)]
pub struct CallMessage {
    /// Its id.
    pub id: String,
    /// Its idempotency key.
    pub idempotency_key: Option<String>,
    /// Its body.
    pub body: Bytes,
}

/// A call: one message, or several at once.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointCall {
    /// The messages.
    pub messages: Vec<CallMessage>,
    /// Whether it goes in the form for several.
    pub is_bulk: bool,
    /// How long the forwarder will wait, as the next hop is told.
    pub time_left: Micros,
    /// Until when it waits.
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
    fn new(part: &'a CallMessage) -> Self {
        BulkItem { id: &part.id, key: part.idempotency_key.as_deref(), body: STANDARD.encode(&part.body) }
    }
}

#[derive(Deserialize)]
struct BulkEnd {
    id: String,
    state: String,
}

impl EndpointReply {
    /// Whether it says what it has to: that of several messages, the end of each.
    pub fn is_readable(&self) -> bool {
        !self.is_bulk || self.status != 200 || serde_json::from_slice::<Vec<BulkEnd>>(&self.body).is_ok()
    }
}

impl EndpointCall {
    /// Where the call goes.
    pub fn path(&self) -> &'static str {
        if self.is_bulk { "/inbox/bulk" } else { "/inbox" }
    }

    /// What it carries. A single message goes on as the bytes that came.
    pub fn body(&self) -> Bytes {
        match &self.messages[..] {
            [part] if !self.is_bulk => part.body.clone(),
            parts => {
                let items: Vec<_> = parts.iter().map(BulkItem::new).collect();
                serde_json::to_vec(&items).unwrap_or_default().into()
            }
        }
    }
}

/// What a next hop has answered.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointReply {
    /// The status.
    pub status: u16,
    /// The wait that it tells, in milliseconds; 0: none.
    pub retry_after_ms: u64,
    /// All slots of this forwarder were taken.
    pub line_busy: bool,
    /// Reported limit in calls a second, if any.
    pub reported_limit: Option<f64>,
    /// Reported share of the limit that is left, if any.
    pub reported_remaining: Option<f64>,
    /// Whether the call was for several messages.
    pub is_bulk: bool,
    /// The body.
    pub body: Bytes,
}

/// The end of one message's attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MessageResult {
    /// How the attempt ended.
    pub outcome: Outcome,
    /// The message is over, by the word of the next hop.
    pub message_finished: bool,
}

/// The ends of the messages of a call, in their order.
pub fn message_results(reply: &EndpointReply, txns: &[String]) -> Vec<MessageResult> {
    let all = |outcome| vec![MessageResult { outcome, message_finished: false }; txns.len()];
    match reply.status {
        200 if reply.is_bulk => {
            let Ok(told) = serde_json::from_slice::<Vec<BulkEnd>>(&reply.body) else {
                return all(Outcome::InvalidResponse);
            };
            let told: HashMap<_, _> = told.into_iter().map(|end| (end.id, end.state)).collect();
            txns.iter().map(|txn| bulk_end(told.get(txn).map(String::as_str))).collect()
        }
        200 => all(Outcome::Success),
        // Not of the form or too many messages: nothing was looked at.
        400 | 413 | 429 => all(Outcome::Rejected),
        503 if reply.line_busy => all(Outcome::NotSent),
        503 => all(Outcome::Rejected),
        504 => all(Outcome::NotSent),
        410 => vec![MessageResult { outcome: Outcome::NotSent, message_finished: true }; txns.len()],
        _ => all(Outcome::Error),
    }
}

fn bulk_end(state: Option<&str>) -> MessageResult {
    let outcome = match state {
        Some("accepted") => Outcome::Success,
        Some("deferred") => Outcome::Rejected,
        Some("expired" | "no_more") => Outcome::NotSent,
        // A fault, a word that is not known, or a message left out: it may have run.
        _ => Outcome::Error,
    };
    MessageResult { outcome, message_finished: state == Some("expired") }
}

/// How far an attempt had come when it failed; this settles whether it may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Progress {
    /// No connection.
    NotConnected,
    /// Connected, but its last byte was not written.
    NotFullyWritten,
    /// Written to its last byte.
    FullyWritten,
    /// The answer had begun.
    Answered,
}

/// What ended an attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum Cause {
    /// Its time was up.
    TimedOut,
    /// The forwarder called it off.
    Cancelled,
    /// The connection failed.
    ConnectionFailed(String),
    /// An answer came that cannot be read, or does not end.
    InvalidResponse(String),
}

/// A failed attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointCallError {
    /// How far it had come.
    pub progress: Progress,
    /// What ended it.
    pub cause: Cause,
}

impl EndpointCallError {
    /// Whether it is sure that nothing ran.
    pub fn not_delivered(&self) -> bool {
        self.progress < Progress::FullyWritten
    }

    /// Whether this side ended it.
    pub fn ended_locally(&self) -> bool {
        matches!(self.cause, Cause::TimedOut | Cause::Cancelled)
    }

    /// What the module is told.
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

impl fmt::Display for EndpointCallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let progress = match self.progress {
            Progress::NotConnected => "not connected",
            Progress::NotFullyWritten => "not fully written",
            Progress::FullyWritten => "fully written",
            Progress::Answered => "answered in part",
        };
        match &self.cause {
            Cause::TimedOut => write!(f, "timed out, {progress}"),
            Cause::Cancelled => write!(f, "called off, {progress}"),
            Cause::ConnectionFailed(why) | Cause::InvalidResponse(why) => write!(f, "{why}, {progress}"),
        }
    }
}

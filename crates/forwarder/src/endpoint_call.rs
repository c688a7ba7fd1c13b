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
pub struct Part {
    /// Its id.
    pub txn: String,
    /// Its idempotency key.
    pub key: Option<String>,
    /// Its body.
    pub body: Bytes,
}

/// A call: one message, or several at once.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// The messages.
    pub parts: Vec<Part>,
    /// Whether it goes in the form for several.
    pub bulk: bool,
    /// How long the forwarder will wait, as the next hop is told.
    pub remaining: Micros,
    /// Until when it waits.
    pub due: Micros,
}

#[derive(Serialize)]
struct BulkItem<'a> {
    id: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    key: Option<&'a str>,
    body: String,
}

impl<'a> BulkItem<'a> {
    fn new(part: &'a Part) -> Self {
        BulkItem { id: &part.txn, key: part.key.as_deref(), body: STANDARD.encode(&part.body) }
    }
}

#[derive(Deserialize)]
struct BulkEnd {
    id: String,
    state: String,
}

impl Reply {
    /// Whether it says what it has to: that of several messages, the end of each.
    pub fn is_readable(&self) -> bool {
        !self.bulk || self.status != 200 || serde_json::from_slice::<Vec<BulkEnd>>(&self.body).is_ok()
    }
}

impl Call {
    /// Where the call goes.
    pub fn path(&self) -> &'static str {
        if self.bulk { "/inbox/bulk" } else { "/inbox" }
    }

    /// What it carries. A single message goes on as the bytes that came.
    pub fn body(&self) -> Bytes {
        match &self.parts[..] {
            [part] if !self.bulk => part.body.clone(),
            parts => {
                let items: Vec<_> = parts.iter().map(BulkItem::new).collect();
                serde_json::to_vec(&items).unwrap_or_default().into()
            }
        }
    }
}

/// What a next hop has answered.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Reply {
    /// The status.
    pub status: u16,
    /// The wait that it tells, in milliseconds; 0: none.
    pub wait_ms: u64,
    /// All slots of this forwarder were taken.
    pub line_busy: bool,
    /// Reported limit in calls a second, if any.
    pub limit: Option<f64>,
    /// Reported share of the limit that is left, if any.
    pub left: Option<f64>,
    /// Whether the call was for several messages.
    pub bulk: bool,
    /// The body.
    pub body: Bytes,
}

/// The end of one message's attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct End {
    /// How the attempt ended.
    pub outcome: Outcome,
    /// The message is over, by the word of the next hop.
    pub over: bool,
}

/// The ends of the messages of a call, in their order.
pub fn ends(reply: &Reply, txns: &[String]) -> Vec<End> {
    let all = |outcome| vec![End { outcome, over: false }; txns.len()];
    match reply.status {
        200 if reply.bulk => {
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
        410 => vec![End { outcome: Outcome::NotSent, over: true }; txns.len()],
        _ => all(Outcome::Error),
    }
}

fn bulk_end(state: Option<&str>) -> End {
    let outcome = match state {
        Some("accepted") => Outcome::Success,
        Some("deferred") => Outcome::Rejected,
        Some("expired" | "no_more") => Outcome::NotSent,
        // A fault, a word that is not known, or a message left out: it may have run.
        _ => Outcome::Error,
    };
    End { outcome, over: state == Some("expired") }
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
    CalledOff,
    /// The connection failed.
    Broken(String),
    /// An answer came that cannot be read, or does not end.
    Spoilt(String),
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
    pub fn never_ran(&self) -> bool {
        self.progress < Progress::FullyWritten
    }

    /// Whether this side ended it.
    pub fn given_up(&self) -> bool {
        matches!(self.cause, Cause::TimedOut | Cause::CalledOff)
    }

    /// What the module is told.
    pub fn outcome(&self) -> Outcome {
        match &self.cause {
            _ if self.never_ran() => Outcome::ConnectFailed,
            Cause::TimedOut => Outcome::Timeout,
            Cause::CalledOff => Outcome::Cancelled,
            Cause::Broken(_) => Outcome::Reset,
            Cause::Spoilt(_) => Outcome::InvalidResponse,
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
            Cause::CalledOff => write!(f, "called off, {progress}"),
            Cause::Broken(why) | Cause::Spoilt(why) => write!(f, "{why}, {progress}"),
        }
    }
}

//! Faults that the server can have.

use std::time::Duration;

/// The fault in force.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum ConsulFault {
    /// None: requests are answered.
    #[default]
    None,
    /// Connections and requests are accepted and never answered, those already open included.
    Unresponsive,
    /// Nothing listens, and open connections are closed.
    Down,
    /// A connection is closed when a request arrives.
    CloseOnRequest,
    /// Every request gets this answer.
    Status {
        /// The HTTP status.
        status: u16,
        /// The body.
        text: &'static str,
        /// `Retry-After`, in seconds.
        retry_after_s: Option<u64>,
    },
    /// The cluster has no leader: answers say so in `X-Consul-KnownLeader`.
    NoLeader {
        /// Whether answers hold the complete list or an empty one.
        complete: bool,
    },
    /// The server last heard from its leader this long ago: answers are empty, and say so in `X-Consul-LastContact`.
    Stale(Duration),
    /// Writes of sessions and keys take effect, and their answers are lost.
    LostWriteAnswers,
    /// Writes of sessions and keys take this long.
    SlowWrites(Duration),
    /// The body ends before its announced length.
    TruncatedBody,
    /// The body never ends.
    EndlessBody,
    /// The body is JSON of another form.
    MalformedBody,
    /// Every answer comes at once with this `X-Consul-Index`; `None` leaves the header out.
    FixedIndex(Option<&'static str>),
}

impl ConsulFault {
    /// The faults under which no answer says anything about the list: a client has to keep the list that it has.
    pub fn without_usable_answer() -> Vec<ConsulFault> {
        let status = |status, text, retry_after_s| ConsulFault::Status { status, text, retry_after_s };
        vec![
            ConsulFault::Unresponsive,
            ConsulFault::Down,
            ConsulFault::CloseOnRequest,
            status(500, "No cluster leader", None),
            status(403, "Permission denied", None),
            status(404, "Invalid path", None),
            status(429, "Your IP is issuing too many concurrent connections", Some(1)),
            ConsulFault::NoLeader { complete: false },
            ConsulFault::NoLeader { complete: true },
            ConsulFault::TruncatedBody,
            ConsulFault::EndlessBody,
            ConsulFault::MalformedBody,
        ]
    }
}

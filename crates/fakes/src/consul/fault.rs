//! Defines the faults of the server.

use std::time::Duration;

/// A fault of the server. One fault is in force at a time.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum ConsulFault {
    /// No fault: requests are answered.
    #[default]
    None,
    /// Connections and requests are accepted, but no request is answered. This includes requests that are waiting.
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
    /// The cluster has no leader. Answers have `X-Consul-KnownLeader: false`.
    NoLeader {
        /// Whether answers contain the complete list; otherwise they contain an empty list.
        complete: bool,
    },
    /// The server's last contact with its leader was this long ago. Answers contain an empty list and have this time in
    /// `X-Consul-LastContact`.
    Stale(Duration),
    /// Writes of sessions and keys take effect, but their connections are closed without an answer.
    LostWriteAnswers,
    /// Writes of sessions and keys are delayed by this time.
    SlowWrites(Duration),
    /// The body ends before its announced length.
    TruncatedBody,
    /// The body never ends.
    EndlessBody,
    /// The body is JSON, but not in the documented format.
    MalformedBody,
    /// Every request is answered at once with this `X-Consul-Index`. `None` omits the header.
    FixedIndex(Option<&'static str>),
}

impl ConsulFault {
    /// Returns the faults with which no answer is usable. A client must keep its list while one of them is in force.
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

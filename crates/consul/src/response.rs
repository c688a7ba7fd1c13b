//! Parses the head of a Consul response and decides whether the response is valid.
//!
//! The endpoint list stays as it is after an invalid response, and the request is repeated after a backoff
//! ([`blocking_query`](crate::blocking_query)).

use crate::settings::{Consistency, Settings};
use hyper::header::HeaderMap;
use orchidyoke_forwarder::retry_after::retry_after_whole_seconds;
use serde::Deserialize;
use std::time::Duration;
use thiserror::Error;

const INDEX_HEADER: &str = "X-Consul-Index";
const KNOWN_LEADER_HEADER: &str = "X-Consul-KnownLeader";
const LAST_CONTACT_HEADER: &str = "X-Consul-LastContact";

/// The status and the headers of a response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseHead {
    /// The HTTP status.
    pub status: u16,
    /// `X-Consul-Index` as Consul sent it; it may not be a number. `None` if it is absent.
    pub index: Option<String>,
    /// Whether the server knows no leader (`X-Consul-KnownLeader: false`). Without the header, the server counts as one
    /// that knows a leader.
    pub leaderless: bool,
    /// `X-Consul-LastContact`, the age of the server's data, if stale reads are allowed and it exceeds `max_stale` of
    /// the settings; otherwise `None`.
    pub stale_for: Option<Duration>,
    /// `Retry-After`, in whole seconds. Other forms of the header count as absent.
    pub retry_after: Option<u64>,
}

impl ResponseHead {
    pub(crate) fn parse(status: u16, headers: &HeaderMap, settings: &Settings) -> ResponseHead {
        let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
        let last_contact_ms = text(LAST_CONTACT_HEADER).and_then(|milliseconds| milliseconds.parse().ok());
        let last_contact = last_contact_ms.map(Duration::from_millis);
        // Only servers other than the leader may answer with old data, and only if the settings allow stale reads.
        let allows_stale_reads = settings.consistency == Consistency::Stale;
        ResponseHead {
            status,
            index: text(INDEX_HEADER).map(str::to_owned),
            leaderless: text(KNOWN_LEADER_HEADER) == Some("false"),
            stale_for: last_contact.filter(|age| allows_stale_reads && *age > settings.max_stale),
            retry_after: retry_after_whole_seconds(headers),
        }
    }

    /// Returns `X-Consul-Index` as a number; `None` if it is absent or not a number.
    pub(crate) fn parsed_index(&self) -> Option<u64> {
        self.index.as_deref().and_then(|text| text.trim().parse().ok())
    }

    /// Returns the reason why the response is invalid; `None` if it is valid.
    pub fn error(&self) -> Option<ResponseError> {
        match (self.status, self.stale_for) {
            (200, _) if self.leaderless => Some(ResponseError::NoLeader),
            (200, Some(age)) => Some(ResponseError::StaleRead(age)),
            (200, None) => None,
            (403, _) => Some(ResponseError::Forbidden),
            (429, _) => Some(ResponseError::RateLimited),
            (status, _) => Some(ResponseError::Status(status)),
        }
    }
}

/// The reason why a response is not used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ResponseError {
    /// The server knows no leader, so its data may be old or missing.
    #[error("the agent knows no leader")]
    NoLeader,
    /// The server's data may be as old as its last contact with the leader, whose age this holds.
    #[error("stale read: the server's last contact with the leader was {} s ago (max_stale)", .0.as_secs())]
    StaleRead(Duration),
    /// The token is missing, has expired, or does not allow the request.
    #[error(
        "HTTP 403: the token is missing, has expired, or may not read the service and its nodes (service:read, node:read)"
    )]
    Forbidden,
    /// Consul has rejected the request because of a rate limit.
    #[error("HTTP 429: too many requests")]
    RateLimited,
    /// Any other HTTP status except 200.
    #[error("HTTP {0}")]
    Status(u16),
    /// The body does not have the documented format. This holds the parser's message.
    #[error("cannot parse the response body: {0}")]
    Malformed(String),
}

impl ResponseError {
    /// Returns whether another server may be able to answer, because this one is isolated from the leader or faulty.
    pub fn is_server_fault(&self) -> bool {
        match self {
            ResponseError::NoLeader | ResponseError::StaleRead(_) => true,
            ResponseError::Status(status) => *status >= 500,
            ResponseError::Forbidden | ResponseError::RateLimited | ResponseError::Malformed(_) => false,
        }
    }
}

/// Parses the body of a response.
///
/// # Errors
///
/// Returns [`ResponseError::Malformed`] if the body does not have the documented format.
pub(crate) fn parse_body<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, ResponseError> {
    serde_json::from_slice(body).map_err(|error| ResponseError::Malformed(error.to_string()))
}

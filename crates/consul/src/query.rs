//! One blocking query: its index, when it is asked again, and whether an answer is to be believed. No I/O, no clock.
//!
//! The rules for the index are those of
//! <https://developer.hashicorp.com/consul/api-docs/features/blocking#implementation-details>: one that goes backwards
//! starts over, one that is 0 counts as 1, and there is a limit on how often is asked.

use orchidyoke_core::interface::Micros;
use std::fmt;
use std::time::Duration;

const MILLISECOND_US: Micros = 1_000;
const SECOND_US: Micros = 1_000_000;
/// Least time from one question to the next of a service that changes all the time.
const MIN_QUERY_INTERVAL_US: Micros = 50 * MILLISECOND_US;
/// Pauses after a failure: the first, doubled for each further one, and the longest.
const BACKOFF_MIN_US: Micros = 250 * MILLISECOND_US;
const BACKOFF_MAX_US: Micros = 8 * SECOND_US;
/// The longest pause that Consul can ask for.
const RETRY_AFTER_MAX_US: Micros = 60 * SECOND_US;

/// What is read of an answer beside its body.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseHead {
    /// The HTTP status.
    pub status: u16,
    /// `X-Consul-Index`, as it was written.
    pub index: Option<String>,
    /// `X-Consul-KnownLeader`; where it is missing, nothing speaks against a leader.
    pub leaderless: bool,
    /// `X-Consul-LastContact`, where the server's leader has been silent for longer than the settings allow.
    pub stale_for: Option<Duration>,
    /// `Retry-After`, in seconds.
    pub retry_after: Option<u64>,
}

impl ResponseHead {
    /// Why what comes with it does not count, if it does not.
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

/// Why an answer is not taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResponseError {
    /// The server that answered knows no leader: what it has may be old, or nothing.
    NoLeader,
    /// The server that answered has not heard from its leader for so long: what it has may be that old.
    StaleRead(Duration),
    /// The token may not read this.
    Forbidden,
    /// Asked too often.
    RateLimited,
    /// Any other status than 200.
    Status(u16),
    /// No whole answer, or one that is not of the form.
    Malformed(String),
}

impl ResponseError {
    /// Whether another server may well know better: this one is cut off, or ill.
    pub fn is_server_fault(&self) -> bool {
        match self {
            ResponseError::NoLeader | ResponseError::StaleRead(_) => true,
            ResponseError::Status(status) => *status >= 500,
            ResponseError::Forbidden | ResponseError::RateLimited | ResponseError::Malformed(_) => false,
        }
    }
}

impl fmt::Display for ResponseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ResponseError::NoLeader => f.write_str("the agent knows no leader"),
            ResponseError::StaleRead(age) => {
                write!(f, "the server has not heard from its leader for {} s (max_stale)", age.as_secs())
            }
            ResponseError::Forbidden => f.write_str(
                "403: the token is missing, has run out, or may not read the service and its nodes (service:read, \
                 node:read)",
            ),
            ResponseError::RateLimited => f.write_str("429: it is asked too often"),
            ResponseError::Status(status) => write!(f, "answered {status}"),
            ResponseError::Malformed(why) => f.write_str(why),
        }
    }
}

/// What follows from an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QueryOutcome {
    /// The body is to be read: it may be news.
    Changed,
    /// Nothing has changed.
    Unchanged,
    /// The answer says nothing; the list stays as it is.
    Rejected(ResponseError),
}

/// One blocking query on one service.
#[derive(Clone, Debug, Default)]
pub struct BlockingQuery {
    index: u64,
    consecutive_failures: u32,
    /// Answers in a row that came at once though nothing had changed.
    idle_responses: u32,
    last_success: Option<Micros>,
    started_at: Micros,
    /// Asked for an answer at once: that an index stands still means no more than that nothing has changed.
    is_immediate: bool,
}

impl BlockingQuery {
    /// Asks now; gives the index to ask with. 0 asks for an answer at once.
    pub fn start_blocking(&mut self, now: Micros) -> u64 {
        (self.started_at, self.is_immediate) = (now, false);
        self.index
    }

    /// Asks now for an answer at once, whatever the index.
    pub fn start_immediate(&mut self, now: Micros) -> u64 {
        (self.started_at, self.is_immediate) = (now, true);
        0
    }

    /// When it last got an answer that can be believed.
    pub fn last_success(&self) -> Option<Micros> {
        self.last_success
    }

    /// Failures since then.
    pub fn consecutive_failures(&self) -> u32 {
        self.consecutive_failures
    }

    /// An answer has come: what it is worth, and the earliest moment of the next question. `chance` lies between 0
    /// and 1 and keeps forwarders out of step.
    pub fn on_response(&mut self, now: Micros, head: &ResponseHead, chance: f64) -> (QueryOutcome, Micros) {
        let Some(refusal) = head.error() else { return self.on_valid_response(now, head) };
        let again = self.on_failure(now, chance);
        let told = head.retry_after.map_or(0, |seconds| i64::try_from(seconds).unwrap_or(i64::MAX));
        let told = now + told.saturating_mul(SECOND_US).min(RETRY_AFTER_MAX_US);
        (QueryOutcome::Rejected(refusal), again.max(told))
    }

    /// No answer, or none that can be read: the earliest moment of the next question. The body of an answer that
    /// was to be taken may fail as well; then its index must not count.
    pub fn on_failure(&mut self, now: Micros, chance: f64) -> Micros {
        self.index = 0;
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        let pause = (BACKOFF_MIN_US << (self.consecutive_failures - 1).min(8)).min(BACKOFF_MAX_US);
        now + (pause as f64 * (0.75 + 0.5 * chance)) as Micros
    }

    fn on_valid_response(&mut self, now: Micros, head: &ResponseHead) -> (QueryOutcome, Micros) {
        let told = head.index.as_deref().and_then(|text| text.trim().parse::<u64>().ok());
        let before = std::mem::take(&mut self.index);
        (self.consecutive_failures, self.last_success) = (0, Some(now));
        match told {
            // Not a number, or none: there is nothing to wait with, so each answer comes at once.
            None | Some(0) => (QueryOutcome::Changed, now + self.next_idle_backoff()),
            // Backwards: Consul was restored or has lost its state. Ask anew; what was said just now counts.
            Some(index) if index < before => (QueryOutcome::Changed, now + self.next_idle_backoff()),
            Some(index) if index == before => {
                self.index = index;
                // After its whole wait this is how a blocking query ends; at once, it is an agent that does not wait.
                let at_once = now - self.started_at < SECOND_US && !self.is_immediate;
                let pause = if at_once { self.next_idle_backoff() } else { 0 };
                self.idle_responses = if at_once { self.idle_responses } else { 0 };
                (QueryOutcome::Unchanged, now + pause)
            }
            Some(index) => {
                (self.index, self.idle_responses) = (index, 0);
                (QueryOutcome::Changed, now.max(self.started_at + MIN_QUERY_INTERVAL_US))
            }
        }
    }

    /// The pause where an index is of no use: it grows up to 2 s, so that neither end is kept busy.
    fn next_idle_backoff(&mut self) -> Micros {
        self.idle_responses = self.idle_responses.saturating_add(1);
        (MIN_QUERY_INTERVAL_US << (self.idle_responses - 1).min(8)).min(2 * SECOND_US)
    }
}

#[cfg(test)]
mod tests;

//! Decides for one blocking query which index it sends, when it is sent again, and whether its response is used. This
//! module does no I/O and reads no clock. Times are in microseconds of the caller's clock.
//!
//! The rules for the index are those of
//! <https://developer.hashicorp.com/consul/api-docs/features/blocking#implementation-details>. If the index goes
//! backwards, the query starts over without an index. An index of 0 is never sent. The rate of requests is limited.

use crate::backoff::{exponential_backoff, with_jitter};
use crate::response::{ResponseError, ResponseHead};
use orchidyoke_core::interface::Micros;

const MILLISECOND_US: Micros = 1_000;
const SECOND_US: Micros = 1_000_000;
/// Shortest time from one request to the next for a service that changes all the time.
const MIN_QUERY_INTERVAL_US: Micros = 50 * MILLISECOND_US;
/// Backoff after the first failure. It doubles with each further failure.
const BACKOFF_MIN_US: Micros = 250 * MILLISECOND_US;
/// Longest backoff after failures.
const BACKOFF_MAX_US: Micros = 8 * SECOND_US;
/// Longest `Retry-After` that is honoured.
const RETRY_AFTER_MAX_US: Micros = 60 * SECOND_US;
/// Longest pause between requests while Consul sends no index that a blocking query can use.
const IDLE_BACKOFF_MAX_US: Micros = 2 * SECOND_US;
/// If a blocking query without a change ends sooner than this, the agent does not support blocking.
const BLOCKING_MIN_US: Micros = SECOND_US;

/// How the caller must handle a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QueryOutcome {
    /// The body must be read, because it may hold a change.
    Changed,
    /// Nothing has changed.
    Unchanged,
    /// The response is not used; the endpoint list stays as it is.
    Rejected(ResponseError),
}

/// The state of one blocking query.
#[derive(Clone, Debug, Default)]
pub struct BlockingQuery {
    index: u64,
    consecutive_failures: u32,
    /// Consecutive responses that arrived without a wait although nothing had changed, or without a usable index.
    idle_responses: u32,
    last_success: Option<Micros>,
    started_at: Micros,
    /// Whether the request in flight asks for an immediate response. For such a request, an early response with the
    /// same index does not mean that the agent does not support blocking.
    is_immediate: bool,
}

impl BlockingQuery {
    /// Starts a blocking request; returns its index. Index 0 is answered immediately.
    pub fn start_blocking(&mut self, now: Micros) -> u64 {
        self.started_at = now;
        self.is_immediate = false;
        self.index
    }

    /// Starts a request that is answered immediately; returns its index, 0.
    pub fn start_immediate(&mut self, now: Micros) -> u64 {
        self.started_at = now;
        self.is_immediate = true;
        0
    }

    /// Returns when the last valid response arrived; `None` if there was none.
    pub fn last_success(&self) -> Option<Micros> {
        self.last_success
    }

    /// Returns the number of failures since the last valid response.
    pub fn consecutive_failures(&self) -> u32 {
        self.consecutive_failures
    }

    /// Handles a response. Returns its outcome and the earliest time of the next request. `jitter` is a random number
    /// from 0 to 1.
    pub fn on_response(&mut self, now: Micros, head: &ResponseHead, jitter: f64) -> (QueryOutcome, Micros) {
        let Some(error) = head.error() else { return self.on_valid_response(now, head) };
        let after_backoff = self.on_failure(now, jitter);
        let retry_after_s = head.retry_after.unwrap_or(0);
        let retry_after_us = i64::try_from(retry_after_s).unwrap_or(i64::MAX).saturating_mul(SECOND_US);
        let after_pause = now + retry_after_us.min(RETRY_AFTER_MAX_US);
        (QueryOutcome::Rejected(error), after_backoff.max(after_pause))
    }

    /// Handles a missing response or a body that cannot be parsed. Returns the earliest time of the next request. The
    /// caller must also call this after [`on_response`](Self::on_response) if it cannot parse the body, because the
    /// index of such a response must not be used for a blocking query.
    pub fn on_failure(&mut self, now: Micros, jitter: f64) -> Micros {
        self.index = 0;
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        let backoff = exponential_backoff(BACKOFF_MIN_US, BACKOFF_MAX_US, self.consecutive_failures - 1);
        now + with_jitter(backoff, jitter)
    }

    fn on_valid_response(&mut self, now: Micros, head: &ResponseHead) -> (QueryOutcome, Micros) {
        self.consecutive_failures = 0;
        self.last_success = Some(now);
        let previous = std::mem::take(&mut self.index);
        match head.parsed_index() {
            // Without an index the next request is not blocking, so its response arrives at once.
            None | Some(0) => (QueryOutcome::Changed, now + self.next_idle_backoff()),
            // Consul was restored from a backup or has lost its state. This response is valid; the next request is sent
            // without an index.
            Some(index) if index < previous => (QueryOutcome::Changed, now + self.next_idle_backoff()),
            Some(index) if index == previous => {
                self.index = index;
                (QueryOutcome::Unchanged, now + self.pause_after_unchanged(now))
            }
            Some(index) => {
                self.index = index;
                self.idle_responses = 0;
                (QueryOutcome::Changed, now.max(self.started_at + MIN_QUERY_INTERVAL_US))
            }
        }
    }

    /// Returns the pause after a response without a change. It is 0 after an immediate request and after a blocking
    /// query that has waited, and a backoff if the agent does not support blocking.
    fn pause_after_unchanged(&mut self, now: Micros) -> Micros {
        let blocked = self.is_immediate || now - self.started_at >= BLOCKING_MIN_US;
        if blocked {
            self.idle_responses = 0;
            return 0;
        }
        self.next_idle_backoff()
    }

    /// Returns the pause before the next request if a blocking query is not possible. The pause doubles each time, so
    /// that neither the forwarder nor Consul is kept busy.
    fn next_idle_backoff(&mut self) -> Micros {
        self.idle_responses = self.idle_responses.saturating_add(1);
        exponential_backoff(MIN_QUERY_INTERVAL_US, IDLE_BACKOFF_MAX_US, self.idle_responses - 1)
    }
}

#[cfg(test)]
mod tests;

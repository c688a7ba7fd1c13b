//! One blocking query: its index, when it is sent again, and whether its response is used. No I/O, no clock.
//!
//! The rules for the index are those of
//! <https://developer.hashicorp.com/consul/api-docs/features/blocking#implementation-details>: an index that goes
//! backwards starts over, 0 is no index to wait with, and the rate of requests is limited. Times are in microseconds of
//! the caller's clock.

use crate::backoff::{exponential_backoff, with_jitter};
use crate::response::{ResponseError, ResponseHead};
use orchidyoke_core::interface::Micros;

const MILLISECOND_US: Micros = 1_000;
const SECOND_US: Micros = 1_000_000;
/// Least time from one request to the next for a service that changes all the time.
const MIN_QUERY_INTERVAL_US: Micros = 50 * MILLISECOND_US;
/// Backoff after the first failure; it doubles with each further one.
const BACKOFF_MIN_US: Micros = 250 * MILLISECOND_US;
/// Longest backoff after failures.
const BACKOFF_MAX_US: Micros = 8 * SECOND_US;
/// Longest `Retry-After` that is honoured.
const RETRY_AFTER_MAX_US: Micros = 60 * SECOND_US;
/// Longest pause between requests whose index cannot be waited with.
const IDLE_BACKOFF_MAX_US: Micros = 2 * SECOND_US;
/// A blocking query that ends sooner than this without a change comes from an agent that does not block.
const BLOCKED_AT_LEAST_US: Micros = SECOND_US;

/// What follows from a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QueryOutcome {
    /// The body has to be read: it may hold a change.
    Changed,
    /// Nothing has changed.
    Unchanged,
    /// The response is not used; the endpoint list stays as it is.
    Rejected(ResponseError),
}

/// One blocking query on one service.
#[derive(Clone, Debug, Default)]
pub struct BlockingQuery {
    index: u64,
    consecutive_failures: u32,
    /// Responses in a row that came at once though nothing had changed.
    idle_responses: u32,
    last_success: Option<Micros>,
    started_at: Micros,
    /// The request out asks for an immediate response: the same index again only says that nothing has changed.
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

    /// When the last response that counts arrived.
    pub fn last_success(&self) -> Option<Micros> {
        self.last_success
    }

    /// Failures since then.
    pub fn consecutive_failures(&self) -> u32 {
        self.consecutive_failures
    }

    /// A response has arrived. Returns what follows from it and the earliest time of the next request. `jitter` is
    /// random, from 0 to 1.
    pub fn on_response(&mut self, now: Micros, head: &ResponseHead, jitter: f64) -> (QueryOutcome, Micros) {
        let Some(error) = head.error() else { return self.on_valid_response(now, head) };
        let after_backoff = self.on_failure(now, jitter);
        let retry_after_s = head.retry_after.unwrap_or(0);
        let retry_after_us = i64::try_from(retry_after_s).unwrap_or(i64::MAX).saturating_mul(SECOND_US);
        let after_pause = now + retry_after_us.min(RETRY_AFTER_MAX_US);
        (QueryOutcome::Rejected(error), after_backoff.max(after_pause))
    }

    /// No response, or a body that cannot be read; returns the earliest time of the next request. Also to be called
    /// after [`on_response`](Self::on_response) when the body proves unreadable: its index must not be waited with.
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
            // There is no index to wait with, so each response comes at once.
            None | Some(0) => (QueryOutcome::Changed, now + self.next_idle_backoff()),
            // Consul was restored or has lost its state. This response counts; the next request starts over.
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

    /// No pause after a wait to its end, which is how a blocking query without a change ends; a backoff for an agent that
    /// does not block.
    fn pause_after_unchanged(&mut self, now: Micros) -> Micros {
        let blocked = self.is_immediate || now - self.started_at >= BLOCKED_AT_LEAST_US;
        if blocked {
            self.idle_responses = 0;
            return 0;
        }
        self.next_idle_backoff()
    }

    /// The pause where the index cannot be waited with. It doubles, so that neither end is kept busy.
    fn next_idle_backoff(&mut self) -> Micros {
        self.idle_responses = self.idle_responses.saturating_add(1);
        exponential_backoff(MIN_QUERY_INTERVAL_US, IDLE_BACKOFF_MAX_US, self.idle_responses - 1)
    }
}

#[cfg(test)]
mod tests;

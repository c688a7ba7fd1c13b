//! Pauses that double up to a maximum, and their jitter. Used after failed requests, after failed connections, and where
//! an index cannot be waited with.

use orchidyoke_core::interface::Micros;

/// Bounds the shift; every maximum in this package is reached before.
const MAX_DOUBLINGS: u32 = 8;
const JITTER_FACTOR_MIN: f64 = 0.75;
const JITTER_FACTOR_RANGE: f64 = 0.5;

/// `min` doubled so many times, at most `max`.
pub(crate) fn exponential_backoff(min: Micros, max: Micros, doublings: u32) -> Micros {
    (min << doublings.min(MAX_DOUBLINGS)).min(max)
}

/// A backoff times a factor from 0.75 to 1.25, so that forwarders do not retry in step. `jitter` is random, from 0 to 1.
pub(crate) fn with_jitter(backoff: Micros, jitter: f64) -> Micros {
    (backoff as f64 * (JITTER_FACTOR_MIN + JITTER_FACTOR_RANGE * jitter)) as Micros
}

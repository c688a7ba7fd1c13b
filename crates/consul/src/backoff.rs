//! Computes exponential backoffs with jitter. They are used after failed requests, after failed connections, and after
//! responses whose index cannot be used for a blocking query.

use orchidyoke_core::interface::Micros;

/// Limits the shift so that it does not overflow. Every maximum in this package is reached with fewer doublings.
const MAX_DOUBLINGS: u32 = 8;
const JITTER_FACTOR_MIN: f64 = 0.75;
const JITTER_FACTOR_RANGE: f64 = 0.5;

/// Returns `min` doubled `doublings` times, at most `max`.
pub(crate) fn exponential_backoff(min: Micros, max: Micros, doublings: u32) -> Micros {
    (min << doublings.min(MAX_DOUBLINGS)).min(max)
}

/// Returns a backoff times a factor from 0.75 to 1.25, so that forwarders do not all retry at the same time. `jitter`
/// is a random number from 0 to 1.
pub(crate) fn with_jitter(backoff: Micros, jitter: f64) -> Micros {
    (backoff as f64 * (JITTER_FACTOR_MIN + JITTER_FACTOR_RANGE * jitter)) as Micros
}

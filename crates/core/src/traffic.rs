//! Provides a rate estimate that halves old counts, and a token bucket. They are used for this forwarder's share of a
//! route's capacity and for pacing.

use crate::interface::{Micros, SECOND_US};

/// Time span after which half of the counted events is dropped.
const RATE_WINDOW_US: Micros = 60_000_000;
/// Shortest time over which a rate is taken, because a single event is not a rate.
const MIN_RATE_SPAN_US: f64 = 5_000_000.0;
/// Part of a token that may be lost by rounding and does not count as missing.
const TOKEN_TOLERANCE: f64 = 1e-6;
/// Lowest fill rate in tokens a second, so that even with a rate near zero the bucket fills within days.
const MIN_FILL_RATE: f64 = 1e-6;
/// Subtracted from a time that must not be later than the result of a computation that rounds differently.
pub(crate) const ROUNDING_US: Micros = 2;

/// Estimates a rate from the events counted since a start time. After a minute half of the events is dropped.
#[derive(Debug, Default)]
pub struct RateEstimator {
    events: f64,
    since: Micros,
}

impl RateEstimator {
    /// Creates an estimate that starts now with some events already counted.
    pub fn starting(events: f64, now: Micros) -> Self {
        RateEstimator { events, since: now }
    }

    /// Returns the rate in events a second.
    pub fn rate(&self, now: Micros) -> f64 {
        self.events * SECOND_US / ((now - self.since) as f64).max(MIN_RATE_SPAN_US)
    }

    /// Counts an event.
    pub fn record(&mut self, now: Micros) {
        let span = now - self.since;
        if span > RATE_WINDOW_US {
            self.events /= 2.0;
            self.since = now - span / 2;
        }
        self.events += 1.0;
    }

    /// Excludes a time span, such as an outage, so that the rate is that of the remaining time.
    pub fn exclude(&mut self, span: Micros) {
        self.since += span;
    }
}

/// A token bucket. The number of its tokens may be negative.
#[derive(Debug, Default)]
pub struct TokenBucket {
    tokens: f64,
    updated_at: Micros,
}

impl TokenBucket {
    /// Creates a bucket with this number of tokens.
    pub fn starting(tokens: f64, now: Micros) -> Self {
        TokenBucket { tokens, updated_at: now }
    }

    /// Returns its tokens, filled at `rate` a second up to `depth`.
    pub fn available(&self, now: Micros, rate: f64, depth: f64) -> f64 {
        (self.tokens + rate * self.seconds_since_take(now)).min(depth)
    }

    /// Returns the seconds since tokens were last taken.
    pub fn seconds_since_take(&self, now: Micros) -> f64 {
        (now - self.updated_at) as f64 / SECOND_US
    }

    /// Takes tokens even if the bucket has fewer.
    pub fn take(&mut self, now: Micros, rate: f64, depth: f64, tokens: f64) {
        self.tokens = self.available(now, rate, depth) - tokens;
        self.updated_at = now;
    }

    /// Returns when a whole token is available.
    pub fn opens_at(&self, now: Micros, rate: f64) -> Micros {
        let missing = 1.0 - self.available(now, rate, 1.0);
        if missing < TOKEN_TOLERANCE {
            return now;
        }
        now + fill_time(missing, rate)
    }

    /// Returns a time that is not later than any result of [`Self::opens_at`] from now on, although those differ by
    /// rounding.
    pub fn opens_not_before(&self, now: Micros, rate: f64) -> Micros {
        let opens = self.opens_at(now, rate);
        let rounding = fill_time(TOKEN_TOLERANCE, rate) + ROUNDING_US;
        if opens > now { (opens - rounding).max(now + 1) } else { now }
    }
}

/// Returns the time in which the bucket fills by this number of tokens.
fn fill_time(tokens: f64, rate: f64) -> Micros {
    (tokens / rate.max(MIN_FILL_RATE) * SECOND_US).ceil() as Micros
}

#[cfg(test)]
mod tests;

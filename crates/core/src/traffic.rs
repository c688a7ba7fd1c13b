//! Counts calls over time: a rate estimate that forgets by halves, and a token bucket. Used for this forwarder's share of
//! a route's capacity and for pacing.

use crate::interface::{Micros, SECOND_US};

/// Events of so long are remembered in full; then half of them is forgotten.
const RATE_WINDOW_US: Micros = 60_000_000;
/// Least time over which a rate is taken: one event is no rate.
const MIN_RATE_SPAN_US: f64 = 5_000_000.0;
/// A part of a token that is lost by rounding and does not count as missing.
const TOKEN_TOLERANCE: f64 = 1e-6;
/// Least rate in tokens a second: one near nothing fills a bucket in days, not never.
const MIN_FILL_RATE: f64 = 1e-6;
/// Taken off where a moment must not be later than that of a computation which rounds differently.
pub(crate) const ROUNDING_US: Micros = 2;

/// Estimates a rate from events counted since a moment; after a minute half of them is forgotten.
#[derive(Debug, Default)]
pub struct RateEstimator {
    events: f64,
    since: Micros,
}

impl RateEstimator {
    /// An estimate that starts now with some events already counted.
    pub fn starting(events: f64, now: Micros) -> Self {
        RateEstimator { events, since: now }
    }

    /// Events a second.
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

    /// Leaves out a span, such as an outage: the rate is that of the time without it.
    pub fn exclude(&mut self, span: Micros) {
        self.since += span;
    }
}

/// A token bucket. It may hold less than nothing.
#[derive(Debug, Default)]
pub struct TokenBucket {
    tokens: f64,
    updated_at: Micros,
}

impl TokenBucket {
    /// A bucket with so many tokens now.
    pub fn starting(tokens: f64, now: Micros) -> Self {
        TokenBucket { tokens, updated_at: now }
    }

    /// Its tokens, filled by `rate` a second up to `depth`.
    pub fn available(&self, now: Micros, rate: f64, depth: f64) -> f64 {
        (self.tokens + rate * self.seconds_since_take(now)).min(depth)
    }

    /// Seconds since tokens were last taken.
    pub fn seconds_since_take(&self, now: Micros) -> f64 {
        (now - self.updated_at) as f64 / SECOND_US
    }

    /// Takes tokens, whether they are there or not.
    pub fn take(&mut self, now: Micros, rate: f64, depth: f64, tokens: f64) {
        self.tokens = self.available(now, rate, depth) - tokens;
        self.updated_at = now;
    }

    /// When a whole token is available.
    pub fn opens_at(&self, now: Micros, rate: f64) -> Micros {
        let missing = 1.0 - self.available(now, rate, 1.0);
        if missing < TOKEN_TOLERANCE {
            return now;
        }
        now + fill_time(missing, rate)
    }

    /// Not later than any moment that [`Self::opens_at`] gives from now on: those differ by rounding.
    pub fn opens_after(&self, now: Micros, rate: f64) -> Micros {
        let opens = self.opens_at(now, rate);
        let rounding = fill_time(TOKEN_TOLERANCE, rate) + ROUNDING_US;
        if opens > now { (opens - rounding).max(now + 1) } else { now }
    }
}

/// Time for so many tokens.
fn fill_time(tokens: f64, rate: f64) -> Micros {
    (tokens / rate.max(MIN_FILL_RATE) * SECOND_US).ceil() as Micros
}

#[cfg(test)]
mod tests;

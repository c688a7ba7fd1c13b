//! Counting what comes in time: a rate that follows the traffic and forgets by halves, and a bucket that a rate fills.

use crate::interface::Micros;

const SECOND: Micros = 1_000_000;
/// Time over which events are counted, and the least: one event is no rate.
const SPAN: Micros = 60 * SECOND;
const LEAST: f64 = 5.0 * SECOND as f64;

/// A part of one event that counts as none, and the least rate in events a second that is told from none.
const ROUNDING: f64 = 1e-6;
const LEAST_RATE: f64 = 1e-6;

/// Events counted since a moment; after [`SPAN`] half of them is forgotten.
#[derive(Debug, Default)]
pub struct RateEstimator {
    events: f64,
    since: Micros,
}

impl RateEstimator {
    /// A count that begins now with some events already in it.
    pub fn starting(events: f64, now: Micros) -> Self {
        RateEstimator { events, since: now }
    }

    /// Events a second.
    pub fn rate(&self, now: Micros) -> f64 {
        self.events * SECOND as f64 / ((now - self.since) as f64).max(LEAST)
    }

    /// One more event.
    pub fn add(&mut self, now: Micros) {
        if now - self.since > SPAN {
            (self.events, self.since) = (self.events / 2.0, now - (now - self.since) / 2);
        }
        self.events += 1.0;
    }

    /// A span that does not count, such as an outage: the rate is that of the time without it.
    pub fn leave_out(&mut self, span: Micros) {
        self.since += span;
    }
}

/// A token bucket: what a rate lets go now. It may owe.
#[derive(Debug, Default)]
pub struct TokenBucket {
    available: f64,
    at: Micros,
}

impl TokenBucket {
    /// A bucket with so much in it now.
    pub fn starting(room: f64, now: Micros) -> Self {
        TokenBucket { available: room, at: now }
    }

    /// What is in it, filled by `rate` a second up to `depth`.
    pub fn room(&self, now: Micros, rate: f64, depth: f64) -> f64 {
        (self.available + rate * self.age(now)).min(depth)
    }

    /// Seconds since something was last taken out.
    pub fn age(&self, now: Micros) -> f64 {
        (now - self.at) as f64 / SECOND as f64
    }

    /// Takes out so much, be it there or not.
    pub fn take(&mut self, now: Micros, rate: f64, depth: f64, much: f64) {
        (self.available, self.at) = (self.room(now, rate, depth) - much, now);
    }

    /// When one is in it.
    pub fn opens_at(&self, now: Micros, rate: f64) -> Micros {
        let short = 1.0 - self.room(now, rate, 1.0);
        // A rounding error is no debt; and a rate near nothing opens in days, not never.
        if short < ROUNDING {
            now
        } else {
            now + (short / rate.max(LEAST_RATE) * SECOND as f64).ceil() as Micros
        }
    }

    /// Not later than any moment of opening that [`Self::opens_at`] gives from now on: those differ by rounding.
    pub fn opens_after(&self, now: Micros, rate: f64) -> Micros {
        let opens = self.opens_at(now, rate);
        let rounding = (ROUNDING / rate.max(LEAST_RATE) * SECOND as f64).ceil() as Micros + 2;
        if opens > now { (opens - rounding).max(now + 1) } else { now }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    // Guards against a rate that one event makes high, that an outage makes low, or that never forgets.
    #[test]
    fn a_rate_follows_the_traffic() {
        let mut count = RateEstimator::starting(1.0, 0);
        assert_eq!(count.rate(SECOND), 0.2);
        (1..=50).for_each(|second| count.add(second * SECOND));
        assert!((count.rate(50 * SECOND) - 1.0).abs() < 0.05);
        count.leave_out(100 * SECOND);
        assert!((count.rate(150 * SECOND) - 1.0).abs() < 0.05);
        (151..=600).for_each(|second| (0..4).for_each(|_| count.add(second * SECOND)));
        assert!((count.rate(600 * SECOND) - 4.0).abs() < 0.3, "{}", count.rate(600 * SECOND));
    }

    // Guards against a lull that saves up more than the bucket holds, a debt forgotten, and a moment of opening at
    // which the bucket is still short.
    #[test]
    fn a_bucket_fills_to_its_depth_and_pays_its_debts() {
        let mut bucket = TokenBucket::starting(1.0, 0);
        assert_eq!(bucket.opens_at(0, 0.3), 0);
        bucket.take(0, 0.3, 2.0, 1.0);
        let opens = bucket.opens_at(0, 0.3);
        assert!((3_333_333..3_333_400).contains(&opens));
        assert_eq!(bucket.opens_at(opens, 0.3), opens);
        bucket.take(100 * SECOND, 0.3, 2.0, 0.0);
        assert_eq!(bucket.room(100 * SECOND, 0.3, 2.0), 2.0);
        bucket.take(100 * SECOND, 0.3, 2.0, 3.5);
        assert!((bucket.room(105 * SECOND, 0.3, 2.0) - 0.0).abs() < 1e-9);
        assert!(bucket.opens_at(105 * SECOND, 0.0) < Micros::MAX / 2);
    }
}

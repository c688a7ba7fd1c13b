//! Counting what comes in time: a rate that follows the traffic and forgets by halves.

use crate::interface::Micros;

const SECOND: Micros = 1_000_000;
/// Time over which events are counted, and the least: one event is no rate.
const SPAN: Micros = 60 * SECOND;
const LEAST: f64 = 5.0 * SECOND as f64;

/// Events counted since a moment; after [`SPAN`] half of them is forgotten.
#[derive(Debug, Default)]
pub struct Count {
    events: f64,
    since: Micros,
}

impl Count {
    /// A count that begins now with some events already in it.
    pub fn starting(events: f64, now: Micros) -> Self {
        Count { events, since: now }
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

#[cfg(test)]
mod tests {
    use super::*;

    // Guards against a rate that one event makes high, that an outage makes low, or that never forgets.
    #[test]
    fn a_rate_follows_the_traffic() {
        let mut count = Count::starting(1.0, 0);
        assert_eq!(count.rate(SECOND), 0.2);
        (1..=50).for_each(|second| count.add(second * SECOND));
        assert!((count.rate(50 * SECOND) - 1.0).abs() < 0.05);
        count.leave_out(100 * SECOND);
        assert!((count.rate(150 * SECOND) - 1.0).abs() < 0.05);
        (151..=600).for_each(|second| (0..4).for_each(|_| count.add(second * SECOND)));
        assert!((count.rate(600 * SECOND) - 4.0).abs() < 0.3, "{}", count.rate(600 * SECOND));
    }
}

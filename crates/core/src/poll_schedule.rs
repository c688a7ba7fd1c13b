//! When to ask for the list, where it comes on request only: a subscription at the start, and another after a failure.
//! Who hosts the module asks; the module takes the list as it comes.

use crate::interface::{DiscoveryMode, ListEventKind, Micros, Settings};
use crate::rng::SeededRng;

/// First pause before the list is asked for again, doubled up to a quarter of the time allowed.
const FIRST_BACKOFF: Micros = 500_000;

/// The list of one forwarder, as far as asking for it goes.
#[derive(Debug)]
pub struct PollSchedule {
    longest: Micros,
    poll_at: Micros,
    failures: u32,
    dice: SeededRng,
}

impl PollSchedule {
    /// Nothing asked for yet; none where the list comes unprompted. `seed` spreads those that fail together.
    pub fn new(settings: &Settings, seed: u64) -> Option<Self> {
        let longest = (settings.max_poll_interval / 4).max(FIRST_BACKOFF);
        let new = PollSchedule { longest, poll_at: Micros::MIN, failures: 0, dice: SeededRng::new(seed) };
        (settings.discovery_mode == DiscoveryMode::Poll).then_some(new)
    }

    /// News has come, or a failure.
    pub fn on_event(&mut self, now: Micros, form: ListEventKind) {
        match form {
            ListEventKind::Failed => self.later(now),
            ListEventKind::Restored => {}
            ListEventKind::Delta | ListEventKind::Snapshot => {
                (self.poll_at, self.failures) = (Micros::MAX, 0)
            }
        }
    }

    /// Whether to ask now; without an answer it is asked for once more.
    pub fn should_poll(&mut self, now: Micros) -> bool {
        let due = now >= self.poll_at;
        if due {
            self.later(now);
        }
        due
    }

    /// When to look next.
    pub fn next_poll_at(&self) -> Micros {
        self.poll_at
    }

    fn later(&mut self, now: Micros) {
        let pause = (FIRST_BACKOFF << self.failures.min(6)).min(self.longest);
        self.failures += 1;
        self.poll_at = now + self.dice.jitter(pause);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    // Guards against a list that grows old after failures, and against asking for what comes by itself.
    #[test]
    fn a_list_on_request_is_asked_for_again_in_time() {
        let every = 10_000_000;
        let set = |directory| Settings {
            discovery_mode: directory,
            max_poll_interval: every,
            ..Settings::default()
        };
        assert!(PollSchedule::new(&set(DiscoveryMode::Push), 1).is_none());
        let mut list = PollSchedule::new(&set(DiscoveryMode::Poll), 1).expect("asked for");
        assert!(list.should_poll(0), "at the start");
        let (mut last, mut calls) = (0, 1);
        for now in (100_000..100_000_000).step_by(100_000) {
            assert!(now - last <= every, "never more than the time allowed between two calls");
            if list.should_poll(now) {
                (last, calls) = (now, calls + 1);
                list.on_event(now, ListEventKind::Failed);
            }
        }
        assert!(calls > 20, "{calls} calls: asked for all the time");
        list.on_event(100_000_000, ListEventKind::Delta);
        assert!(!list.should_poll(i64::MAX - 1), "a subscription is not asked for twice");
    }
}

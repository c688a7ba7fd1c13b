//! Decides when to request the endpoint list, where it is polled: a subscription at the start, and another one after a
//! failure, with exponential backoff. The host of the controller requests it; the controller takes the list as it comes.

use crate::interface::{DiscoveryMode, ListEventKind, Micros, Settings};
use crate::rng::SeededRng;

/// First backoff after a request; it doubles with each further one.
const FIRST_BACKOFF_US: Micros = 500_000;
/// The backoff is at most this part of the time allowed between two requests.
const MAX_BACKOFF_DIVISOR: Micros = 4;
/// Doublings of the backoff at most.
const MAX_BACKOFF_DOUBLINGS: u32 = 6;

/// When to request the endpoint list.
#[derive(Debug)]
pub struct PollSchedule {
    max_backoff: Micros,
    poll_at: Micros,
    consecutive_requests: u32,
    rng: SeededRng,
}

impl PollSchedule {
    /// A schedule whose first request is due at once; none where changes are pushed. `seed` spreads forwarders that fail
    /// together.
    pub fn new(settings: &Settings, seed: u64) -> Option<Self> {
        let max_backoff = (settings.max_poll_interval / MAX_BACKOFF_DIVISOR).max(FIRST_BACKOFF_US);
        let schedule = PollSchedule {
            max_backoff,
            poll_at: Micros::MIN,
            consecutive_requests: 0,
            rng: SeededRng::new(seed),
        };
        (settings.discovery_mode == DiscoveryMode::Poll).then_some(schedule)
    }

    /// Takes in a list event: news ends the requests, a failure delays the next.
    pub fn on_event(&mut self, now: Micros, kind: ListEventKind) {
        match kind {
            ListEventKind::Failed => self.back_off(now),
            ListEventKind::Restored => {}
            ListEventKind::Delta | ListEventKind::Snapshot => {
                self.poll_at = Micros::MAX;
                self.consecutive_requests = 0;
            }
        }
    }

    /// Whether to request the list now. Without an answer it is requested again after a backoff.
    pub fn should_poll(&mut self, now: Micros) -> bool {
        let is_due = now >= self.poll_at;
        if is_due {
            self.back_off(now);
        }
        is_due
    }

    /// When the next request is due.
    pub fn next_poll_at(&self) -> Micros {
        self.poll_at
    }

    fn back_off(&mut self, now: Micros) {
        let doublings = self.consecutive_requests.min(MAX_BACKOFF_DOUBLINGS);
        let backoff = (FIRST_BACKOFF_US << doublings).min(self.max_backoff);
        self.consecutive_requests += 1;
        self.poll_at = now + self.rng.jitter(backoff);
    }
}

#[cfg(test)]
mod tests;

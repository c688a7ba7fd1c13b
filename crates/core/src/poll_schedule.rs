//! Decides when to request the endpoint list if it has to be polled. The first request is due at the start. Further
//! ones follow with exponential backoff until the list arrives, and again after a failure. The program that runs the
//! controller sends the requests; the controller only receives the list.

use crate::interface::{DiscoveryMode, ListEventKind, Micros, Settings};
use crate::rng::SeededRng;

/// First backoff after a request, in microseconds; it doubles with each further request.
const FIRST_BACKOFF_US: Micros = 500_000;
/// The longest time between two requests, divided by this, limits the backoff.
const MAX_BACKOFF_DIVISOR: Micros = 4;
/// Maximum number of doublings of the backoff.
const MAX_BACKOFF_DOUBLINGS: u32 = 6;

/// The times at which to request the endpoint list.
#[derive(Debug)]
pub struct PollSchedule {
    max_backoff: Micros,
    poll_at: Micros,
    consecutive_requests: u32,
    rng: SeededRng,
}

impl PollSchedule {
    /// Creates a schedule whose first request is due at once; returns `None` if changes are pushed. `seed` determines
    /// the random part of each backoff, which spreads the requests of forwarders that fail together.
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

    /// Applies an event of the endpoint list. A delta or snapshot ends the requests, and a failure delays the next one.
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

    /// Returns whether to request the list now. If no answer comes, the list is requested again after a backoff.
    pub fn should_poll(&mut self, now: Micros) -> bool {
        let is_due = now >= self.poll_at;
        if is_due {
            self.back_off(now);
        }
        is_due
    }

    /// Returns when the next request is due; `Micros::MAX` if no request is due until a failure.
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

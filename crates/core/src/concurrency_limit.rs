//! Decides how many calls a route may have in flight.
//!
//! The window grows by a factor with each first-try success and is halved by each failure or rejection. Inputs are the
//! outcomes of calls; the unit is calls in flight. In addition to the window, each destination may hold only a share of
//! all call slots, and a faulty destination a smaller share, so that a hanging destination leaves slots to the others.

/// Factor by which a first-try success increases the window.
const WINDOW_GROWTH: f64 = 1.1;
/// Factor by which a failure or rejection decreases the window.
const WINDOW_DECREASE: f64 = 0.5;
/// One call in flight is always allowed; pacing and backoff reduce the rate further.
const MIN_WINDOW_CALLS: f64 = 1.0;
/// A window of fewer calls than this is at its floor, because it allows one call before and after a failure.
const FLOOR_BELOW_CALLS: f64 = 2.0;
/// Share of all call slots that one destination may hold.
const DESTINATION_SLOT_SHARE: f64 = 0.75;
/// Share of all call slots that a faulty destination may hold, and all faulty destinations together.
const FAULTY_SLOT_SHARE: f64 = 0.5;

/// Adaptive limit on the calls in flight of a route.
#[derive(Debug)]
pub(crate) struct ConcurrencyWindow {
    calls: f64,
}

impl ConcurrencyWindow {
    /// Returns the window before any call: one call in flight.
    pub const fn initial() -> Self {
        ConcurrencyWindow { calls: MIN_WINDOW_CALLS }
    }

    /// Returns the window, in calls in flight; fractions count towards the next whole call.
    pub fn calls(&self) -> f64 {
        self.calls
    }

    /// Returns whether one more call fits in addition to those in flight.
    pub fn has_room(&self, in_flight: usize) -> bool {
        in_flight < self.calls as usize
    }

    /// Returns whether the window is at its floor, where a decrease does not reduce the number of calls in flight.
    pub fn is_at_floor(&self) -> bool {
        self.calls < FLOOR_BELOW_CALLS
    }

    /// Increases the window after a success in which every message was at its first attempt.
    pub fn on_first_try_success(&mut self, max_calls: usize) {
        let max_window = (max_calls as f64 * DESTINATION_SLOT_SHARE).max(MIN_WINDOW_CALLS);
        self.calls = (self.calls * WINDOW_GROWTH).min(max_window);
    }

    /// Decreases the window after a failure or rejection. Returns whether it was at its floor before.
    pub fn on_failure(&mut self) -> bool {
        let was_at_floor = self.is_at_floor();
        self.calls = (self.calls * WINDOW_DECREASE).max(MIN_WINDOW_CALLS);
        was_at_floor
    }
}

/// Returns how many calls one destination may have in flight; `max_calls` is the number of all call slots.
pub(crate) fn destination_call_limit(max_calls: usize, is_faulty: bool) -> usize {
    if is_faulty { faulty_call_limit(max_calls) } else { slots(max_calls, DESTINATION_SLOT_SHARE) }
}

/// Returns how many calls all faulty destinations together may have in flight.
pub(crate) fn faulty_call_limit(max_calls: usize) -> usize {
    slots(max_calls, FAULTY_SLOT_SHARE)
}

fn slots(max_calls: usize, share: f64) -> usize {
    ((max_calls as f64 * share) as usize).max(1)
}

#[cfg(test)]
mod tests;

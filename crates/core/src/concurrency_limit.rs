//! Decides how many calls a route may have in flight.
//!
//! The window grows by a factor with each first-try success and is halved by each failure or rejection. Inputs are the
//! outcomes of calls; the unit is calls in flight. Apart from the window, a share of all call slots bounds each
//! destination, and a smaller one those that are faulty, so that a hanging destination leaves slots to the others.

/// Growth of the window with a success at the first attempt.
const WINDOW_GROWTH: f64 = 1.1;
/// Decrease of the window with a failure or rejection.
const WINDOW_DECREASE: f64 = 0.5;
/// One call in flight is always allowed; the pace and the backoff go below that.
const MIN_WINDOW_CALLS: f64 = 1.0;
/// Below this a failure leaves the window at its floor.
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
    /// The window before any call: one call in flight.
    pub const fn initial() -> Self {
        ConcurrencyWindow { calls: MIN_WINDOW_CALLS }
    }

    /// The window, in calls in flight; fractions count towards the next whole call.
    pub fn calls(&self) -> f64 {
        self.calls
    }

    /// Whether one more call fits beside those in flight.
    pub fn has_room(&self, in_flight: usize) -> bool {
        in_flight < self.calls as usize
    }

    /// Whether the window is too small for a decrease to hold anything back.
    pub fn is_at_floor(&self) -> bool {
        self.calls < FLOOR_BELOW_CALLS
    }

    /// Grows after a success in which every message was at its first attempt.
    pub fn on_first_try_success(&mut self, max_calls: usize) {
        let most = (max_calls as f64 * DESTINATION_SLOT_SHARE).max(MIN_WINDOW_CALLS);
        self.calls = (self.calls * WINDOW_GROWTH).min(most);
    }

    /// Shrinks after a failure or rejection; says whether it was at its floor before.
    pub fn on_failure(&mut self) -> bool {
        let was_at_floor = self.is_at_floor();
        self.calls = (self.calls * WINDOW_DECREASE).max(MIN_WINDOW_CALLS);
        was_at_floor
    }
}

/// Calls that one destination may have in flight; `max_calls` is the number of all slots.
pub(crate) fn destination_call_limit(max_calls: usize, is_faulty: bool) -> usize {
    if is_faulty { faulty_call_limit(max_calls) } else { slots(max_calls, DESTINATION_SLOT_SHARE) }
}

/// Calls that all faulty destinations together may have in flight.
pub(crate) fn faulty_call_limit(max_calls: usize) -> usize {
    slots(max_calls, FAULTY_SLOT_SHARE)
}

fn slots(max_calls: usize, share: f64) -> usize {
    ((max_calls as f64 * share) as usize).max(1)
}

#[cfg(test)]
mod tests;

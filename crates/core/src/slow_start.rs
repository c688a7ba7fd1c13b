//! Decides how many calls an ejected route gets, and how many while it warms up again.
//!
//! A cold destination has `cold_capacity_share` of its capacity, has all of it after `warm_up_time`, and fails under
//! more than `overload_factor` times its present capacity over `overload_window`. Each forwarder sends at most its own
//! share of that in any such window. The shares of a fleet add up to no more than the capacity, so the rule holds
//! without any coordination, for first attempts and retries alike. If the budget is below one call, two draws in each
//! window decide whether a call is sent. The unit is calls in `overload_window`; times are in microseconds.

use crate::interface::{Micros, SECOND_US, Settings};
use crate::outlier_detection::RouteHealth;
use crate::rng::SeededRng;
use crate::traffic::ROUNDING_US;
use std::collections::VecDeque;

/// Fraction of the budget that is used. The rest is a margin for draws that coincide.
pub(crate) const BUDGET_FRACTION: f64 = 0.8;
/// Number of draws in one `overload_window` if the budget is below one call.
const DRAWS_PER_WINDOW: Micros = 2;
/// Number of messages in a batch that count as one further call: 5 messages count as 2 calls.
const MESSAGES_PER_EXTRA_CALL: usize = 5;

/// Returns the present capacity as a share of the full one; `None` if the budget does not apply. `is_failing` says that
/// there were failures since the last success; then the ramp stays at its start until a success ends them.
pub(crate) fn present_capacity(
    health: RouteHealth,
    is_failing: bool,
    now: Micros,
    settings: &Settings,
) -> Option<f64> {
    let warm_for = match health {
        RouteHealth::Healthy => return None,
        RouteHealth::WarmingUp(since) if now - since >= settings.warm_up_time => return None,
        RouteHealth::WarmingUp(since) if !is_failing => now - since,
        RouteHealth::WarmingUp(_) | RouteHealth::Ejected => 0,
    };
    let cold = settings.cold_capacity_share;
    Some(cold + (1.0 - cold) * warm_for as f64 / settings.warm_up_time.max(1) as f64)
}

/// Returns the calls allowed in any span of `overload_window`; `share` is this forwarder's part of the full capacity,
/// in calls a second.
pub(crate) fn call_budget(present_capacity: f64, share: f64, settings: &Settings) -> f64 {
    let rate = settings.overload_factor * present_capacity * share;
    BUDGET_FRACTION * rate * settings.overload_window as f64 / SECOND_US
}

/// Returns whether an ejected route may get a trial call: one at a time, not counting overdue calls.
pub(crate) fn allows_trial_call(in_flight: usize, overdue: usize) -> bool {
    in_flight <= overdue
}

/// Returns whether a success that ends the failures of a route starts its ramp. It does after an outage, or after
/// failures during a ramp, which then starts again.
pub(crate) fn starts_ramp(
    health: RouteHealth,
    is_capacity_reduced: bool,
    has_failed: bool,
    was_rejection_outage: bool,
) -> bool {
    health == RouteHealth::Ejected || (is_capacity_reduced && has_failed) || was_rejection_outage
}

/// The recent calls of a route and its draws, from which follows when its budget allows the next call.
#[derive(Debug)]
pub(crate) struct RecentCallBudget {
    /// Times of the calls in the last `overload_window`, oldest first.
    recent_calls: VecDeque<Micros>,
    /// When the next draw is due.
    next_draw_at: Micros,
    /// Time of the last draw if it allows a call in that step; `None` otherwise.
    won_draw_at: Option<Micros>,
}

impl RecentCallBudget {
    /// Returns the state without calls and draws.
    pub const fn initial() -> Self {
        RecentCallBudget { recent_calls: VecDeque::new(), next_draw_at: 0, won_draw_at: None }
    }

    /// Returns when the next draw is due.
    pub fn next_draw_at(&self) -> Micros {
        self.next_draw_at
    }

    /// Draws whether a call may be sent in this step.
    pub fn draw(&mut self, budget: f64, now: Micros, settings: &Settings, rng: &mut SeededRng) {
        self.next_draw_at = now + (settings.overload_window / DRAWS_PER_WINDOW).max(1);
        let wins = rng.uniform() < budget / DRAWS_PER_WINDOW as f64;
        self.won_draw_at = wins.then_some(now);
    }

    /// Counts a call with this number of messages.
    pub fn record_call(&mut self, messages: usize, now: Micros, settings: &Settings) {
        let calls = 1 + messages / MESSAGES_PER_EXTRA_CALL;
        self.recent_calls.extend(std::iter::repeat_n(now, calls));
        self.next_draw_at = now + calls as Micros * settings.overload_window / DRAWS_PER_WINDOW;
        self.won_draw_at = None;
        let expired = self.recent_calls.partition_point(|at| now - at >= settings.overload_window);
        self.recent_calls.drain(..expired);
    }

    /// Returns when the budget allows the next call.
    pub fn opens_at(&self, budget: f64, now: Micros, settings: &Settings) -> Micros {
        let calls = budget as usize;
        if budget < 1.0 && self.won_draw_at != Some(now) {
            self.next_draw_at.max(now + 1)
        } else if budget >= 1.0 && self.recent_calls.len() >= calls {
            self.recent_calls[self.recent_calls.len() - calls] + settings.overload_window
        } else {
            now
        }
    }

    /// Returns the earliest time at which [`Self::opens_at`] can change without an event. It may be too early but is
    /// never too late. It is the earliest of:
    ///
    /// - the next draw, for a budget below one call;
    /// - the time at which a recent call leaves the window, for a budget of one call or more;
    /// - `grows_at`, when the ramp allows a further call.
    ///
    /// `budget_varies` says that the budget may cross one call at any time, so that both of the first two apply. The
    /// budget varies while there is no failure, because the forwarder's share then changes with time.
    pub fn changes_at(
        &self,
        budget: f64,
        budget_varies: bool,
        grows_at: Option<Micros>,
        now: Micros,
        settings: &Settings,
    ) -> Option<Micros> {
        let draw_at = (budget < 1.0 || budget_varies).then_some(self.next_draw_at);
        let mut expiries = self.recent_calls.iter().map(|at| at + settings.overload_window);
        let expires_at = expiries.find(|end| *end > now).filter(|_| budget >= 1.0 || budget_varies);
        [draw_at, expires_at, grows_at].into_iter().flatten().min().map(|at| at.max(now + 1))
    }
}

/// Returns the time after the start of the ramp at which, at the earliest, the budget has grown by a whole call or no
/// longer applies.
pub(crate) fn ramp_time_to_next_call(budget: f64, share: f64, settings: &Settings) -> Micros {
    let warm_budget_us = settings.overload_factor * share * BUDGET_FRACTION * settings.overload_window as f64;
    let capacity = (budget.max(0.0).floor() + 1.0) * SECOND_US / warm_budget_us;
    let ramp_part = (capacity - settings.cold_capacity_share) / (1.0 - settings.cold_capacity_share);
    let grows = warm_budget_us > 0.0 && settings.cold_capacity_share < 1.0;
    if !grows {
        return settings.warm_up_time;
    }
    // A rounding error must not make the result later.
    let warm_up_us = settings.warm_up_time as f64;
    (ramp_part * warm_up_us * (1.0 - 1e-9)).clamp(0.0, warm_up_us) as Micros - ROUNDING_US
}

#[cfg(test)]
mod tests;

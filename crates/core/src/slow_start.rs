//! Decides how much traffic an ejected route gets, and how much while it warms up again.
//!
//! A cold destination has `cold_capacity_share` of its capacity, all of it after `warm_up_time`, and falls over at more
//! than `overload_factor` times its present capacity over `overload_window`. Each forwarder sends at most its own share of
//! that in any such window; the shares of a fleet sum to no more than the capacity, so the rule holds without any
//! coordination, for first attempts and retries alike. A budget below one call is met by chance: a draw twice in a
//! window decides whether one call goes. The unit is calls in `overload_window`; times are in microseconds.

use crate::interface::{Micros, SECOND_US, Settings};
use crate::outlier_detection::RouteHealth;
use crate::rng::SeededRng;
use crate::traffic::ROUNDING_US;
use std::collections::VecDeque;

/// Part of the budget that is used; the rest is a margin for draws that coincide.
pub(crate) const BUDGET_USE: f64 = 0.8;
/// Draws in one `overload_window` where the budget is below one call.
const DRAWS_PER_WINDOW: Micros = 2;
/// A batch counts as a further call for every so many messages: 5 messages count as 2 calls.
const MESSAGES_PER_EXTRA_CALL: usize = 5;

/// Present capacity as a share of the full one; none where the budget does not apply. `is_failing` says that failures came
/// since the last success: the ramp stands still at its start until a success ends them.
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

/// Calls allowed in any span of `overload_window`; `share` is this forwarder's part of the full capacity, in calls a second.
pub(crate) fn call_budget(present_capacity: f64, share: f64, settings: &Settings) -> f64 {
    let rate = settings.overload_factor * present_capacity * share;
    BUDGET_USE * rate * settings.overload_window as f64 / SECOND_US
}

/// Whether an ejected route may get a trial call: one at a time, beside those that are overdue.
pub(crate) fn allows_trial_call(in_flight: usize, overdue: usize) -> bool {
    in_flight <= overdue
}

/// Whether a success that ends the failures of a route starts its ramp: after an outage, or after failures in a ramp,
/// which then begins again.
pub(crate) fn starts_ramp(
    health: RouteHealth,
    is_capacity_reduced: bool,
    has_failed: bool,
    was_rejection_outage: bool,
) -> bool {
    health == RouteHealth::Ejected || (is_capacity_reduced && has_failed) || was_rejection_outage
}

/// The calls of a route within its budget.
#[derive(Debug)]
pub(crate) struct RecentCallBudget {
    /// Calls of the last `overload_window`, oldest first.
    recent_calls: VecDeque<Micros>,
    /// When the next draw is due.
    next_draw_at: Micros,
    /// Time of the last draw, if it lets a call go in that step.
    won_draw_at: Option<Micros>,
}

impl RecentCallBudget {
    /// No call and no draw yet.
    pub const fn initial() -> Self {
        RecentCallBudget { recent_calls: VecDeque::new(), next_draw_at: 0, won_draw_at: None }
    }

    /// When the next draw is due.
    pub fn next_draw_at(&self) -> Micros {
        self.next_draw_at
    }

    /// Draws by chance whether a call may go in this step.
    pub fn draw(&mut self, budget: f64, now: Micros, settings: &Settings, rng: &mut SeededRng) {
        self.next_draw_at = now + (settings.overload_window / DRAWS_PER_WINDOW).max(1);
        let wins = rng.uniform() < budget / DRAWS_PER_WINDOW as f64;
        self.won_draw_at = wins.then_some(now);
    }

    /// Counts a call with so many messages.
    pub fn record_call(&mut self, messages: usize, now: Micros, settings: &Settings) {
        let calls = 1 + messages / MESSAGES_PER_EXTRA_CALL;
        self.recent_calls.extend(std::iter::repeat_n(now, calls));
        self.next_draw_at = now + calls as Micros * settings.overload_window / DRAWS_PER_WINDOW;
        self.won_draw_at = None;
        let expired = self.recent_calls.partition_point(|at| now - at >= settings.overload_window);
        self.recent_calls.drain(..expired);
    }

    /// When the budget allows the next call.
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

    /// Earliest time at which [`Self::opens_at`] can change without an event; it may be too early, never too late:
    ///
    /// - the next draw, for a budget below one call;
    /// - the end of the window of a recent call, for a budget of one call or more;
    /// - `grows_at`, when the ramp allows a further call.
    ///
    /// With `budget_varies` (without a failure the forwarder's share follows the time) the budget may cross one call at any
    /// moment, so that both of the first two count.
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

/// Time from the start of the ramp after which the budget has grown by a whole call at the soonest, or no longer applies.
pub(crate) fn ramp_time_to_next_call(budget: f64, share: f64, settings: &Settings) -> Micros {
    let warm_budget_us = settings.overload_factor * share * BUDGET_USE * settings.overload_window as f64;
    let capacity = (budget.max(0.0).floor() + 1.0) * SECOND_US / warm_budget_us;
    let ramp_part = (capacity - settings.cold_capacity_share) / (1.0 - settings.cold_capacity_share);
    let grows = warm_budget_us > 0.0 && settings.cold_capacity_share < 1.0;
    if !grows {
        return settings.warm_up_time;
    }
    // A rounding error must not make it later.
    let most = settings.warm_up_time as f64;
    (ramp_part * most * (1.0 - 1e-9)).clamp(0.0, most) as Micros - ROUNDING_US
}

#[cfg(test)]
mod tests;

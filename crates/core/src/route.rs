//! The controller's record of a route. Combines the rules that decide whether and when the route takes a call.
//!
//! A route is a destination, or one endpoint of it if the endpoints are separate routes. It takes a call if its
//! Retry-After, its backoff, its pace and its slow-start budget allow it and its window has room. If the route is
//! ejected, the window has no effect, and the route takes one trial call at a time.

use crate::capacity_share::{self, KnownCapacity};
use crate::concurrency_limit::ConcurrencyWindow;
use crate::interface::{Micros, Settings};
use crate::outlier_detection::{FailureHistory, RouteHealth};
use crate::pacing::{self, Pace};
use crate::retry::RetryBackoff;
use crate::slow_start::{self, RecentCallBudget};
use crate::timeouts::LatencyEstimate;
use crate::traffic::{RateEstimator, TokenBucket};

/// Index in the table of routes.
pub(crate) type RouteId = usize;

/// Number of calls with which the estimate of the served rate starts, so that every forwarder may try a call.
const INITIAL_SERVED_CALLS: f64 = 1.0;

/// One route.
#[derive(Debug, Default)]
pub(crate) struct Route {
    /// Capacity hint of the endpoint list, in calls a second; 0 if there is none.
    pub capacity_hint: f64,
    /// End of the Retry-After that its answers set.
    pub retry_after_until: Micros,
    pub health: RouteHealth,
    /// Whether it is critical; see [`HealthCheckResult`](crate::outlier_detection::HealthCheckResult).
    pub is_critical: bool,
    /// Token bucket of the calls that may be sent now; used only while the route is paced.
    pub pace_bucket: TokenBucket,
    /// Rate of the calls that succeeded.
    pub served: RateEstimator,
    /// Allocated at the first call, because most routes of a long list have no calls.
    traffic: Option<Box<RouteTraffic>>,
}

/// The record of the calls to a route.
#[derive(Debug)]
pub(crate) struct RouteTraffic {
    pub window: ConcurrencyWindow,
    pub pace: Pace,
    pub latency: LatencyEstimate,
    pub failures: FailureHistory,
    pub backoff: RetryBackoff,
    pub recent_call_budget: RecentCallBudget,
    /// Capacity that its answers report, in calls a second; 0 if they report none.
    pub reported_limit: f64,
    /// Number of calls in flight.
    pub in_flight: usize,
    /// Number of calls in flight that are overdue.
    pub overdue: usize,
    /// Number of calls in flight that were presumed lost when the route recovered.
    pub presumed_lost: usize,
    /// Number of its calls that are included in the count of calls on faulty routes.
    pub counted_faulty_calls: usize,
}

/// The traffic of a route that has had no calls.
static NO_TRAFFIC: RouteTraffic = RouteTraffic::initial();

impl RouteTraffic {
    const fn initial() -> Self {
        RouteTraffic {
            window: ConcurrencyWindow::initial(),
            pace: Pace::initial(),
            latency: LatencyEstimate::initial(),
            failures: FailureHistory::initial(),
            backoff: RetryBackoff::initial(),
            recent_call_budget: RecentCallBudget::initial(),
            reported_limit: 0.0,
            in_flight: 0,
            overdue: 0,
            presumed_lost: 0,
            counted_faulty_calls: 0,
        }
    }

    /// Returns whether all calls in flight are overdue, or all were presumed lost.
    pub fn is_idle(&self) -> bool {
        self.in_flight <= self.overdue.max(self.presumed_lost)
    }
}

impl Route {
    /// Creates a route without traffic.
    pub fn new(now: Micros, pace_bucket: TokenBucket) -> Self {
        let served = RateEstimator::starting(INITIAL_SERVED_CALLS, now);
        Route { pace_bucket, served, ..Route::default() }
    }

    /// Returns the record of its calls.
    pub fn traffic(&self) -> &RouteTraffic {
        self.traffic.as_deref().unwrap_or(&NO_TRAFFIC)
    }

    /// Returns the record of its calls as a mutable reference.
    pub fn traffic_mut(&mut self) -> &mut RouteTraffic {
        self.traffic.get_or_insert_with(|| Box::new(RouteTraffic::initial()))
    }

    /// Returns whether the route is failing or slow: ejected, failing repeatedly, or with an overdue call. This limits
    /// its calls. [`Self::needs_recovery`] says what a later process has to know.
    pub fn is_faulty(&self) -> bool {
        let traffic = self.traffic();
        self.health == RouteHealth::Ejected || traffic.failures.is_failing_repeatedly() || traffic.overdue > 0
    }

    /// Returns whether a later process has to know the state of the route: ejected, failing with errors, or warming up.
    pub fn needs_recovery(&self, now: Micros, settings: &Settings) -> bool {
        let failures = &self.traffic().failures;
        match self.health {
            RouteHealth::Ejected => true,
            RouteHealth::WarmingUp(since) => now - since < settings.warm_up_time,
            RouteHealth::Healthy => failures.has_errors && failures.is_failing_repeatedly(),
        }
    }

    /// Returns the route's capacity divided evenly among the fleet, in calls a second; `None` if no capacity is known.
    pub fn even_share(&self, settings: &Settings) -> Option<f64> {
        let reported_limit = self.traffic().reported_limit;
        KnownCapacity { hint: self.capacity_hint, reported_limit }.even_share(settings)
    }

    /// Returns this forwarder's share of the route's capacity, in calls a second. Failures do not lower it.
    pub fn own_share(&self, now: Micros, settings: &Settings) -> f64 {
        let served_until = self.traffic().failures.first_failure_at().unwrap_or(now);
        capacity_share::own_share(self.served.rate(served_until), self.even_share(settings))
    }

    /// Returns the paced rate in calls a second; `None` if the route does not have to be paced.
    pub fn paced_rate(&self, settings: &Settings) -> Option<f64> {
        let traffic = self.traffic();
        let even_share = self.even_share(settings)?;
        let is_paced = pacing::is_needed(even_share, traffic.latency.mean_us(), settings);
        is_paced.then(|| traffic.pace.rate(even_share))
    }

    /// Takes tokens for calls if the route is paced.
    pub fn take_pace_tokens(&mut self, calls: f64, now: Micros, settings: &Settings) {
        let Some(rate) = self.paced_rate(settings) else { return };
        let traffic = self.traffic.get_or_insert_with(|| Box::new(RouteTraffic::initial()));
        traffic.pace.take_tokens(&mut self.pace_bucket, now, rate, calls, settings);
    }

    /// Ejects the route if its failures are an outage.
    pub fn update_outage_state(&mut self, now: Micros, settings: &Settings) {
        let is_paced = self.paced_rate(settings).is_some();
        if self.traffic().failures.is_outage(now, is_paced) {
            self.health = RouteHealth::Ejected;
        }
    }

    /// Returns the route's present capacity as a share of the full one; `None` if slow start does not limit it.
    pub fn present_capacity(&self, now: Micros, settings: &Settings) -> Option<f64> {
        let is_failing = self.traffic().failures.span.is_some();
        slow_start::present_capacity(self.health, is_failing, now, settings)
    }

    /// Returns the number of calls allowed in any span of `overload_window`; `None` if slow start does not limit them.
    pub fn call_budget(&self, now: Micros, settings: &Settings) -> Option<f64> {
        let present_capacity = self.present_capacity(now, settings)?;
        Some(slow_start::call_budget(present_capacity, self.own_share(now, settings), settings))
    }

    /// Returns when Retry-After, backoff, pace and budget allow the next call. The window may still be full at that
    /// time.
    pub fn opens_at(&self, now: Micros, settings: &Settings) -> Micros {
        let traffic = self.traffic();
        let budget = self.call_budget(now, settings);
        let budget_at = budget.map_or(now, |calls| traffic.recent_call_budget.opens_at(calls, now, settings));
        let rate = self.paced_rate(settings);
        let paced_at = rate.map_or(now, |rate| self.pace_bucket.opens_at(now, rate));
        self.retry_after_until.max(traffic.backoff.until()).max(budget_at).max(paced_at).max(now)
    }

    /// Returns the earliest time at which [`Self::opens_at`] can change without an event. It may be too early but is
    /// never too late. `None` means that it does not change.
    pub fn changes_at(&self, now: Micros, settings: &Settings) -> Option<Micros> {
        let traffic = self.traffic();
        let rate = self.paced_rate(settings);
        let paced_at = rate.map_or(now, |rate| self.pace_bucket.opens_not_before(now, rate));
        let fixed_at = self.retry_after_until.max(traffic.backoff.until()).max(paced_at);
        let fixed_change = Some(fixed_at).filter(|at| *at > now);
        let Some(budget) = self.call_budget(now, settings) else { return fixed_change };
        let budget_change = self.budget_changes_at(budget, now, settings);
        if traffic.recent_call_budget.opens_at(budget, now, settings) > now {
            budget_change.map(|at| at.max(fixed_at))
        } else {
            fixed_change.or(budget_change)
        }
    }

    fn budget_changes_at(&self, budget: f64, now: Micros, settings: &Settings) -> Option<Micros> {
        let traffic = self.traffic();
        let is_failing = traffic.failures.span.is_some();
        let grows_at = match self.health {
            RouteHealth::WarmingUp(since) if is_failing => Some(since + settings.warm_up_time),
            RouteHealth::WarmingUp(since) => {
                let share = self.own_share(now, settings);
                Some(since + slow_start::ramp_time_to_next_call(budget, share, settings))
            }
            RouteHealth::Healthy | RouteHealth::Ejected => None,
        };
        traffic.recent_call_budget.changes_at(budget, !is_failing, grows_at, now, settings)
    }

    /// Returns whether the route takes a call now: the time [`Self::opens_at`] has come, and the window has room or, if
    /// the route is ejected, all calls in flight are overdue.
    pub fn takes_call(&self, now: Micros, settings: &Settings) -> bool {
        if self.opens_at(now, settings) > now {
            return false;
        }
        let traffic = self.traffic();
        if self.health == RouteHealth::Ejected {
            return slow_start::allows_trial_call(traffic.in_flight, traffic.overdue);
        }
        traffic.window.has_room(traffic.in_flight - traffic.presumed_lost)
    }
}

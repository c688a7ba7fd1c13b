//! Decides when a route is ejected, so that it gets only trial calls, and which endpoints health checks exclude.
//!
//! Inputs are the outcomes of calls (consecutive failures and the time without a success, in microseconds) and the
//! health checks that the endpoint list reports. A route that rejects or fails only some of its calls is not down, so
//! failures count only while no call succeeds. `slow_start` decides how an ejected route returns.

use crate::interface::{HealthStatus, Micros, Outcome};

/// The condition under which the failures of a route are an outage.
#[derive(Clone, Copy, Debug)]
struct OutageThreshold {
    /// Number of failures without a success between them.
    consecutive_failures: u32,
    /// Time since the last success. A route that has never succeeded is treated as if its last success were at time 0.
    no_success_for_us: Micros,
}

/// Threshold if at least one failure was more than a rejection.
const OUTAGE_AFTER_ERRORS: OutageThreshold =
    OutageThreshold { consecutive_failures: 3, no_success_for_us: 1_500_000 };
/// Threshold if all calls were rejected and the route is not paced.
const OUTAGE_AFTER_REJECTIONS: OutageThreshold =
    OutageThreshold { consecutive_failures: 3, no_success_for_us: 4_000_000 };
/// Threshold if a paced route rejected all calls. It is higher because a paced route that is over its limit rejects
/// many calls too.
const OUTAGE_AFTER_PACED_REJECTIONS: OutageThreshold =
    OutageThreshold { consecutive_failures: 8, no_success_for_us: 6_000_000 };
/// Threshold from which a route of unknown capacity that rejected all calls starts a ramp when it returns.
const RETURN_RAMP_AFTER_REJECTIONS: OutageThreshold =
    OutageThreshold { consecutive_failures: 8, no_success_for_us: 6_000_000 };
/// Number of consecutive failures that makes a route faulty.
const FAULTY_AFTER_FAILURES: u32 = 2;
/// Number of consecutive invalid responses of an endpoint (unreadable answers, reused connections that closed during a
/// call) from which each counts as a failure.
const INVALID_RESPONSES_AS_FAILURE: u32 = 3;

/// The health of a route.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum RouteHealth {
    /// The route is neither ejected nor warming up. Its calls may still fail.
    #[default]
    Healthy,
    /// The route gets only trial calls.
    Ejected,
    /// The route has been serving again since this time, with part of its capacity.
    WarmingUp(Micros),
}

/// The time span of the failures since the last success.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct FailureSpan {
    /// Time of the first failure.
    pub first_at: Micros,
    /// Time of the latest failure.
    pub last_at: Micros,
}

/// The failures of a route since its last success.
#[derive(Debug)]
pub(crate) struct FailureHistory {
    /// Failures and rejections since the last success.
    pub consecutive_failures: u32,
    /// Whether one of these failures was more than a rejection.
    pub has_errors: bool,
    /// Time of the last success that ended the failures; 0 if there was none.
    pub last_success_at: Micros,
    /// The time span of these failures; `None` if there was no failure since the last success.
    pub span: Option<FailureSpan>,
}

impl FailureHistory {
    /// Returns the history of a route without calls.
    pub const fn initial() -> Self {
        FailureHistory { consecutive_failures: 0, has_errors: false, last_success_at: 0, span: None }
    }

    /// Returns whether no call has succeeded so far.
    pub fn never_succeeded(&self) -> bool {
        self.last_success_at == 0
    }

    /// Records the time of a failure.
    pub fn extend_span(&mut self, now: Micros) {
        let first_at = self.first_failure_at().unwrap_or(now);
        self.span = Some(FailureSpan { first_at, last_at: now });
    }

    /// Returns the time of the first failure since the last success; `None` if there is none.
    pub fn first_failure_at(&self) -> Option<Micros> {
        self.span.map(|span| span.first_at)
    }

    /// Counts a failure. A call that was overdue has already been counted. A failed connection is no error if the route
    /// is paced, because the pace already limits the calls of the fleet.
    pub fn record_failure(&mut self, outcome: Outcome, was_overdue: bool, is_paced: bool) {
        self.has_errors |= match outcome {
            Outcome::Rejected => false,
            Outcome::ConnectFailed => !is_paced,
            _ => true,
        };
        self.consecutive_failures += u32::from(!was_overdue);
    }

    /// Counts a call that has become overdue.
    pub fn record_overdue(&mut self) {
        self.consecutive_failures += 1;
        self.has_errors = true;
    }

    /// Returns whether a success of a call sent at `sent_at` shows that the route serves. A call sent before the latest
    /// failure does not show it, unless that failure is at least `overload_window` ago.
    pub fn is_ended_by(&self, sent_at: Micros, now: Micros, overload_window: Micros) -> bool {
        self.span.is_none_or(|span| sent_at >= span.last_at || now - span.last_at >= overload_window)
    }

    /// Ends the failures. Returns the time of the first one; `None` if there was none.
    pub fn reset(&mut self, now: Micros) -> Option<Micros> {
        self.consecutive_failures = 0;
        self.has_errors = false;
        self.last_success_at = now;
        self.span.take().map(|span| span.first_at)
    }

    /// Returns whether the failures are an outage, which ejects the route.
    pub fn is_outage(&self, now: Micros, is_paced: bool) -> bool {
        let threshold = match (self.has_errors, is_paced) {
            (true, _) => OUTAGE_AFTER_ERRORS,
            (false, true) => OUTAGE_AFTER_PACED_REJECTIONS,
            (false, false) => OUTAGE_AFTER_REJECTIONS,
        };
        self.exceeds(threshold, now)
    }

    /// Returns whether the route was down without having been ejected, because it answered only with rejections for
    /// long enough. If a fleet is rejected all at once, it backs off, so no later rejection shows the outage, and all
    /// forwarders would return at once. If the capacity is known, each forwarder keeps to its share of it, and a single
    /// forwarder has no others that return with it.
    pub fn was_rejection_outage(&self, now: Micros, fleet_size: u32, is_capacity_known: bool) -> bool {
        let is_unbounded = fleet_size > 1 && !is_capacity_known;
        is_unbounded && !self.has_errors && self.exceeds(RETURN_RAMP_AFTER_REJECTIONS, now)
    }

    /// Returns whether at least `FAULTY_AFTER_FAILURES` calls have failed since the last success.
    pub fn is_failing_repeatedly(&self) -> bool {
        self.consecutive_failures >= FAULTY_AFTER_FAILURES
    }

    fn exceeds(&self, threshold: OutageThreshold, now: Micros) -> bool {
        self.consecutive_failures >= threshold.consecutive_failures
            && now - self.last_success_at >= threshold.no_success_for_us
    }
}

/// Counts the consecutive invalid responses of an endpoint. A single one does not reduce its calls, because it shows
/// that the endpoint is there. Returns whether this outcome is an invalid response that is ignored.
pub(crate) fn ignores_invalid_response(consecutive: &mut u32, outcome: Outcome) -> bool {
    let is_invalid = outcome == Outcome::InvalidResponse;
    if outcome == Outcome::Success {
        *consecutive = 0;
    } else {
        *consecutive += u32::from(is_invalid);
    }
    is_invalid && *consecutive < INVALID_RESPONSES_AS_FAILURE
}

/// The effect of a destination's health checks on one of its endpoints and on the endpoint's route.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct HealthCheckResult {
    /// Whether the endpoint gets no calls because it fails while another endpoint of the destination passes.
    pub excludes_endpoint: bool,
    /// Whether the route is critical, because none of its endpoints passes. Only a critical health check starts this
    /// state, and only a passing one ends it.
    pub route_is_critical: bool,
}

/// Evaluates the health checks of an endpoint together with those of its route and its destination.
pub(crate) fn evaluate_health_checks(
    health: HealthStatus,
    destination_has_passing: bool,
    route_has_passing: bool,
    route_was_critical: bool,
) -> HealthCheckResult {
    let is_critical = health == HealthStatus::Critical;
    HealthCheckResult {
        excludes_endpoint: is_critical && destination_has_passing,
        route_is_critical: !route_has_passing && (is_critical || route_was_critical),
    }
}

#[cfg(test)]
mod tests;

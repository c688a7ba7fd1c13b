//! Decides when a route is ejected, so that it gets trial calls only, and which endpoints health checks exclude.
//!
//! Inputs are the outcomes of calls (consecutive failures and the time without a success, in microseconds) and the
//! health checks that the endpoint list reports. A route that rejects or fails part of its calls is not down, so
//! failures count only while no call succeeds. The way back is in `slow_start`.

use crate::interface::{HealthStatus, Micros, Outcome};

/// Failures that mean an outage.
#[derive(Clone, Copy, Debug)]
struct OutageThreshold {
    /// Failures with no success between.
    consecutive_failures: u32,
    /// Time since the last success; a route that has never succeeded counts as without one for longer than any such time.
    no_success_for_us: Micros,
}

/// Where at least one failure was more than a rejection.
const OUTAGE_AFTER_ERRORS: OutageThreshold =
    OutageThreshold { consecutive_failures: 3, no_success_for_us: 1_500_000 };
/// Where all calls were rejected and no limit is known.
const OUTAGE_AFTER_REJECTIONS: OutageThreshold =
    OutageThreshold { consecutive_failures: 3, no_success_for_us: 4_000_000 };
/// Where all calls were rejected by a paced route: one that is over its limit rejects many calls as well.
const OUTAGE_AFTER_PACED_REJECTIONS: OutageThreshold =
    OutageThreshold { consecutive_failures: 8, no_success_for_us: 6_000_000 };
/// Where all calls were rejected by a route of unknown capacity: from here on the return of a fleet is a ramp.
const RETURN_RAMP_AFTER_REJECTIONS: OutageThreshold =
    OutageThreshold { consecutive_failures: 8, no_success_for_us: 6_000_000 };
/// Consecutive failures that make a route faulty.
const FAULTY_AFTER_FAILURES: u32 = 2;
/// Consecutive invalid responses (unreadable answers, reused connections that closed during a call) of an endpoint from
/// which on each counts as a failure.
const INVALID_RESPONSES_AS_FAILURE: u32 = 3;

/// Whether a route serves.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum RouteHealth {
    /// No fault is known.
    #[default]
    Healthy,
    /// Only trial calls go there.
    Ejected,
    /// Serving again since this time, with part of its capacity.
    WarmingUp(Micros),
}

/// The failures since the last success.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct FailureSpan {
    /// Time of the first.
    pub first_at: Micros,
    /// Time of the latest.
    pub last_at: Micros,
}

/// What the outcomes of a route's calls say about its health.
#[derive(Debug)]
pub(crate) struct FailureHistory {
    /// Failures and rejections since the last success.
    pub consecutive_failures: u32,
    /// One of them was more than a rejection.
    pub has_errors: bool,
    /// Time of the last success that counted; 0 if there was none.
    pub last_success_at: Micros,
    /// When they happened; none since a success.
    pub span: Option<FailureSpan>,
}

impl FailureHistory {
    /// No call yet.
    pub const fn initial() -> Self {
        FailureHistory { consecutive_failures: 0, has_errors: false, last_success_at: 0, span: None }
    }

    /// Whether no call has succeeded so far.
    pub fn never_succeeded(&self) -> bool {
        self.last_success_at == 0
    }

    /// Notes the time of a failure.
    pub fn extend_span(&mut self, now: Micros) {
        let first_at = self.first_failure_at().unwrap_or(now);
        self.span = Some(FailureSpan { first_at, last_at: now });
    }

    /// Time of the first failure since the last success.
    pub fn first_failure_at(&self) -> Option<Micros> {
        self.span.map(|span| span.first_at)
    }

    /// Counts a failure. An overdue call has been counted before; a failed connection is no error where the pace of
    /// the route holds a fleet back from it.
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

    /// Whether a success of a call sent at `sent_at` says that the route serves: one sent before the latest failure does
    /// not, unless that is longer ago than `overload_window`.
    pub fn is_answered_by(&self, sent_at: Micros, now: Micros, overload_window: Micros) -> bool {
        self.span.is_none_or(|span| sent_at >= span.last_at || now - span.last_at >= overload_window)
    }

    /// Ends the run of failures; gives the time of its first.
    pub fn reset(&mut self, now: Micros) -> Option<Micros> {
        self.consecutive_failures = 0;
        self.has_errors = false;
        self.last_success_at = now;
        self.span.take().map(|span| span.first_at)
    }

    /// Whether the failures mean an outage, which ejects the route.
    pub fn is_outage(&self, now: Micros, is_paced: bool) -> bool {
        let threshold = match (self.has_errors, is_paced) {
            (true, _) => OUTAGE_AFTER_ERRORS,
            (false, true) => OUTAGE_AFTER_PACED_REJECTIONS,
            (false, false) => OUTAGE_AFTER_REJECTIONS,
        };
        self.exceeds(threshold, now)
    }

    /// Whether nothing but rejections came for so long that the route was down, without having been ejected. A fleet that was
    /// rejected all at once backs off, so no later rejection shows the outage, and its forwarders would return at once. With
    /// a known capacity each keeps to its share of that, and a single forwarder has no others to return with it.
    pub fn was_rejection_outage(&self, now: Micros, fleet_size: u32, is_capacity_known: bool) -> bool {
        let is_unbounded = fleet_size > 1 && !is_capacity_known;
        is_unbounded && !self.has_errors && self.exceeds(RETURN_RAMP_AFTER_REJECTIONS, now)
    }

    /// Whether failures follow on each other.
    pub fn is_failing_repeatedly(&self) -> bool {
        self.consecutive_failures >= FAULTY_AFTER_FAILURES
    }

    fn exceeds(&self, threshold: OutageThreshold, now: Micros) -> bool {
        self.consecutive_failures >= threshold.consecutive_failures
            && now - self.last_success_at >= threshold.no_success_for_us
    }
}

/// Counts invalid responses of an endpoint, none of which pushes back by itself: they show that it is there.
/// Says whether this one is ignored.
pub(crate) fn ignores_invalid_response(consecutive: &mut u32, outcome: Outcome) -> bool {
    let is_invalid = outcome == Outcome::InvalidResponse;
    if outcome == Outcome::Success {
        *consecutive = 0;
    } else {
        *consecutive += u32::from(is_invalid);
    }
    is_invalid && *consecutive < INVALID_RESPONSES_AS_FAILURE
}

/// What a destination's health checks say about one of its endpoints and its route.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct HealthCheckVerdict {
    /// Nothing goes to the endpoint while another of the destination passes.
    pub excludes_endpoint: bool,
    /// The route has no endpoint that passes. A critical report starts this, and only a passing one ends it.
    pub route_is_critical: bool,
}

/// Judges an endpoint by its health checks, those of its route and those of its destination.
pub(crate) fn judge_health_checks(
    health: HealthStatus,
    destination_has_passing: bool,
    route_has_passing: bool,
    route_was_critical: bool,
) -> HealthCheckVerdict {
    let is_critical = health == HealthStatus::Critical;
    HealthCheckVerdict {
        excludes_endpoint: is_critical && destination_has_passing,
        route_is_critical: !route_has_passing && (is_critical || route_was_critical),
    }
}

#[cfg(test)]
mod tests;

//! Decides whether, where and from when a message may be attempted again, and whether it may be rejected.
//!
//! Inputs are the class's idempotency, the attempts so far and the first one that may have been executed. A message that
//! must not be executed twice goes only where a repeat is dropped, or nowhere. A rejection invites the client to send
//! again, so it is given only where that does no harm; a failure promises nothing. Times are in microseconds.

use crate::interface::{
    Class, DeduplicationScope, EndpointId, Idempotency, Micros, Outcome, SECOND_US, Settings, UNKNOWN_ZONE,
};
use crate::rng::SeededRng;
use crate::slow_start::BUDGET_USE;
use crate::timeouts::SCHEDULING_MARGIN_US;

/// Longest time that a report from outside may set: no sum of a few such times overflows.
pub(crate) const MAX_REPORTED_US: Micros = 1_000_000_000_000;
/// First backoff of a route after a failure; it doubles with each consecutive failure.
const MIN_BACKOFF_US: Micros = 150_000;
/// Longest of these backoffs.
const MAX_BACKOFF_US: Micros = 2_000_000;
/// Bounds the shift that doubles the backoff.
const MAX_BACKOFF_DOUBLINGS: u32 = 8;
/// Fleet size at which the spread after a Retry-After is half of its greatest: of many forwarders those with
/// the same must not return together, for a few the time itself is enough.
const HALF_SPREAD_FLEET_SIZE: f64 = 16.0;
/// Growth of the span from which the next call is drawn.
const SPAN_GROWTH: f64 = 2.0;
/// Least and greatest share of the full capacity that the drawn calls of the whole fleet may add up to.
const MIN_SPAN_CAPACITY: f64 = 0.1;
const MAX_SPAN_CAPACITY: f64 = 1.0;
/// Guards against a share of nothing, in calls a second.
const MIN_SHARE: f64 = 1e-3;
/// Longest span as a multiple of the shortest, where the route is paced.
const MAX_PACED_SPAN_FACTOR: f64 = 4.0;
/// Longest span as a multiple of the longest message lifetime, elsewhere.
const MAX_SPAN_LIFETIMES: f64 = 2.0;
/// Time for which an endpoint with errors is avoided, before its doublings: one for each consecutive error.
const MIN_AVOIDANCE_US: Micros = 1_000_000;
/// Doublings of that time at most.
const MAX_AVOIDANCE_DOUBLINGS: u32 = 4;

/// The first attempt of a message that may have been executed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct PossibleDelivery {
    /// When it was sent.
    pub sent_at: Micros,
    /// Where to.
    pub endpoint: EndpointId,
    /// The endpoint's zone at that time.
    pub zone: usize,
}

/// Whether an attempt that ended in this way, not a success, may have been executed.
pub(crate) fn may_have_been_executed(outcome: Outcome) -> bool {
    !matches!(outcome, Outcome::Success | Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
}

/// Whether an attempt that ended in this way may still be running, so that its order key has to cool down.
pub(crate) fn may_still_run(outcome: Outcome) -> bool {
    may_have_been_executed(outcome) && outcome != Outcome::Error
}

/// Until when a message may be sent: the end of time where a repeat does no harm, the start of it where none is allowed.
pub(crate) fn resendable_until(possible: Option<PossibleDelivery>, idempotency: Idempotency) -> Micros {
    match (possible, idempotency) {
        (None, _) | (_, Idempotency::Idempotent) => Micros::MAX,
        (Some(first), Idempotency::IdempotencyKey { window, .. }) => {
            first.sent_at.saturating_add(window) - SCHEDULING_MARGIN_US
        }
        (Some(_), Idempotency::NonIdempotent) => Micros::MIN,
    }
}

/// Whether a message has an attempt left; 0 as `max_attempts` means any number.
pub(crate) fn has_attempts_left(attempts: u32, max_attempts: u32) -> bool {
    max_attempts == 0 || attempts < max_attempts
}

/// Whether a message may be rejected: a client that sends it again does no harm. It is asked where a message would be shed
/// or ends undelivered; [`is_endpoint_allowed`] and [`resendable_until`] are asked before an attempt.
pub(crate) fn may_be_rejected(
    idempotency: Idempotency,
    possible: Option<PossibleDelivery>,
    in_flight: usize,
) -> bool {
    match idempotency {
        Idempotency::Idempotent | Idempotency::IdempotencyKey { scope: DeduplicationScope::All, .. } => true,
        _ => possible.is_none() && in_flight == 0,
    }
}

/// Whether a message may go to an endpoint: one that may have been executed goes only where its repeat is dropped.
pub(crate) fn is_endpoint_allowed(
    possible: Option<PossibleDelivery>,
    idempotency: Idempotency,
    endpoint: EndpointId,
    zone: usize,
) -> bool {
    let Some(first) = possible else { return true };
    match idempotency {
        Idempotency::IdempotencyKey { scope: DeduplicationScope::Zone, .. } => {
            first.zone == zone && (first.zone != UNKNOWN_ZONE || first.endpoint == endpoint)
        }
        Idempotency::IdempotencyKey { scope: DeduplicationScope::Endpoint, .. } => first.endpoint == endpoint,
        _ => true,
    }
}

/// Whether a stalled call of a message may be cancelled in favour of a further attempt.
pub(crate) fn may_replace_first_attempt(class: &Class, attempts: u32, max_attempts: u32) -> bool {
    let is_first = attempts == 1 && max_attempts != 1;
    is_first && class.idempotency != Idempotency::NonIdempotent
}

/// How long an endpoint with so many consecutive errors is avoided where another serves.
pub(crate) fn avoidance_time(consecutive_errors: u32, rng: &mut SeededRng) -> Micros {
    rng.jitter(MIN_AVOIDANCE_US << consecutive_errors.min(MAX_AVOIDANCE_DOUBLINGS))
}

/// How a route pauses after a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Pause {
    /// Not at all: a time-out was a pause already.
    None,
    /// Until a time drawn from a span that doubles: the window is at its floor.
    DrawnFromSpan,
    /// For the Retry-After that came with the failure, or else for an exponential backoff.
    Backoff,
}

/// The pause after a failure. With the window at its floor, only a span can hold a fleet back: at once if the call was not
/// executed, otherwise from the second failure on.
pub(crate) fn pause_after(outcome: Outcome, was_window_at_floor: bool, is_failing_repeatedly: bool) -> Pause {
    let was_not_executed = matches!(outcome, Outcome::Rejected | Outcome::ConnectFailed);
    if outcome == Outcome::Timeout {
        Pause::None
    } else if was_window_at_floor && (was_not_executed || is_failing_repeatedly) {
        Pause::DrawnFromSpan
    } else {
        Pause::Backoff
    }
}

/// The bounds of the span from which a backed-off route's next call is drawn, in microseconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SpanBounds {
    /// This forwarder's part of a cold route's budget needs at least this span for one call.
    pub least_us: f64,
    /// Beyond this a returning route would be found too late.
    pub most_us: f64,
}

impl SpanBounds {
    /// Bounds for a forwarder with this share of the route, in calls a second.
    pub fn new(share: f64, is_paced: bool, settings: &Settings) -> Self {
        let lifetimes = settings.classes.iter().map(|class| class.deadline);
        let longest_lifetime_us = lifetimes.fold(MIN_BACKOFF_US, Micros::max) as f64;
        // The factor `SPAN_GROWTH` halves the first span; from the second on the spans keep to the budget of slow start.
        let cold_budget_share =
            BUDGET_USE * SPAN_GROWTH * settings.overload_factor * settings.cold_capacity_share;
        let capacity = cold_budget_share.clamp(MIN_SPAN_CAPACITY, MAX_SPAN_CAPACITY);
        let least_us = (SECOND_US / capacity / share.max(MIN_SHARE)).min(longest_lifetime_us);
        let most_us = if is_paced {
            MAX_PACED_SPAN_FACTOR * least_us
        } else {
            MAX_SPAN_LIFETIMES * longest_lifetime_us
        };
        SpanBounds { least_us, most_us }
    }
}

/// The pause of a route after failures.
#[derive(Debug)]
pub(crate) struct RetryBackoff {
    /// Span from which the next call is drawn, in microseconds; 0 where none is needed.
    span_us: f64,
    until: Micros,
}

impl RetryBackoff {
    /// No pause.
    pub const fn initial() -> Self {
        RetryBackoff { span_us: 0.0, until: 0 }
    }

    /// End of the pause.
    pub fn until(&self) -> Micros {
        self.until
    }

    /// Ends the pause after a success.
    pub fn reset(&mut self) {
        self.span_us = 0.0;
        self.until = 0;
    }

    /// Draws the next call from a span that doubles: below a window of one call, this is how halving goes on. A fleet that
    /// failed together does not return together, and rejected calls leave a limit to others.
    pub fn back_off_below_one_call(&mut self, now: Micros, bounds: SpanBounds, rng: &mut SeededRng) {
        self.span_us = (self.span_us * SPAN_GROWTH).clamp(bounds.least_us, bounds.most_us);
        self.until = now + (rng.uniform() * self.span_us) as Micros;
    }

    /// Pauses for the Retry-After that came with the failure, or else for an exponential backoff.
    pub fn back_off(
        &mut self,
        now: Micros,
        consecutive_failures: u32,
        retry_after: Micros,
        fleet_size: u32,
        rng: &mut SeededRng,
    ) {
        let doublings = consecutive_failures.saturating_sub(1).min(MAX_BACKOFF_DOUBLINGS);
        let backoff = (MIN_BACKOFF_US << doublings).min(MAX_BACKOFF_US);
        if retry_after <= 0 {
            self.until = now + rng.jitter(backoff);
            return;
        }
        let others = f64::from(fleet_size.saturating_sub(1));
        let spread_us = backoff as f64 * others / (others + HALF_SPREAD_FLEET_SIZE);
        self.until = now + retry_after.min(MAX_REPORTED_US) + (spread_us * rng.uniform()) as Micros;
    }
}

/// When a reported Retry-After ends.
pub(crate) fn retry_after_until(now: Micros, retry_after: Micros) -> Micros {
    now + retry_after.clamp(0, MAX_REPORTED_US)
}

#[cfg(test)]
mod tests;

//! Decides whether, where and when a message may be attempted again, and whether it may be rejected.
//!
//! Inputs are the class's idempotency, the attempts so far and the first one that may have been executed. A message
//! that must not be executed twice is sent again only to endpoints that drop a repeat, or not at all. A rejection
//! invites the client to send the message again, so it is used only if that does no harm; a failure promises nothing.
//! Times are in microseconds.

use crate::interface::{
    Class, DeduplicationScope, EndpointId, Idempotency, Micros, Outcome, SECOND_US, Settings, UNKNOWN_ZONE,
};
use crate::rng::SeededRng;
use crate::slow_start::BUDGET_FRACTION;
use crate::timeouts::REPEAT_MARGIN_US;

/// Longest time span accepted from outside. A sum of a few such spans does not overflow.
pub(crate) const MAX_REPORTED_US: Micros = 1_000_000_000_000;
/// First backoff of a route after a failure; it doubles with each consecutive failure.
const MIN_BACKOFF_US: Micros = 150_000;
/// Longest backoff of a route.
const MAX_BACKOFF_US: Micros = 2_000_000;
/// Maximum number of doublings of the backoff, which bounds the bit shift.
const MAX_BACKOFF_DOUBLINGS: u32 = 8;
/// Fleet size at which the random spread after a Retry-After is half of its maximum. Many forwarders with the same
/// Retry-After must not return together; for a few the Retry-After itself is enough.
const HALF_SPREAD_FLEET_SIZE: f64 = 16.0;
/// Factor by which the span grows from which the time of the next call is drawn.
const SPAN_GROWTH: f64 = 2.0;
/// Lowest and highest share of the full capacity that the drawn calls of the whole fleet may add up to.
const MIN_SPAN_CAPACITY: f64 = 0.1;
const MAX_SPAN_CAPACITY: f64 = 1.0;
/// Lowest share used, in calls a second; avoids a division by zero.
const MIN_SHARE: f64 = 1e-3;
/// Longest span as a multiple of the shortest, if the route is paced.
const MAX_PACED_SPAN_FACTOR: f64 = 4.0;
/// Longest span as a multiple of the longest message lifetime, if the route is not paced.
const MAX_SPAN_LIFETIMES: f64 = 2.0;
/// Time for which an endpoint with errors is avoided. The time doubles once for each consecutive error.
const MIN_AVOIDANCE_US: Micros = 1_000_000;
/// Maximum number of doublings of the avoidance time.
const MAX_AVOIDANCE_DOUBLINGS: u32 = 4;

/// The first attempt of a message that may have been executed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct PossibleDelivery {
    /// When it was sent.
    pub sent_at: Micros,
    /// The endpoint that it was sent to.
    pub endpoint: EndpointId,
    /// The endpoint's zone at that time.
    pub zone: usize,
}

/// Returns whether an attempt with this outcome, other than a success, may have been executed.
pub(crate) fn may_have_been_executed(outcome: Outcome) -> bool {
    !matches!(outcome, Outcome::Success | Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
}

/// Returns whether an attempt with this outcome may still be running, so that its order key needs a cooldown.
pub(crate) fn may_still_run(outcome: Outcome) -> bool {
    may_have_been_executed(outcome) && outcome != Outcome::Error
}

impl Idempotency {
    /// Returns until when a message may be written to an endpoint again if the first attempt that may have delivered it
    /// was sent at `first_sent_at`: `Micros::MAX` if a repeat does no harm, `Micros::MIN` if no repeat is allowed.
    pub fn repeat_until(self, first_sent_at: Micros) -> Micros {
        match self {
            Idempotency::Idempotent => Micros::MAX,
            Idempotency::IdempotencyKey { window, .. } => {
                first_sent_at.saturating_add(window).saturating_sub(REPEAT_MARGIN_US)
            }
            Idempotency::NonIdempotent => Micros::MIN,
        }
    }
}

/// Returns until when a message may be sent: `Micros::MAX` if a repeat does no harm, `Micros::MIN` if no repeat is
/// allowed.
pub(crate) fn resendable_until(possible: Option<PossibleDelivery>, idempotency: Idempotency) -> Micros {
    possible.map_or(Micros::MAX, |first| idempotency.repeat_until(first.sent_at))
}

/// Returns whether a message has an attempt left; `max_attempts` is 0 if there is no limit.
pub(crate) fn has_attempts_left(attempts: u32, max_attempts: u32) -> bool {
    max_attempts == 0 || attempts < max_attempts
}

/// Returns whether a message may be rejected, because the client does no harm by sending it again. This is checked
/// before a message is shed or ends undelivered; [`is_endpoint_allowed`] and [`resendable_until`] are checked before an
/// attempt.
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

/// Returns whether a message may go to an endpoint. A message that may have been executed goes only to endpoints that
/// drop its repeat.
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

/// Returns whether a stalled call of a message may be cancelled and replaced by a further attempt.
pub(crate) fn may_replace_first_attempt(class: &Class, attempts: u32, max_attempts: u32) -> bool {
    let is_first = attempts == 1 && max_attempts != 1;
    is_first && class.idempotency != Idempotency::NonIdempotent
}

/// Returns how long an endpoint with this number of consecutive errors is avoided while another endpoint serves.
pub(crate) fn avoidance_time(consecutive_errors: u32, rng: &mut SeededRng) -> Micros {
    rng.jitter(MIN_AVOIDANCE_US << consecutive_errors.min(MAX_AVOIDANCE_DOUBLINGS))
}

/// The way in which a route pauses after a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Pause {
    /// No pause, because the time-out was already one.
    None,
    /// A pause until a time drawn from a span that doubles; used when the window is at its floor.
    DrawnFromSpan,
    /// A pause for the Retry-After that came with the failure, or otherwise for an exponential backoff.
    Backoff,
}

/// Returns the pause after a failure. With the window at its floor, only a span can limit the calls of a fleet. A span
/// is used at once if the call was not executed, and otherwise from the second failure on.
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

/// The bounds of the span from which the time of a backed-off route's next call is drawn, in microseconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SpanBounds {
    /// The shortest span: the time in which this forwarder's part of a cold route's budget allows one call.
    pub min_us: f64,
    /// The longest span. With a longer one the return of a route would be noticed too late.
    pub max_us: f64,
}

impl SpanBounds {
    /// Returns the bounds for a forwarder with this share of the route, in calls a second.
    pub fn new(share: f64, is_paced: bool, settings: &Settings) -> Self {
        let lifetimes = settings.classes.iter().map(|class| class.deadline);
        let longest_lifetime_us = lifetimes.fold(MIN_BACKOFF_US, Micros::max) as f64;
        // The factor `SPAN_GROWTH` halves the first span; from the second one on the spans keep to the budget of slow
        // start.
        let cold_budget_share =
            BUDGET_FRACTION * SPAN_GROWTH * settings.overload_factor * settings.cold_capacity_share;
        let capacity = cold_budget_share.clamp(MIN_SPAN_CAPACITY, MAX_SPAN_CAPACITY);
        let min_us = (SECOND_US / capacity / share.max(MIN_SHARE)).min(longest_lifetime_us);
        let max_us =
            if is_paced { MAX_PACED_SPAN_FACTOR * min_us } else { MAX_SPAN_LIFETIMES * longest_lifetime_us };
        SpanBounds { min_us, max_us }
    }
}

/// The pause of a route after failures.
#[derive(Debug)]
pub(crate) struct RetryBackoff {
    /// Span from which the time of the next call is drawn, in microseconds; 0 if none is needed.
    span_us: f64,
    until: Micros,
}

impl RetryBackoff {
    /// Returns the state without a pause.
    pub const fn initial() -> Self {
        RetryBackoff { span_us: 0.0, until: 0 }
    }

    /// Returns the end of the pause.
    pub fn until(&self) -> Micros {
        self.until
    }

    /// Ends the pause after a success.
    pub fn reset(&mut self) {
        self.span_us = 0.0;
        self.until = 0;
    }

    /// Draws the time of the next call from a span that doubles. The window cannot be halved below one call, so the
    /// doubled span halves the rate instead. Forwarders that failed together do not return together, and fewer rejected
    /// calls leave more of a limit to others.
    pub fn back_off_below_one_call(&mut self, now: Micros, bounds: SpanBounds, rng: &mut SeededRng) {
        self.span_us = (self.span_us * SPAN_GROWTH).clamp(bounds.min_us, bounds.max_us);
        self.until = now + (rng.uniform() * self.span_us) as Micros;
    }

    /// Pauses for the Retry-After that came with the failure, or otherwise for an exponential backoff.
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

/// Returns when a reported Retry-After ends.
pub(crate) fn retry_after_until(now: Micros, retry_after: Micros) -> Micros {
    now + retry_after.clamp(0, MAX_REPORTED_US)
}

#[cfg(test)]
mod tests;

//! Decides when a call is overdue, when it times out, and whether a stalled call is cancelled early.
//!
//! Inputs are the latencies of answered calls, in microseconds. The estimate is that of TCP's retransmission timer (RFC
//! 6298): a smoothed mean and mean deviation. A call is overdue well before it times out, so that a hanging destination
//! is noticed early while a slow answer is still accepted.

use crate::interface::Micros;

/// Latency assumed before the first answer.
const INITIAL_LATENCY_US: f64 = 600_000.0;
/// Gain of the mean (RFC 6298, alpha).
const MEAN_GAIN: f64 = 0.125;
/// Gain of the mean deviation (RFC 6298, beta).
const DEVIATION_GAIN: f64 = 0.25;
/// Mean deviations beyond the mean after which a call is overdue (RFC 6298, K).
const OVERDUE_DEVIATIONS: f64 = 4.0;
/// Shortest overdue time, so that a short pause of a busy destination does not make its calls overdue.
const MIN_OVERDUE_US: Micros = 600_000;
/// Time between two checks of a call that is overdue.
pub(crate) const OVERDUE_RECHECK_US: Micros = MIN_OVERDUE_US / 2;
/// Shortest time-out. A shorter one would treat a pause as a hang.
const MIN_TIMEOUT_US: Micros = 1_500_000;
/// Longest time-out. With a longer one a hanging call would hold its slot for too long.
const MAX_TIMEOUT_US: Micros = 6_000_000;
/// Time-out as a multiple of the overdue time, before the backoff.
const TIMEOUT_PER_OVERDUE: f64 = 2.0;
/// Maximum number of doublings of the time-out; it doubles with each consecutive time-out.
const MAX_TIMEOUT_DOUBLINGS: u32 = 2;
/// Time for which the forwarder itself may be descheduled. Everything with a deadline ends earlier by this time.
pub(crate) const SCHEDULING_MARGIN_US: Micros = 50_000;
/// Longest time for which the forwarder may be paused between a look at the clock and the write that follows from it.
const MAX_PAUSE_US: Micros = 150_000;
/// Time by which the protocol extends every time limit on sockets.
const SOCKET_TOLERANCE_US: Micros = 50_000;
/// Time from the look at the clock before a write until the endpoint has the first byte, without a pause.
const WRITE_LATENCY_US: Micros = 5_000;
/// Time before the end of a deduplication window from which no repeat is written any more. A repeat that was due
/// earlier reaches its endpoint within the window even if the forwarder is paused just before it writes.
pub(crate) const REPEAT_MARGIN_US: Micros = MAX_PAUSE_US + WRITE_LATENCY_US - SOCKET_TOLERANCE_US;
/// Time before the last moment for a repeat at which the first attempt is ended, so that the repeat gets a connection.
const REPEAT_LEAD_US: Micros = 50_000;
/// Stalled calls are cancelled while less than this share of them turns out to be slow messages.
const MAX_SLOW_SHARE: f64 = 0.3;
/// Gain of that share. One slow message alone stops the cancellation until a stall turns out to be a dead connection.
const SLOW_SHARE_GAIN: f64 = 0.4;

/// Smoothed latency of a route.
#[derive(Debug)]
pub(crate) struct LatencyEstimate {
    mean_us: f64,
    deviation_us: f64,
    consecutive_timeouts: u32,
}

impl LatencyEstimate {
    /// Returns the estimate before any answer.
    pub const fn initial() -> Self {
        LatencyEstimate {
            mean_us: INITIAL_LATENCY_US,
            deviation_us: INITIAL_LATENCY_US / 2.0,
            consecutive_timeouts: 0,
        }
    }

    /// Returns the smoothed latency, in microseconds.
    pub fn mean_us(&self) -> f64 {
        self.mean_us
    }

    /// Adds the latency of an answered call; if `is_first`, it replaces the initial assumption.
    pub fn observe(&mut self, latency: Micros, is_first: bool) {
        let latency_us = latency as f64;
        if is_first {
            self.mean_us = latency_us;
            self.deviation_us = latency_us / 2.0;
        }
        self.deviation_us += DEVIATION_GAIN * ((latency_us - self.mean_us).abs() - self.deviation_us);
        self.mean_us += MEAN_GAIN * (latency_us - self.mean_us);
    }

    /// Counts a time-out, which lengthens the next one.
    pub fn record_timeout(&mut self) {
        self.consecutive_timeouts += 1;
    }

    /// Ends the sequence of consecutive time-outs, so that the time-out is no longer lengthened.
    pub fn reset_timeouts(&mut self) {
        self.consecutive_timeouts = 0;
    }

    /// Returns the time after the send from which a call is overdue.
    pub fn overdue_after(&self) -> Micros {
        let usual_us = self.mean_us + OVERDUE_DEVIATIONS * self.deviation_us;
        (usual_us as Micros).max(MIN_OVERDUE_US)
    }

    /// Returns the time after the send at which a call fails.
    pub fn timeout(&self) -> Micros {
        let doublings = self.consecutive_timeouts.min(MAX_TIMEOUT_DOUBLINGS);
        let timeout_us = TIMEOUT_PER_OVERDUE * self.overdue_after() as f64 * f64::from(1 << doublings);
        (timeout_us as Micros).clamp(MIN_TIMEOUT_US, MAX_TIMEOUT_US)
    }
}

/// Returns the time-out of one attempt: that of the route, or less if the message's deadline comes first.
pub(crate) fn attempt_timeout(
    route_timeout: Micros,
    now: Micros,
    deadline: Micros,
    step_interval: Micros,
) -> Micros {
    let time_left = (deadline - now - step_interval - SCHEDULING_MARGIN_US).max(1);
    route_timeout.min(time_left)
}

/// Returns the time-out of an attempt after which its message can be repeated only until `repeat_until`. It ends early
/// enough for a repeat, unless that is shorter than any time-out, or calls of the route usually take that long
/// (`overdue_after`).
pub(crate) fn timeout_before_repeat(
    timeout: Micros,
    now: Micros,
    repeat_until: Micros,
    step_interval: Micros,
    overdue_after: Micros,
) -> Micros {
    let time_left = repeat_until.saturating_sub(now + step_interval + REPEAT_LEAD_US);
    if time_left < overdue_after.max(MIN_TIMEOUT_US) { timeout } else { timeout.min(time_left) }
}

/// Returns the last time at which the final answer of a message can be given in time: two steps and a scheduling margin
/// before its deadline.
pub(crate) fn answer_by(deadline: Micros, step_interval: Micros) -> Micros {
    deadline.saturating_sub(2 * step_interval + SCHEDULING_MARGIN_US)
}

/// Returns whether an overdue call is stalled while its endpoint serves other calls. It is stalled if the endpoint has
/// answered a call that was sent in the later half of the time since the overdue call was sent. Then the connection of
/// the overdue call is dead, or its message takes long.
pub(crate) fn is_stalled(sent_at: Micros, now: Micros, latest_answered_sent_at: Micros) -> bool {
    let halfway = sent_at + (now - sent_at) / 2;
    latest_answered_sent_at > halfway
}

/// A record of what stalled calls turned out to be: slow messages, or dead connections.
#[derive(Debug, Default)]
pub(crate) struct StallHistory {
    slow_share: f64,
}

impl StallHistory {
    /// Records what a stalled call turned out to be.
    pub fn record(&mut self, was_slow_message: bool) {
        self.slow_share += SLOW_SHARE_GAIN * (f64::from(was_slow_message) - self.slow_share);
    }

    /// Returns whether cancelling a stalled call is likely to help.
    pub fn should_cancel(&self) -> bool {
        self.slow_share < MAX_SLOW_SHARE
    }
}

#[cfg(test)]
mod tests;

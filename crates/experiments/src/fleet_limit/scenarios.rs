//! Scenarios for a fleet: an overload, a burst after a start or a pause, a `Retry-After` that all forwarders get at the
//! same moment, and the recovery of a cold destination.

use super::virtual_fleet::{CallResult, MILLISECOND, PENDING, SECOND, SERVED, STEP, VirtualFleet};
use orchidyoke_core::interface::{Micros, Outcome, Settings};

/// Number of forwarders in the fleet.
pub const FORWARDERS: u32 = 100;
/// Calls per second that the destination of an overload serves.
pub const LIMIT_RPS: f64 = 40.0;
/// Calls per second that the destination of a recovery serves when warm.
pub const RECOVERY_RPS: f64 = 60.0;
/// Length of an overload.
pub const OVERLOAD_LENGTH: Micros = 20 * SECOND;
/// Time after the start of a recovery in which the use of the cold capacity is measured.
const MEASURED_RECOVERY: Micros = 8 * SECOND;
/// Calls of each forwarder before a common `Retry-After`. They widen its concurrency window, so that it may have
/// several calls in flight.
const WARM_UP_CALLS: usize = 17;

/// A destination that serves [`LIMIT_RPS`] calls per second, as a leaky bucket. Rejected calls also fill the bucket.
struct LimitedDestination {
    level: f64,
    updated_at: Micros,
}

impl LimitedDestination {
    /// Size of a burst that is served at once, in seconds at [`LIMIT_RPS`].
    const BURST_S: f64 = 0.7;

    fn call(&mut self, now: Micros) -> CallResult {
        let burst = LIMIT_RPS * Self::BURST_S;
        let leaked = LIMIT_RPS * (now - self.updated_at) as f64 / SECOND as f64;
        self.level = (self.level - leaked).max(0.0);
        self.updated_at = now;
        let admitted = self.level < burst;
        self.level = (self.level + 1.0).min(2.0 * burst);
        let outcome = if admitted { Outcome::Success } else { Outcome::Rejected };
        CallResult { outcome, latency: 50 * MILLISECOND, retry_after: 0 }
    }
}

/// Runs a fleet that accepts messages at `load` times the limit, and returns it.
pub fn overload(settings: &Settings, load: f64, seed: u64) -> VirtualFleet {
    let mut fleet = VirtualFleet::new(FORWARDERS, settings, LIMIT_RPS, |number| seed * 1000 + number);
    let mut destination = LimitedDestination { level: 0.0, updated_at: fleet.now };
    fleet.run(OVERLOAD_LENGTH, load * LIMIT_RPS, |now| destination.call(now));
    fleet
}

/// Returns the calls per second that ended with this outcome in an overload.
pub fn rate_of(fleet: &VirtualFleet, outcome: Outcome) -> f64 {
    fleet.count_ended(outcome) as f64 * SECOND as f64 / OVERLOAD_LENGTH as f64
}

/// Returns the number of calls when each forwarder accepts two messages in one step, after a start or a pause. Counts
/// the calls until one second after that step.
pub fn calls_of_first_second(settings: &Settings, pause: Micros, seed: impl Fn(u64) -> u64) -> usize {
    let mut fleet = VirtualFleet::new(FORWARDERS, settings, LIMIT_RPS, seed);
    fleet.now += pause;
    fleet.burst(2, PENDING);
    fleet.run(SECOND, 0.0, |_| PENDING);
    fleet.calls.len()
}

/// Numbers of calls around the end of a common `Retry-After`.
pub struct CallsAroundRetry {
    /// Calls before it ends.
    #[cfg_attr(not(test), expect(dead_code, reason = "read by the tests"))]
    pub before: usize,
    /// Calls in the step in which it ends and in the next one.
    pub at_end: usize,
    /// Calls in the second after it ends.
    #[cfg_attr(not(test), expect(dead_code, reason = "read by the tests"))]
    pub second_after: usize,
}

/// Rejects one call of each forwarder at the same moment, with a `Retry-After` of 0.7 s, and counts the calls around
/// its end. Each forwarder may have several calls in flight.
pub fn common_retry_after(size: u32, settings: &Settings, seed: u64) -> CallsAroundRetry {
    let unlimited_rps = 100.0 * f64::from(size);
    let mut fleet = VirtualFleet::new(size, settings, unlimited_rps, |number| seed * 1000 + number);
    for _ in 0..WARM_UP_CALLS {
        fleet.burst(1, SERVED);
        fleet.run(SERVED.latency, 0.0, |_| SERVED);
    }
    let retry_after = 700 * MILLISECOND;
    fleet.burst(1, CallResult { outcome: Outcome::Rejected, latency: STEP, retry_after });
    let rejected_at = fleet.now + STEP;
    let ends_at = rejected_at + retry_after;
    fleet.run(retry_after + SECOND + STEP, 0.0, |_| PENDING);
    CallsAroundRetry {
        before: fleet.calls_in(rejected_at, retry_after),
        at_end: fleet.calls_in(ends_at, 2 * STEP),
        second_after: fleet.calls_in(ends_at, SECOND),
    }
}

/// A fleet's use of a destination that recovered cold.
pub struct Recovery {
    /// Highest use in one overload window: the calls made, divided by the calls that the cold destination can bear.
    pub peak_use: f64,
    /// Calls served in the ten seconds after the destination became warm.
    #[cfg_attr(not(test), expect(dead_code, reason = "read by the tests"))]
    pub served_when_warm: usize,
}

/// Makes the destination fail with the outcome `fault` for the time `outage` and then recover cold, while the fleet
/// accepts messages at nine tenths of the destination's limit.
pub fn cold_recovery(settings: &Settings, fault: Outcome, outage: Micros, seed: u64) -> Recovery {
    let rate = 0.9 * RECOVERY_RPS;
    let mut fleet = VirtualFleet::new(FORWARDERS, settings, RECOVERY_RPS, |number| seed * 1000 + number);
    fleet.run(20 * SECOND, rate, |_| SERVED);
    let latency = if fault == Outcome::ConnectFailed { STEP } else { SERVED.latency };
    fleet.run(outage, rate, |_| CallResult { outcome: fault, latency, retry_after: 0 });
    let recovered_at = fleet.now;
    fleet.run(settings.warm_up_time, rate, |_| SERVED);
    let served_before = fleet.count_ended(Outcome::Success);
    fleet.run(10 * SECOND, rate, |_| SERVED);
    let measured = recovered_at..recovered_at + MEASURED_RECOVERY;
    let windows = fleet.calls.iter().map(|call| call.at).filter(|at| measured.contains(at));
    Recovery {
        peak_use: windows.map(|from| window_use(&fleet, settings, recovered_at, from)).fold(0.0, f64::max),
        served_when_warm: fleet.count_ended(Outcome::Success) - served_before,
    }
}

/// Returns the calls in the overload window that starts at `from`, divided by the calls that the destination can bear
/// in that window.
fn window_use(fleet: &VirtualFleet, settings: &Settings, recovered_at: Micros, from: Micros) -> f64 {
    let window = settings.overload_window;
    let cold = settings.cold_capacity_share;
    let warmth = (from + window - recovered_at) as f64 / settings.warm_up_time as f64;
    let capacity_rps = RECOVERY_RPS * (cold + (1.0 - cold) * warmth.min(1.0));
    let bearable = settings.overload_factor * capacity_rps * window as f64 / SECOND as f64;
    // Arrivals are random, so three standard deviations are allowed.
    fleet.calls_in(from, window) as f64 / (bearable + 3.0 * bearable.sqrt())
}

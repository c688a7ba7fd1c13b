//! Decides which of the eligible endpoints gets a call: the one with the lowest cost.
//!
//! Inputs are the settings' costs, the state of the endpoint's connections, the latency and health of its route, and a
//! random cost that depends on the route's capacity. The unit is points, as in the costs of the settings.

use crate::interface::{SECOND_US, Settings};

/// Cost of a second of the route's latency, in points.
const LATENCY_COST_PER_SECOND: f64 = 0.05;
/// Additional cost of that second if the call takes the last slot, in points for each open message per slot, because
/// all open messages wait.
const LAST_SLOT_COST_PER_SECOND: f64 = 0.25;
/// Cost of each call in flight at the endpoint, in points.
const IN_FLIGHT_COST: f64 = 0.01;
/// Scale of the random cost in a large fleet, in points. Without the random cost, all forwarders would choose the same
/// cheap endpoint.
const SPREAD_COST: f64 = 0.05;
/// Fleet size at which the random cost has half of that scale. The windows alone spread the calls of a few forwarders.
const HALF_SPREAD_FLEET_SIZE: f64 = 16.0;
/// Lower bounds of the logarithms' arguments and of the capacity, because an endpoint may have no capacity hint.
const MIN_UNIFORM: f64 = 1e-9;
const MIN_CAPACITY_HINT: f64 = 1e-3;

/// The inputs of the cost of a call to an endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CostInputs {
    /// Whether no open connection has room for the call.
    pub needs_connection: bool,
    /// Whether the endpoint is in another zone.
    pub is_cross_zone: bool,
    /// The endpoint's zone.
    pub zone: usize,
    /// Whether the endpoint is a separate route; then the cost includes the cost of its zone and of its latency.
    pub is_separate_route: bool,
    /// Latency of the route, in microseconds; 0 if unknown.
    pub latency_us: f64,
    /// Number of calls in flight at the endpoint.
    pub in_flight: usize,
    /// Whether the route is faulty.
    pub is_faulty: bool,
    /// Whether the endpoint had errors recently or its health checks warn.
    pub is_suspect: bool,
}

/// The inputs that show how scarce call slots are.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SlotPressure {
    /// Number of calls in flight.
    pub calls: usize,
    /// Number of messages without a final answer.
    pub open_messages: usize,
}

impl SlotPressure {
    /// Returns the additional points for a second of latency.
    fn cost_per_second(&self, max_calls: usize) -> f64 {
        let takes_last_slot = f64::from(self.calls + 1 >= max_calls);
        takes_last_slot * LAST_SLOT_COST_PER_SECOND * self.open_messages as f64 / max_calls as f64
    }
}

/// Returns the cost of a call to an endpoint, in points.
pub(crate) fn cost(inputs: &CostInputs, pressure: SlotPressure, settings: &Settings) -> f64 {
    let slot_cost = pressure.cost_per_second(settings.max_calls);
    let zone_cost = settings.zone_costs.get(inputs.zone).copied().unwrap_or(0.0);
    let latency_cost = (LATENCY_COST_PER_SECOND + slot_cost) * inputs.latency_us / SECOND_US;
    f64::from(inputs.needs_connection) * settings.handshake_cost
        + f64::from(inputs.is_cross_zone) * settings.cross_zone_cost
        + f64::from(inputs.is_separate_route) * (zone_cost + latency_cost)
        + IN_FLIGHT_COST * inputs.in_flight as f64
        + f64::from(inputs.is_faulty)
        + f64::from(inputs.is_suspect)
}

/// Returns the random cost of an endpoint, in points, from a uniform draw. Of endpoints with equal other costs, each is
/// chosen in proportion to its capacity (the least of exponential variates with these rates).
pub(crate) fn random_cost(uniform: f64, capacity_hint: f64, fleet_size: u32) -> f64 {
    let spread = SPREAD_COST / (1.0 + HALF_SPREAD_FLEET_SIZE / f64::from(fleet_size.max(1)));
    let variate = -uniform.max(MIN_UNIFORM).ln() / capacity_hint.max(MIN_CAPACITY_HINT);
    spread * variate.max(MIN_UNIFORM).ln()
}

#[cfg(test)]
mod tests;

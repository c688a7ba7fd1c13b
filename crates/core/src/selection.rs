//! Decides which of the eligible endpoints a call goes to: the one with the least cost.
//!
//! Inputs are the settings' costs, the state of the endpoint's connections, the latency and health of its route, and
//! chance in proportion to its capacity. The unit is the points in which the settings give their costs.

use crate::interface::{SECOND_US, Settings};

/// Points for a second of the route's latency.
const LATENCY_COST_PER_SECOND: f64 = 0.05;
/// Further points for that second where the call takes the last slot, for each open message per slot: all of them wait.
const LAST_SLOT_COST_PER_SECOND: f64 = 0.25;
/// Points for each call in flight at the endpoint.
const IN_FLIGHT_COST: f64 = 0.01;
/// Points that chance weighs in a large fleet; without it all forwarders would choose the same cheap endpoint.
const SPREAD_COST: f64 = 0.05;
/// Fleet size at which chance weighs half of that: a few forwarders are spread by their windows.
const HALF_SPREAD_FLEET_SIZE: f64 = 16.0;
/// Guards the logarithms, and against endpoints without a capacity.
const MIN_UNIFORM: f64 = 1e-9;
const MIN_CAPACITY_HINT: f64 = 1e-3;

/// What the cost of a call to an endpoint follows.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CostInputs {
    /// No open connection has room for the call.
    pub needs_connection: bool,
    /// The endpoint is in another zone.
    pub is_cross_zone: bool,
    /// The endpoint's zone.
    pub zone: usize,
    /// The endpoint is a route of its own, which costs its zone's price and its latency.
    pub is_separate_route: bool,
    /// Latency of the route, in microseconds; 0 where none is known.
    pub latency_us: f64,
    /// Calls in flight at the endpoint.
    pub in_flight: usize,
    /// The route is faulty.
    pub is_faulty: bool,
    /// The endpoint had errors lately, or its health checks warn.
    pub is_suspect: bool,
}

/// How short the forwarder is of call slots.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SlotPressure {
    /// Calls in flight.
    pub calls: usize,
    /// Messages that have no final answer yet.
    pub open_messages: usize,
}

impl SlotPressure {
    /// Points for a second of latency, beside the usual ones.
    fn cost_per_second(&self, max_calls: usize) -> f64 {
        let takes_last_slot = f64::from(self.calls + 1 >= max_calls);
        takes_last_slot * LAST_SLOT_COST_PER_SECOND * self.open_messages as f64 / max_calls as f64
    }
}

/// Points that a call to an endpoint costs.
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

/// Points of chance for an endpoint, from a uniform draw: among equals, endpoints are chosen in proportion to their
/// capacity (the least of exponential variates with these rates).
pub(crate) fn chance_cost(uniform: f64, capacity_hint: f64, fleet_size: u32) -> f64 {
    let spread = SPREAD_COST / (1.0 + HALF_SPREAD_FLEET_SIZE / f64::from(fleet_size.max(1)));
    let variate = -uniform.max(MIN_UNIFORM).ln() / capacity_hint.max(MIN_CAPACITY_HINT);
    spread * variate.max(MIN_UNIFORM).ln()
}

#[cfg(test)]
mod tests;

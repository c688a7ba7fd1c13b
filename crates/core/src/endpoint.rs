//! The controller's record of an endpoint (its entry in the list, its connections and errors) and of a destination.

use crate::draining;
use crate::interface::{
    DestinationId, DestinationKind, EndpointId, EndpointState, EndpointUpdate, HealthStatus, Micros, Outcome,
    Settings,
};
use crate::queue::QueueRank;
use crate::route::RouteId;
use std::collections::BTreeSet;

/// One endpoint of the endpoint list.
#[derive(Debug, Default)]
pub(crate) struct Endpoint {
    pub destination: DestinationId,
    pub route: RouteId,
    pub zone: usize,
    pub kind: DestinationKind,
    /// Whether new calls may go to it: it is active, neither draining nor removed, and listed under its destination.
    pub accepts_calls: bool,
    /// Whether it is no longer in the list.
    pub is_removed: bool,
    /// Result of its health checks.
    pub health: HealthStatus,
    /// Whether its health checks fail while those of another endpoint of the destination pass.
    pub is_excluded: bool,
    /// Allocated at the first call, because most endpoints of a long list have no calls.
    traffic: Option<Box<EndpointTraffic>>,
}

/// The record of the calls to an endpoint.
#[derive(Debug)]
pub(crate) struct EndpointTraffic {
    /// Calls in flight.
    pub in_flight: usize,
    /// For each idle connection, the time since which it is idle, in ascending order.
    idle_connections: Vec<Micros>,
    /// Number of errors since the last success.
    pub consecutive_errors: u32,
    /// Send time of the latest sent call that succeeded; 0 if there is none.
    pub latest_answered_sent_at: Micros,
    /// Number of unreadable answers, and of reused connections that closed during a call, since the last success.
    pub invalid_responses: u32,
    /// Other endpoints are preferred until this time.
    pub avoid_until: Micros,
}

/// The traffic of an endpoint that has had no calls.
static NO_TRAFFIC: EndpointTraffic = EndpointTraffic::initial();

impl EndpointTraffic {
    const fn initial() -> Self {
        EndpointTraffic {
            in_flight: 0,
            idle_connections: Vec::new(),
            consecutive_errors: 0,
            latest_answered_sent_at: 0,
            invalid_responses: 0,
            avoid_until: 0,
        }
    }

    /// Counts a new call. The call takes an idle connection if no connection in use has a free stream.
    pub fn open_call(&mut self, now: Micros, settings: &Settings) {
        if self.in_flight.is_multiple_of(settings.streams_per_connection.max(1)) {
            self.idle_connections.retain(|since| now - since < settings.idle_timeout);
            self.idle_connections.pop();
        }
        self.in_flight += 1;
    }

    /// Counts the end of a call. Its connection stays open after a complete answer.
    pub fn close_call(&mut self, outcome: Outcome, now: Micros, settings: &Settings) {
        self.in_flight -= 1;
        let stays_open = matches!(outcome, Outcome::Success | Outcome::Error | Outcome::Rejected);
        if stays_open && self.in_flight.is_multiple_of(settings.streams_per_connection.max(1)) {
            self.idle_connections.push(now);
        }
    }

    /// Records the success of a call sent at `sent_at`.
    pub fn record_success(&mut self, sent_at: Micros) {
        self.consecutive_errors = 0;
        self.avoid_until = 0;
        self.latest_answered_sent_at = self.latest_answered_sent_at.max(sent_at);
    }
}

impl Endpoint {
    /// Creates an endpoint that is new in the list.
    pub fn new(entry: &EndpointUpdate, kind: DestinationKind, route: RouteId) -> Self {
        let mut endpoint = Endpoint { destination: entry.destination, route, ..Endpoint::default() };
        endpoint.update(entry, kind);
        endpoint
    }

    /// Applies its entry in the list. An endpoint never changes its destination: while it is listed under another one,
    /// it gets no calls.
    pub fn update(&mut self, entry: &EndpointUpdate, kind: DestinationKind) {
        self.accepts_calls = draining::accepts_calls(entry.state) && self.destination == entry.destination;
        self.is_removed = entry.state == EndpointState::Removed;
        self.zone = entry.zone;
        self.kind = kind;
        self.health = entry.health;
    }

    /// Returns the record of its calls.
    pub fn traffic(&self) -> &EndpointTraffic {
        self.traffic.as_deref().unwrap_or(&NO_TRAFFIC)
    }

    /// Returns the record of its calls as a mutable reference.
    pub fn traffic_mut(&mut self) -> &mut EndpointTraffic {
        self.traffic.get_or_insert_with(|| Box::new(EndpointTraffic::initial()))
    }

    /// Returns whether a call would need a new connection.
    pub fn needs_connection(&self, now: Micros, settings: &Settings) -> bool {
        let traffic = self.traffic();
        let has_stream = !traffic.in_flight.is_multiple_of(settings.streams_per_connection.max(1));
        let latest_idle = traffic.idle_connections.last();
        let has_idle = latest_idle.is_some_and(|since| now - since < settings.idle_timeout);
        !has_stream && !has_idle
    }
}

/// A destination and the messages queued for it.
#[derive(Debug, Default)]
pub(crate) struct Destination {
    pub endpoints: Vec<EndpointId>,
    /// The route that its endpoints share; `None` if they are separate routes.
    pub shared_route: Option<RouteId>,
    pub queue: BTreeSet<QueueRank>,
    /// Number of calls in flight.
    pub in_flight: usize,
}

//! What the controller knows of an endpoint (its line in the list, its connections and errors) and of a destination.

use crate::draining;
use crate::interface::{
    DestinationId, DestinationKind, EndpointId, EndpointState, EndpointUpdate, HealthStatus, Micros, Outcome,
    Settings,
};
use crate::queue::QueueRank;
use crate::route::RouteId;
use std::collections::BTreeSet;

/// One endpoint of the list.
#[derive(Debug, Default)]
pub(crate) struct Endpoint {
    pub destination: DestinationId,
    pub route: RouteId,
    pub zone: usize,
    pub kind: DestinationKind,
    /// It neither drains nor is removed.
    pub accepts_calls: bool,
    /// The list no longer has it.
    pub is_removed: bool,
    /// What health checks report.
    pub health: HealthStatus,
    /// Its health checks fail while those of another endpoint of the destination pass.
    pub is_excluded: bool,
    /// Allocated with the first call: most endpoints of a long list have none.
    traffic: Option<Box<EndpointTraffic>>,
}

/// What the calls to an endpoint have shown.
#[derive(Debug)]
pub(crate) struct EndpointTraffic {
    /// Calls in flight.
    pub in_flight: usize,
    /// Since when each idle connection is idle, the latest last.
    idle_connections: Vec<Micros>,
    /// Errors since the last success.
    pub consecutive_errors: u32,
    /// When the latest of the calls was sent that succeeded.
    pub latest_answered_sent_at: Micros,
    /// Unreadable answers, and reused connections that closed during a call, since the last success.
    pub invalid_responses: u32,
    /// Other endpoints go before it until then.
    pub avoid_until: Micros,
}

/// The traffic of an endpoint that has had none.
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

    /// A call opens: it takes an idle connection where no open one has a stream left.
    pub fn open_call(&mut self, now: Micros, settings: &Settings) {
        if self.in_flight.is_multiple_of(settings.streams_per_connection.max(1)) {
            self.idle_connections.retain(|since| now - since < settings.idle_timeout);
            self.idle_connections.pop();
        }
        self.in_flight += 1;
    }

    /// A call has ended; its connection stays open after a complete answer.
    pub fn close_call(&mut self, outcome: Outcome, now: Micros, settings: &Settings) {
        self.in_flight -= 1;
        let stays_open = matches!(outcome, Outcome::Success | Outcome::Error | Outcome::Rejected);
        if stays_open && self.in_flight.is_multiple_of(settings.streams_per_connection.max(1)) {
            self.idle_connections.push(now);
        }
    }

    /// A call sent at `sent_at` has succeeded.
    pub fn record_success(&mut self, sent_at: Micros) {
        self.consecutive_errors = 0;
        self.avoid_until = 0;
        self.latest_answered_sent_at = self.latest_answered_sent_at.max(sent_at);
    }
}

impl Endpoint {
    /// An endpoint that is new in the list.
    pub fn new(entry: &EndpointUpdate, kind: DestinationKind, route: RouteId) -> Self {
        let mut endpoint = Endpoint { destination: entry.destination, route, ..Endpoint::default() };
        endpoint.update(entry, kind);
        endpoint
    }

    /// Takes in its line of the list. It stays with its destination: one listed under another takes no calls.
    pub fn update(&mut self, entry: &EndpointUpdate, kind: DestinationKind) {
        self.accepts_calls = draining::accepts_calls(entry.state) && self.destination == entry.destination;
        self.is_removed = entry.state == EndpointState::Removed;
        self.zone = entry.zone;
        self.kind = kind;
        self.health = entry.health;
    }

    /// What its calls have shown so far.
    pub fn traffic(&self) -> &EndpointTraffic {
        self.traffic.as_deref().unwrap_or(&NO_TRAFFIC)
    }

    /// The same, to be changed.
    pub fn traffic_mut(&mut self) -> &mut EndpointTraffic {
        self.traffic.get_or_insert_with(|| Box::new(EndpointTraffic::initial()))
    }

    /// Whether a call would have to open a connection.
    pub fn needs_connection(&self, now: Micros, settings: &Settings) -> bool {
        let traffic = self.traffic();
        let has_stream = !traffic.in_flight.is_multiple_of(settings.streams_per_connection.max(1));
        let latest_idle = traffic.idle_connections.last();
        let has_idle = latest_idle.is_some_and(|since| now - since < settings.idle_timeout);
        !has_stream && !has_idle
    }
}

/// A destination and the messages that wait for it.
#[derive(Debug, Default)]
pub(crate) struct Destination {
    pub endpoints: Vec<EndpointId>,
    /// The route of its endpoints, where they are not separate routes.
    pub shared_route: Option<RouteId>,
    pub queue: BTreeSet<QueueRank>,
    /// Calls in flight.
    pub in_flight: usize,
}

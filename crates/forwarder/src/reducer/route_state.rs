//! The state of routes: their Retry-After, and which of them are faulty. A route is a destination, or one endpoint if
//! the settings give each endpoint of its kind a route of its own.

use super::Reducer;
use orchidyoke_core::interface::{DestinationId, EndpointId, Event, Micros, RouteRef};
use orchidyoke_journal::Record;
use std::collections::BTreeSet;

/// An upper estimate of the bytes of the record of a route, without the endpoint's uid.
const ROUTE_RECORD_BYTES: usize = 96;

/// Identifies a route by names that stay valid across processes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct RouteKey {
    pub destination: DestinationId,
    /// The endpoint's uid if it has a route of its own; `None` if the route is the whole destination.
    pub endpoint: Option<String>,
}

/// The faulty routes as last recorded in the journal.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct FaultyRoutes {
    routes: BTreeSet<RouteKey>,
    record_bytes: usize,
}

impl FromIterator<RouteKey> for FaultyRoutes {
    fn from_iter<I: IntoIterator<Item = RouteKey>>(routes: I) -> Self {
        let routes = BTreeSet::from_iter(routes);
        let record_bytes = routes.iter().map(RouteKey::record_size).sum();
        FaultyRoutes { routes, record_bytes }
    }
}

impl FaultyRoutes {
    pub fn iter(&self) -> impl Iterator<Item = &RouteKey> {
        self.routes.iter()
    }
}

impl RouteKey {
    pub fn new(destination: DestinationId, endpoint: Option<String>) -> Self {
        RouteKey { destination, endpoint }
    }

    /// Returns the record of a Retry-After.
    pub fn retry_after_record(&self, until: Micros) -> Record {
        Record::RetryAfter { destination: self.destination, endpoint: self.endpoint.clone(), until }
    }

    /// Returns an upper estimate of the bytes of a record of the route.
    pub fn record_size(&self) -> usize {
        ROUTE_RECORD_BYTES + self.endpoint.as_ref().map_or(0, String::len)
    }
}

/// Returns the record of all faulty routes.
pub(super) fn faulty_routes_record(faulty: &FaultyRoutes) -> Record {
    let whole = faulty.iter().filter(|route| route.endpoint.is_none());
    let destinations = whole.map(|route| route.destination).collect();
    let separate = |route: &RouteKey| Some((route.destination, route.endpoint.clone()?));
    Record::FaultyRoutes { destinations, routes: faulty.iter().filter_map(separate).collect() }
}

impl Reducer {
    /// Returns the route of an endpoint. If the list no longer names the endpoint, its kind is unknown and the route is
    /// the whole destination.
    fn route_of(&self, endpoint: EndpointId) -> Option<RouteKey> {
        let known = self.endpoints.get(endpoint)?;
        let is_separate = self.kind_of(&known.uid).is_some_and(|kind| kind.separate_routes);
        Some(RouteKey::new(known.destination, is_separate.then(|| known.uid.to_string())))
    }

    /// Handles the Retry-After of an endpoint's reply; 0 if there was none.
    pub(super) fn on_retry_after(&mut self, now: Micros, endpoint: EndpointId, retry_after: Micros) {
        let Some(route) = self.route_of(endpoint).filter(|_| retry_after > 0) else { return };
        self.retry_after.expire(now);
        let until = self.retry_after.extend_to(route.clone(), now.saturating_add(retry_after));
        let record = route.retry_after_record(until);
        // Other processes read the Retry-After from the file.
        if self.upgrade.other_process_runs() || self.upgrade.has_handed_off() {
            self.append_record(&record);
        }
    }

    /// Returns whether a Retry-After forbids calls to an endpoint, either its own or one of its whole destination.
    pub(super) fn is_blocked_by_retry_after(&self, now: Micros, endpoint: EndpointId) -> bool {
        let Some(known) = self.endpoints.get(endpoint) else { return false };
        let whole = RouteKey::new(known.destination, None);
        let separate = RouteKey::new(known.destination, Some(known.uid.to_string()));
        self.retry_after.is_in_force(now, &whole) || self.retry_after.is_in_force(now, &separate)
    }

    /// Applies a Retry-After from a journal, either that of another process of this forwarder or, at the start, this
    /// process's own.
    pub(super) fn adopt_retry_after(&mut self, now: Micros, route: RouteKey, until: Micros) {
        if until > now {
            self.controller.extend(self.route_state_event(&route, false, until - now));
            self.retry_after.extend_to(route, until);
        }
    }

    /// Returns a record for each Retry-After that has not ended.
    pub(super) fn running_retry_afters(&self, now: Micros) -> Vec<Record> {
        let running = self.retry_after.iter().filter(|(_, until)| **until > now);
        running.map(|(route, until)| route.retry_after_record(*until)).collect()
    }

    /// Returns the event that reports a route's state to the controller, or `None` if the route's endpoint is not
    /// listed. An endpoint that is listed later is another endpoint.
    pub(super) fn route_state_event(
        &self,
        route: &RouteKey,
        begins_cold: bool,
        retry_after: Micros,
    ) -> Option<Event> {
        let endpoint = match &route.endpoint {
            Some(uid) => Some(self.endpoints.id_of(uid)?),
            None => None,
        };
        Some(Event::RouteState { destination: route.destination, endpoint, begins_cold, retry_after })
    }

    /// Returns an upper estimate of the bytes of the records of routes.
    pub(super) fn route_records_bytes(&self) -> usize {
        self.faulty_routes.record_bytes + self.retry_after.record_bytes()
    }

    /// Returns the destinations with a faulty route, as last recorded in the journal.
    pub fn faulty_destinations(&self) -> impl Iterator<Item = DestinationId> {
        self.faulty_routes.iter().map(|route| route.destination)
    }

    /// Records the controller's faulty routes if they have changed, so that they are known after a restart.
    pub(super) fn record_faulty_routes(&mut self) {
        // An unlisted endpoint is about to lose its id, so the record may change even if the controller's set has not.
        if !self.controller.take_faulty_routes_changed() && self.endpoints.unlisted().is_empty() {
            return;
        }
        let faulty = self.controller.faulty_routes().into_iter();
        let key = |route: RouteRef| match route.endpoint {
            Some(endpoint) => {
                let known = self.endpoints.get(endpoint)?;
                Some(RouteKey::new(route.destination, Some(known.uid.to_string())))
            }
            None => Some(RouteKey::new(route.destination, None)),
        };
        let faulty: FaultyRoutes = faulty.filter_map(key).collect();
        if faulty != self.faulty_routes {
            self.append_record(&faulty_routes_record(&faulty));
            self.faulty_routes = faulty;
        }
    }
}

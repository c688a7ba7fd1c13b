//! What is known of routes beside the list: waits that were told, and which are in trouble. A route is a destination, or
//! one endpoint where the settings say that those of its kind are apart.

use super::Reducer;
use orchidyoke_core::interface::{DestinationId, EndpointId, Event, Micros};
use orchidyoke_journal::Record;
use std::collections::BTreeSet;

/// A route by names that outlast a process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct RouteKey {
    pub destination: DestinationId,
    /// The endpoint's uid, where it is a route apart.
    pub endpoint: Option<String>,
}

/// Routes in trouble.
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
    pub fn new(dest: DestinationId, uid: Option<String>) -> Self {
        RouteKey { destination: dest, endpoint: uid }
    }

    /// The record of a wait.
    pub fn retry_after_record(&self, until: Micros) -> Record {
        Record::RetryAfter { destination: self.destination, endpoint: self.endpoint.clone(), until }
    }

    /// About the bytes of its record, never less.
    pub fn record_size(&self) -> usize {
        96 + self.endpoint.as_ref().map_or(0, String::len)
    }
}

/// The record of all routes in trouble.
pub(super) fn faulty_routes_record(troubled: &FaultyRoutes) -> Record {
    let dests =
        troubled.iter().filter(|route| route.endpoint.is_none()).map(|route| route.destination).collect();
    let routes =
        troubled.iter().filter_map(|route| Some((route.destination, route.endpoint.clone()?))).collect();
    Record::FaultyRoutes { destinations: dests, routes }
}

impl Reducer {
    /// The route that an endpoint is on, as far as the list still tells its kind.
    fn route_of(&self, hop: EndpointId) -> Option<RouteKey> {
        let hop = self.endpoints.get(hop)?;
        let apart = self.kind_of(&hop.uid).is_some_and(|kind| kind.separate_routes);
        Some(RouteKey::new(hop.destination, apart.then(|| hop.uid.to_string())))
    }

    /// An endpoint's answer told to wait: until when, for which route.
    pub(super) fn on_retry_after(&mut self, now: Micros, hop: EndpointId, wait: Micros) {
        let Some(route) = self.route_of(hop).filter(|_| wait > 0) else { return };
        self.retry_after.expire(now);
        let until = self.retry_after.extend_to(route.clone(), now.saturating_add(wait));
        let record = route.retry_after_record(until);
        if self.upgrade.other_runs() || self.upgrade.has_handed_off() {
            self.append_record(&record);
        }
    }

    /// Whether a wait holds an endpoint: its own, or one of its whole destination.
    pub(super) fn is_held_by_retry_after(&self, now: Micros, hop: EndpointId) -> bool {
        let Some(hop) = self.endpoints.get(hop) else { return false };
        let keys = [None, Some(hop.uid.to_string())].map(|uid| RouteKey::new(hop.destination, uid));
        keys.iter().any(|key| self.retry_after.runs(now, key))
    }

    /// A wait that was told to another process of this forwarder.
    pub(super) fn adopt_retry_after(&mut self, now: Micros, route: RouteKey, until: Micros) {
        if until > now {
            self.controller.extend(self.route_state_event(&route, false, until - now));
            self.retry_after.extend_to(route, until);
        }
    }

    pub(super) fn running_retry_afters(&self, now: Micros) -> Vec<Record> {
        let running = self.retry_after.iter().filter(|(_, until)| **until > now);
        running.map(|(route, until)| route.retry_after_record(*until)).collect()
    }

    /// What the module is told of a route; nothing where its endpoint is not listed: one that comes later is another.
    pub(super) fn route_state_event(&self, route: &RouteKey, out: bool, wait: Micros) -> Option<Event> {
        let endpoint = match &route.endpoint {
            Some(uid) => Some(self.endpoints.id_of(uid.as_str())?),
            None => None,
        };
        Some(Event::RouteState { destination: route.destination, endpoint, ejected: out, retry_after: wait })
    }

    /// About the bytes of the records of what is known of routes, never less.
    pub(super) fn known_routes_size(&self) -> usize {
        self.faulty_routes.record_bytes + self.retry_after.record_bytes()
    }

    /// Destinations with a route in trouble, as the journal has them.
    pub fn faulty_destinations(&self) -> impl Iterator<Item = DestinationId> {
        self.faulty_routes.iter().map(|route| route.destination)
    }

    /// What the module knows of routes in trouble outlasts the process.
    pub(super) fn record_faulty_routes(&mut self) {
        // An endpoint that the list names no more is about to lose its name, be the set another or not.
        if !self.controller.take_faulty_routes_changed() && self.endpoints.unlisted().is_empty() {
            return;
        }
        let troubled = self.controller.faulty_routes().into_iter();
        let name = |id: EndpointId| self.endpoints.get(id).map(|hop| hop.uid.to_string());
        let keys = troubled.filter_map(|route| match route.endpoint {
            Some(endpoint) => Some(RouteKey::new(route.destination, Some(name(endpoint)?))),
            None => Some(RouteKey::new(route.destination, None)),
        });
        let troubled: FaultyRoutes = keys.collect();
        if troubled != self.faulty_routes {
            self.append(&[(&faulty_routes_record(&troubled), b"")], None);
            self.faulty_routes = troubled;
        }
    }
}

//! What is known of routes beside the list: waits that were told, and which are in trouble. A route is a destination, or
//! one endpoint where the settings say that those of its kind are apart.

use super::Reducer;
use orchidyoke_core::interface::{DestinationId, EndpointId, Event, Micros};
use orchidyoke_journal::Record;
use std::collections::BTreeSet;

/// A route by names that outlast a process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct RouteKey {
    pub dest: DestinationId,
    /// The endpoint's uid, where it is a route apart.
    pub uid: Option<String>,
}

/// Routes in trouble.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Troubled {
    routes: BTreeSet<RouteKey>,
    record_bytes: usize,
}

impl FromIterator<RouteKey> for Troubled {
    fn from_iter<I: IntoIterator<Item = RouteKey>>(routes: I) -> Self {
        let routes = BTreeSet::from_iter(routes);
        let record_bytes = routes.iter().map(RouteKey::record_size).sum();
        Troubled { routes, record_bytes }
    }
}

impl Troubled {
    pub fn iter(&self) -> impl Iterator<Item = &RouteKey> {
        self.routes.iter()
    }
}

impl RouteKey {
    pub fn new(dest: DestinationId, uid: Option<String>) -> Self {
        RouteKey { dest, uid }
    }

    /// The record of a wait.
    pub fn wait(&self, until: Micros) -> Record {
        Record::RetryAfter { destination: self.dest, endpoint: self.uid.clone(), until }
    }

    /// About the bytes of its record, never less.
    pub fn record_size(&self) -> usize {
        96 + self.uid.as_ref().map_or(0, String::len)
    }
}

/// The record of all routes in trouble.
pub(super) fn troubled_record(troubled: &Troubled) -> Record {
    let dests = troubled.iter().filter(|route| route.uid.is_none()).map(|route| route.dest).collect();
    let routes = troubled.iter().filter_map(|route| Some((route.dest, route.uid.clone()?))).collect();
    Record::FaultyRoutes { destinations: dests, routes }
}

impl Reducer {
    /// The number of a zone for the module.
    pub(super) fn zone(&self, name: &str) -> usize {
        self.names
            .zones
            .iter()
            .position(|zone| zone == name)
            .unwrap_or(orchidyoke_core::interface::UNKNOWN_ZONE)
    }

    /// The route that an endpoint is on, as far as the list still tells its kind.
    fn route_of(&self, hop: EndpointId) -> Option<RouteKey> {
        let hop = self.hops.get(&hop)?;
        let apart = self.kind_of(&hop.uid).is_some_and(|kind| kind.separate_routes);
        Some(RouteKey::new(hop.destination, apart.then(|| hop.uid.to_string())))
    }

    /// An endpoint's answer told to wait: until when, for which route.
    pub(super) fn told_to_wait(&mut self, now: Micros, hop: EndpointId, wait: Micros) {
        let Some(route) = self.route_of(hop).filter(|_| wait > 0) else { return };
        self.waits.expire(now);
        let until = self.waits.extend_to(route.clone(), now.saturating_add(wait));
        let record = route.wait(until);
        if self.is_shared() || self.stage == orchidyoke_journal::ProcessStage::HandedOff {
            self.append(&[(&record, b"")], None);
        }
    }

    /// Whether a wait holds an endpoint: its own, or one of its whole destination.
    pub(super) fn is_waiting(&self, now: Micros, hop: EndpointId) -> bool {
        let Some(hop) = self.hops.get(&hop) else { return false };
        let keys = [None, Some(hop.uid.to_string())].map(|uid| RouteKey::new(hop.destination, uid));
        keys.iter().any(|key| self.waits.runs(now, key))
    }

    /// A wait that was told to another process of this forwarder.
    pub(super) fn heed(&mut self, now: Micros, route: RouteKey, until: Micros) {
        if until > now {
            self.events.extend(self.known(&route, false, until - now));
            self.waits.extend_to(route, until);
        }
    }

    pub(super) fn running_waits(&self, now: Micros) -> Vec<Record> {
        let running = self.waits.iter().filter(|(_, until)| **until > now);
        running.map(|(route, until)| route.wait(*until)).collect()
    }

    /// What the module is told of a route; nothing where its endpoint is not listed: one that comes later is another.
    pub(super) fn known(&self, route: &RouteKey, out: bool, wait: Micros) -> Option<Event> {
        let endpoint = match &route.uid {
            Some(uid) => Some(*self.hop_numbers.get(uid.as_str())?),
            None => None,
        };
        Some(Event::RouteState { destination: route.dest, endpoint, ejected: out, retry_after: wait })
    }

    /// About the bytes of the records of what is known of routes, never less.
    pub(super) fn known_routes_size(&self) -> usize {
        self.troubled.record_bytes + self.waits.record_bytes()
    }

    /// Destinations with a route in trouble, as the journal has them.
    pub fn troubled(&self) -> impl Iterator<Item = DestinationId> {
        self.troubled.iter().map(|route| route.dest)
    }

    /// What the module knows of routes in trouble outlasts the process.
    pub(super) fn keep_troubled(&mut self) {
        // An endpoint that the list names no more is about to lose its name, be the set another or not.
        if !self.controller.take_faulty_routes_changed() && self.unlisted.is_empty() {
            return;
        }
        let troubled = self.controller.faulty_routes().into_iter();
        let name = |id: EndpointId| self.hops.get(&id).map(|hop| hop.uid.to_string());
        let keys = troubled.filter_map(|route| match route.endpoint {
            Some(endpoint) => Some(RouteKey::new(route.destination, Some(name(endpoint)?))),
            None => Some(RouteKey::new(route.destination, None)),
        });
        let troubled: Troubled = keys.collect();
        if troubled != self.troubled {
            self.append(&[(&troubled_record(&troubled), b"")], None);
            self.troubled = troubled;
        }
    }
}

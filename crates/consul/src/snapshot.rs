//! Holds the endpoints of all followed services, and computes the delta from one response to the next. This module does
//! no I/O and reads no clock.
//!
//! Each valid response replaces the endpoints of its service. The difference becomes watch events for the forwarder's
//! endpoint list.

use crate::allowed_networks::AllowedNetworks;
use crate::api::ServiceEntry;
use crate::endpoint::{endpoint_entry, node_of_uid, uid_prefix};
use crate::settings::{Service, Settings};
use orchidyoke_core::endpoint_list::{EndpointEntry, EndpointState, HealthStatus, WatchEvent};
use std::collections::{BTreeMap, BTreeSet};

/// The endpoints of one service by its last valid response.
#[derive(Debug)]
struct ServiceState {
    service: Service,
    /// Whether a valid response has arrived since the start.
    is_known: bool,
    /// Endpoints by their uid.
    endpoints: BTreeMap<String, EndpointEntry>,
    /// Instances of the last response that cannot be endpoints, each with its reason.
    unusable: BTreeSet<String>,
}

/// The changes that one response makes.
#[derive(Debug, Default, PartialEq)]
pub struct SnapshotDelta {
    /// Events for the endpoint list, to be applied in this order.
    pub events: Vec<WatchEvent>,
    /// Instances that cannot be endpoints and were not reported with the last response, each with its reason.
    pub unusable: Vec<String>,
}

/// The endpoints of all services by their last valid responses.
#[derive(Debug)]
pub struct CatalogueSnapshot {
    origin: String,
    version: u64,
    networks: AllowedNetworks,
    services: Vec<ServiceState>,
    /// Endpoints of the list at the start that belong to no service by their uid. They stay in use until all services
    /// of their destination have had a valid response.
    unclaimed: BTreeMap<String, EndpointEntry>,
    /// Destinations that have had an endpoint.
    seen_destinations: BTreeSet<u64>,
}

impl CatalogueSnapshot {
    /// Creates a snapshot that continues from the current endpoint list. The list may come from another source.
    pub fn new(settings: &Settings, current: &WatchEvent) -> Self {
        let by_uid = |endpoint: &EndpointEntry| (endpoint.uid.clone(), endpoint.clone());
        let mut unclaimed: BTreeMap<_, _> = current.endpoints.iter().map(by_uid).collect();
        let state = |service: &Service| {
            let prefix = uid_prefix(service);
            let is_own = |uid: &String, endpoint: &mut EndpointEntry| {
                uid.starts_with(&prefix) && endpoint.destination == service.destination
            };
            let endpoints = unclaimed.extract_if(.., is_own).collect();
            ServiceState { service: service.clone(), is_known: false, endpoints, unusable: BTreeSet::new() }
        };
        let services = settings.services.iter().map(state).collect();
        CatalogueSnapshot {
            origin: settings.id(),
            version: current.version,
            networks: AllowedNetworks::new(&settings.networks),
            services,
            unclaimed,
            seen_destinations: current.endpoints.iter().map(|endpoint| endpoint.destination).collect(),
        }
    }

    /// Returns the number of endpoints of a service.
    pub fn endpoint_count(&self, service: usize) -> usize {
        self.services[service].endpoints.len()
    }

    /// Returns the services that have an instance on this node.
    pub fn services_on_node<'a>(&'a self, node: &'a str) -> impl Iterator<Item = usize> + 'a {
        let is_on_node =
            move |state: &ServiceState| state.endpoints.keys().any(|uid| node_of_uid(uid) == Some(node));
        let services = self.services.iter().enumerate();
        services.filter(move |(_, state)| is_on_node(state)).map(|(index, _)| index)
    }

    /// Applies a valid response for one service, which lists all of its instances. Endpoints that are not in the
    /// response are removed.
    pub fn apply(&mut self, service: usize, entries: &[ServiceEntry]) -> SnapshotDelta {
        let mut endpoints = BTreeMap::new();
        let mut unusable = BTreeSet::new();
        let known = &self.services[service].service;
        for entry in entries {
            match endpoint_entry(known, &self.networks, entry) {
                Ok(endpoint) => drop(endpoints.insert(endpoint.uid.clone(), endpoint)),
                Err(reason) => drop(unusable.insert(format!(
                    "service={} instance={}/{} reason={:?}",
                    known.name,
                    entry.node.node,
                    entry.service.id,
                    reason.to_string()
                ))),
            }
        }
        let events = self.replace_endpoints(service, endpoints);
        let state = &mut self.services[service];
        let newly_unusable = unusable.difference(&state.unusable).cloned().collect();
        state.unusable = unusable;
        SnapshotDelta { events, unusable: newly_unusable }
    }

    /// Replaces the endpoints of a service. Returns the events that lead from the old endpoints to the new ones.
    /// Removals come first, because an address may belong to a new endpoint.
    ///
    /// A destination without endpoints was unavailable, even if no call has failed. So its last endpoints are removed
    /// with critical health. When the destination has endpoints again, they are first listed with critical health,
    /// because passing health checks alone must not give them full load.
    fn replace_endpoints(
        &mut self,
        service: usize,
        after: BTreeMap<String, EndpointEntry>,
    ) -> Vec<WatchEvent> {
        let destination = self.services[service].service.destination;
        let has_returned = !self.has_endpoints(destination) && self.seen_destinations.contains(&destination);
        let state = &mut self.services[service];
        state.is_known = true;
        let before = std::mem::replace(&mut state.endpoints, after);
        let after = &state.endpoints;
        let mut removed_endpoints: Vec<EndpointEntry> =
            before.values().filter(|endpoint| !after.contains_key(&endpoint.uid)).cloned().collect();
        let changed: Vec<EndpointEntry> =
            after.values().filter(|endpoint| before.get(&endpoint.uid) != Some(endpoint)).cloned().collect();
        removed_endpoints.extend(self.take_obsolete_unclaimed(destination));
        if !changed.is_empty() {
            self.seen_destinations.insert(destination);
        }
        let mut first_event: Vec<EndpointEntry> = removed_endpoints.into_iter().map(removed).collect();
        if !has_returned {
            first_event.extend(changed);
            return self.events([first_event]);
        }
        first_event.extend(changed.iter().cloned().map(critical));
        self.events([first_event, changed])
    }

    /// Returns one event for each list that is not empty.
    fn events<const COUNT: usize>(&mut self, lists: [Vec<EndpointEntry>; COUNT]) -> Vec<WatchEvent> {
        let not_empty = lists.into_iter().filter(|endpoints| !endpoints.is_empty());
        not_empty.map(|endpoints| self.next_event(endpoints)).collect()
    }

    fn next_event(&mut self, endpoints: Vec<EndpointEntry>) -> WatchEvent {
        self.version += 1;
        WatchEvent { version: self.version, is_snapshot: false, endpoints, origin: self.origin.clone() }
    }

    fn has_endpoints(&self, destination: u64) -> bool {
        let mut services = self.services.iter().filter(|state| state.service.destination == destination);
        services.any(|state| !state.endpoints.is_empty())
            || self.unclaimed.values().any(|endpoint| endpoint.destination == destination)
    }

    /// Removes and returns the unclaimed endpoints that are obsolete. These are the endpoints of `destination` once all
    /// of its services have had a valid response, and the endpoints of destinations that no service follows.
    fn take_obsolete_unclaimed(&mut self, destination: u64) -> Vec<EndpointEntry> {
        if self.unclaimed.is_empty() {
            return Vec::new();
        }
        let followed: BTreeSet<u64> = self.services.iter().map(|state| state.service.destination).collect();
        let mut services = self.services.iter().filter(|state| state.service.destination == destination);
        let all_known = services.all(|state| state.is_known);
        let is_obsolete = |_: &String, endpoint: &mut EndpointEntry| {
            !followed.contains(&endpoint.destination) || all_known && endpoint.destination == destination
        };
        self.unclaimed.extract_if(.., is_obsolete).map(|(_, endpoint)| endpoint).collect()
    }
}

fn removed(endpoint: EndpointEntry) -> EndpointEntry {
    EndpointEntry { state: EndpointState::Removed, health: HealthStatus::Critical, ..endpoint }
}

fn critical(endpoint: EndpointEntry) -> EndpointEntry {
    EndpointEntry { health: HealthStatus::Critical, ..endpoint }
}

#[cfg(test)]
mod tests;

//! The endpoint list in force, and the ids by which the controller knows its endpoints.
//!
//! An endpoint keeps its id while the list names it, and after that as long as a call to it is in flight.

use super::destinations::Destinations;
use orchidyoke_core::endpoint_list::{EndpointEntry, EndpointList, ListedEndpoint, WatchEvent};
use orchidyoke_core::interface::{DestinationId, EndpointId, EndpointState, EndpointUpdate};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// An endpoint that an endpoint list has named.
#[derive(Debug)]
pub(super) struct KnownEndpoint {
    pub uid: Arc<str>,
    pub destination: DestinationId,
}

/// New endpoints of a list, with the ids assigned to them.
pub(super) type NewEndpoints = Vec<(EndpointId, KnownEndpoint)>;

/// The endpoint list, and all endpoints that have an id.
#[derive(Debug, Default)]
pub(super) struct EndpointTable {
    list: EndpointList,
    /// Endpoints that the list names, and unlisted ones as long as a call to them is in flight.
    endpoints: BTreeMap<EndpointId, KnownEndpoint>,
    ids: HashMap<Arc<str>, EndpointId>,
    next_id: EndpointId,
    /// Endpoints that the list no longer names.
    unlisted: BTreeSet<EndpointId>,
    destinations: Destinations,
}

impl EndpointTable {
    /// Returns the list in force.
    pub fn list(&self) -> &EndpointList {
        &self.list
    }

    /// Returns the list's entry for an endpoint.
    pub fn listed(&self, uid: &str) -> Option<&ListedEndpoint> {
        self.list.get(uid)
    }

    /// Returns an endpoint by its id.
    pub fn get(&self, id: EndpointId) -> Option<&KnownEndpoint> {
        self.endpoints.get(&id)
    }

    /// Returns the id of an endpoint.
    pub fn id_of(&self, uid: &str) -> Option<EndpointId> {
        self.ids.get(uid).copied()
    }

    /// Returns the ids of all endpoints.
    pub fn ids(&self) -> impl Iterator<Item = EndpointId> {
        self.endpoints.keys().copied()
    }

    /// Returns the destinations that any endpoint list has named.
    pub fn destinations(&self) -> &Destinations {
        &self.destinations
    }

    /// Returns the endpoints that the list no longer names.
    pub fn unlisted(&self) -> &BTreeSet<EndpointId> {
        &self.unlisted
    }

    /// Returns the id of a listed endpoint. Assigns an id to a new endpoint and adds it to `new_endpoints`, which are
    /// to be passed to [`EndpointTable::apply`].
    pub fn id_or_assign(&mut self, listed: &EndpointEntry, new_endpoints: &mut NewEndpoints) -> EndpointId {
        if let Some(known) = self.ids.get(listed.uid.as_str()) {
            return *known;
        }
        let id = self.next_id;
        let uid = Arc::<str>::from(listed.uid.as_str());
        self.next_id += 1;
        self.ids.insert(uid.clone(), id);
        new_endpoints.push((id, KnownEndpoint { uid, destination: listed.destination }));
        id
    }

    /// Applies a watch event, with its new endpoints and the update that results from each of its entries.
    pub fn apply(&mut self, event: &WatchEvent, new_endpoints: NewEndpoints, updates: &[EndpointUpdate]) {
        self.add(new_endpoints);
        if event.is_snapshot {
            self.unlist_all_but(updates);
        }
        for update in updates {
            match update.state {
                EndpointState::Removed => self.unlisted.insert(update.endpoint),
                EndpointState::Active | EndpointState::Draining => self.unlisted.remove(&update.endpoint),
            };
        }
        let ids = &self.ids;
        let shared = |uid: &str| ids.get_key_value(uid).map_or_else(|| uid.into(), |(uid, _)| uid.clone());
        self.list.apply_sharing(event, shared);
    }

    /// Forgets unlisted endpoints, except `busy` ones, which have a call in flight.
    pub fn forget_unlisted(&mut self, busy: &BTreeSet<EndpointId>) {
        for id in self.unlisted.extract_if(.., |id| !busy.contains(id)) {
            if let Some(endpoint) = self.endpoints.remove(&id) {
                self.ids.remove(&endpoint.uid);
                self.destinations.forget(id, endpoint.destination);
            }
        }
    }

    fn add(&mut self, new_endpoints: NewEndpoints) {
        self.destinations.add(&new_endpoints);
        // `append` rebuilds the whole tree, which for a few endpoints is more work than inserting each.
        if new_endpoints.len() > self.endpoints.len() / 2 {
            self.endpoints.append(&mut new_endpoints.into_iter().collect());
        } else {
            self.endpoints.extend(new_endpoints);
        }
    }

    /// Marks all endpoints that a snapshot does not name as unlisted.
    fn unlist_all_but(&mut self, updates: &[EndpointUpdate]) {
        let mut named: Vec<EndpointId> = updates.iter().map(|update| update.endpoint).collect();
        named.sort_unstable();
        self.unlisted.extend(self.endpoints.keys().filter(|id| named.binary_search(id).is_err()));
    }
}

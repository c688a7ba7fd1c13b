//! The endpoint list in force, and the numbers by which the controller knows its endpoints.
//!
//! An endpoint keeps its number while the list names it, and after that for as long as a call to it is in flight.

use super::destinations::Destinations;
use orchidyoke_core::endpoint_list::{EndpointEntry, EndpointList, ListedEndpoint, WatchEvent};
use orchidyoke_core::interface::{DestinationId, EndpointId, EndpointState, EndpointUpdate};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// An endpoint that some list has named.
#[derive(Debug)]
pub(super) struct KnownEndpoint {
    pub uid: Arc<str>,
    pub destination: DestinationId,
}

/// New endpoints of a list, with the numbers given to them.
pub(super) type NewEndpoints = Vec<(EndpointId, KnownEndpoint)>;

/// The endpoint list, and all endpoints that are not forgotten.
#[derive(Debug, Default)]
pub(super) struct EndpointTable {
    list: EndpointList,
    /// Endpoints that the list names, and others for as long as a call to them is in flight.
    endpoints: BTreeMap<EndpointId, KnownEndpoint>,
    ids: HashMap<Arc<str>, EndpointId>,
    next_id: EndpointId,
    /// Endpoints that the list no longer names.
    unlisted: BTreeSet<EndpointId>,
    destinations: Destinations,
}

impl EndpointTable {
    /// The list in force.
    pub fn list(&self) -> &EndpointList {
        &self.list
    }

    /// What the list says of an endpoint.
    pub fn listed(&self, uid: &str) -> Option<&ListedEndpoint> {
        self.list.get(uid)
    }

    /// An endpoint by its number.
    pub fn get(&self, id: EndpointId) -> Option<&KnownEndpoint> {
        self.endpoints.get(&id)
    }

    /// The number of an endpoint.
    pub fn id_of(&self, uid: &str) -> Option<EndpointId> {
        self.ids.get(uid).copied()
    }

    /// The numbers of all endpoints.
    pub fn ids(&self) -> impl Iterator<Item = EndpointId> {
        self.endpoints.keys().copied()
    }

    /// The destinations that some list has named.
    pub fn destinations(&self) -> &Destinations {
        &self.destinations
    }

    /// The endpoints that the list no longer names.
    pub fn unlisted(&self) -> &BTreeSet<EndpointId> {
        &self.unlisted
    }

    /// The number of a listed endpoint; a new endpoint gets one and is put among `new_endpoints`, for
    /// [`EndpointTable::apply`].
    pub fn number(&mut self, listed: &EndpointEntry, new_endpoints: &mut NewEndpoints) -> EndpointId {
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

    /// Takes in a watch event, with its new endpoints and what each of its entries means.
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

    /// Forgets unlisted endpoints, but for those with a call in flight.
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
        // Merging packs a tree full; for a few it would be more work than putting each in.
        if new_endpoints.len() > self.endpoints.len() / 2 {
            self.endpoints.append(&mut new_endpoints.into_iter().collect());
        } else {
            self.endpoints.extend(new_endpoints);
        }
    }

    /// A snapshot lists what it names and nothing else.
    fn unlist_all_but(&mut self, updates: &[EndpointUpdate]) {
        let mut named: Vec<EndpointId> = updates.iter().map(|update| update.endpoint).collect();
        named.sort_unstable();
        self.unlisted.extend(self.endpoints.keys().filter(|id| named.binary_search(id).is_err()));
    }
}

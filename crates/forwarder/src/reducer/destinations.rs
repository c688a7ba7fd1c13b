//! The destinations that any endpoint list has named, and an index of their endpoints.

use super::endpoint_table::KnownEndpoint;
use orchidyoke_core::interface::{DestinationId, EndpointId};
use std::collections::BTreeSet;

/// Destinations that any endpoint list has named, with the endpoints of each that are not forgotten.
#[derive(Debug, Default)]
pub(super) struct Destinations {
    endpoints: BTreeSet<(DestinationId, EndpointId)>,
    /// Destinations that were named before and have no endpoint now.
    without_endpoints: BTreeSet<DestinationId>,
}

impl Destinations {
    /// Returns whether any endpoint list has named the destination.
    pub fn knows(&self, destination: DestinationId) -> bool {
        self.endpoints_of(destination).next().is_some() || self.without_endpoints.contains(&destination)
    }

    /// Returns the endpoints of a destination.
    pub fn endpoints_of(&self, destination: DestinationId) -> impl Iterator<Item = EndpointId> {
        let all = (destination, EndpointId::MIN)..=(destination, EndpointId::MAX);
        self.endpoints.range(all).map(|(_, endpoint)| *endpoint)
    }

    /// Returns the destinations that have endpoints, in ascending order.
    pub fn with_endpoints(&self) -> Vec<DestinationId> {
        let mut all: Vec<_> = self.endpoints.iter().map(|(destination, _)| *destination).collect();
        all.dedup();
        all
    }

    /// Adds new endpoints; a snapshot may bring many.
    pub fn add(&mut self, new: &[(EndpointId, KnownEndpoint)]) {
        let mut endpoints = new.iter().map(|(id, endpoint)| (endpoint.destination, *id)).collect();
        // `append` rebuilds the whole tree, which for a few endpoints is more work than inserting each.
        if new.len() > self.endpoints.len() / 2 {
            self.endpoints.append(&mut endpoints);
        } else {
            self.endpoints.extend(endpoints);
        }
        if !self.without_endpoints.is_empty() {
            for (_, endpoint) in new {
                self.without_endpoints.remove(&endpoint.destination);
            }
        }
    }

    /// Removes an endpoint. Its destination stays known.
    pub fn forget(&mut self, id: EndpointId, destination: DestinationId) {
        self.endpoints.remove(&(destination, id));
        if self.endpoints_of(destination).next().is_none() {
            self.without_endpoints.insert(destination);
        }
    }
}

//! The destinations that lists have named, and an index of their endpoints.

use super::endpoint_table::KnownEndpoint;
use orchidyoke_core::interface::{DestinationId, EndpointId};
use std::collections::BTreeSet;

/// Destinations that some list has named, and the endpoints of each that are not forgotten.
#[derive(Debug, Default)]
pub(super) struct Destinations {
    endpoints: BTreeSet<(DestinationId, EndpointId)>,
    /// Those that have no endpoint any more.
    without: BTreeSet<DestinationId>,
}

impl Destinations {
    /// Whether some list has named it.
    pub fn knows(&self, destination: DestinationId) -> bool {
        self.endpoints_of(destination).next().is_some() || self.without.contains(&destination)
    }

    /// The endpoints of one.
    pub fn endpoints_of(&self, destination: DestinationId) -> impl Iterator<Item = EndpointId> {
        let all = (destination, EndpointId::MIN)..=(destination, EndpointId::MAX);
        self.endpoints.range(all).map(|(_, endpoint)| *endpoint)
    }

    /// Those that have endpoints, in their order.
    pub fn with_endpoints(&self) -> Vec<DestinationId> {
        let mut all: Vec<_> = self.endpoints.iter().map(|(destination, _)| *destination).collect();
        all.dedup();
        all
    }

    /// New endpoints, many of them where a whole list has come.
    pub fn add(&mut self, new: &[(EndpointId, KnownEndpoint)]) {
        let mut endpoints = new.iter().map(|(id, endpoint)| (endpoint.destination, *id)).collect();
        // Merging packs a tree full; for a few it would be more work than putting each in.
        if new.len() > self.endpoints.len() / 2 {
            self.endpoints.append(&mut endpoints);
        } else {
            self.endpoints.extend(endpoints);
        }
        if !self.without.is_empty() {
            for (_, endpoint) in new {
                self.without.remove(&endpoint.destination);
            }
        }
    }

    /// An endpoint is forgotten; its destination stays known.
    pub fn forget(&mut self, id: EndpointId, destination: DestinationId) {
        self.endpoints.remove(&(destination, id));
        if self.endpoints_of(destination).next().is_none() {
            self.without.insert(destination);
        }
    }
}

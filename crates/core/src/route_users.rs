//! Counts the users of each route and keeps a free list of unused routes, so that their indexes are used again.

use crate::interface::DestinationId;
use crate::route::RouteId;
use std::collections::{BTreeMap, BTreeSet};

/// Users of the routes: endpoints, destinations that keep a route for endpoints added later, and calls in flight. A
/// route is free while it has no users.
#[derive(Debug, Default)]
pub(crate) struct RouteUsers {
    counts: Vec<u32>,
    /// For each destination on a route, the number of its endpoints on the route, plus one if it keeps the route.
    destinations: BTreeMap<(RouteId, DestinationId), u32>,
    free: BTreeSet<RouteId>,
}

impl RouteUsers {
    /// Returns the lowest free index for a route. `before` is regarded as free if its only user is the destination that
    /// keeps it.
    pub fn lowest_free(&mut self, before: Option<RouteId>) -> RouteId {
        let kept = before.filter(|route| self.counts[*route] == 1);
        let lowest = self.free.first().copied().into_iter().chain(kept).min();
        lowest.unwrap_or_else(|| {
            self.counts.push(0);
            self.free.insert(self.counts.len() - 1);
            self.counts.len() - 1
        })
    }

    /// Iterates over the destinations that have an endpoint on a route or keep it.
    pub fn destinations(&self, route: RouteId) -> impl Iterator<Item = DestinationId> {
        self.destinations.range((route, 0)..=(route, DestinationId::MAX)).map(|((_, id), _)| *id)
    }

    /// Counts an endpoint of a destination that now uses a route, or a destination that now keeps it.
    pub fn join(&mut self, route: RouteId, destination: DestinationId) {
        *self.destinations.entry((route, destination)).or_default() += 1;
        self.hold(route);
    }

    /// Reverses [`Self::join`].
    pub fn leave(&mut self, route: RouteId, destination: DestinationId) {
        if let Some(count) = self.destinations.get_mut(&(route, destination)) {
            *count -= 1;
            if *count == 0 {
                self.destinations.remove(&(route, destination));
            }
        }
        self.release(route);
    }

    /// Adds one user, such as a call.
    pub fn hold(&mut self, route: RouteId) {
        self.counts[route] += 1;
        self.free.remove(&route);
    }

    /// Removes one user.
    pub fn release(&mut self, route: RouteId) {
        self.counts[route] -= 1;
        if self.counts[route] == 0 {
            self.free.insert(route);
        }
    }
}

//! Counts the users of each route and keeps the free list of those that nobody uses, so that places are used again.

use crate::interface::DestinationId;
use crate::route::RouteId;
use std::collections::{BTreeMap, BTreeSet};

/// Users of the routes: endpoints, destinations that keep one for their endpoints to come, and calls out. A route
/// is free while it has none.
#[derive(Debug, Default)]
pub(crate) struct RouteUsers {
    counts: Vec<u32>,
    /// For each destination on a route, how many of its endpoints are on it, and one if it keeps the route.
    destinations: BTreeMap<(RouteId, DestinationId), u32>,
    free: BTreeSet<RouteId>,
}

impl RouteUsers {
    /// The lowest free place for a route. `before` counts as free if its destination alone keeps it.
    pub fn lowest_free(&mut self, before: Option<RouteId>) -> RouteId {
        let kept = before.filter(|route| self.counts[*route] == 1);
        let lowest = self.free.first().copied().into_iter().chain(kept).min();
        lowest.unwrap_or_else(|| {
            self.counts.push(0);
            self.free.insert(self.counts.len() - 1);
            self.counts.len() - 1
        })
    }

    /// Destinations with an endpoint on a route, or that keep it.
    pub fn destinations(&self, route: RouteId) -> impl Iterator<Item = DestinationId> {
        self.destinations.range((route, 0)..=(route, DestinationId::MAX)).map(|((_, id), _)| *id)
    }

    /// An endpoint of a destination is on a route from now on, or the destination keeps it.
    pub fn join(&mut self, route: RouteId, destination: DestinationId) {
        *self.destinations.entry((route, destination)).or_default() += 1;
        self.hold(route);
    }

    /// The opposite of [`Self::join`].
    pub fn leave(&mut self, route: RouteId, destination: DestinationId) {
        if let Some(count) = self.destinations.get_mut(&(route, destination)) {
            *count -= 1;
            if *count == 0 {
                self.destinations.remove(&(route, destination));
            }
        }
        self.release(route);
    }

    /// One more user, such as a call.
    pub fn hold(&mut self, route: RouteId) {
        self.counts[route] += 1;
        self.free.remove(&route);
    }

    /// One user less.
    pub fn release(&mut self, route: RouteId) {
        self.counts[route] -= 1;
        if self.counts[route] == 0 {
            self.free.insert(route);
        }
    }
}

//! Until when each route must not be used because of its Retry-After.

use super::route_state::RouteKey;
use orchidyoke_core::interface::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// The end of each route's Retry-After, by route and in the order of the end times.
#[derive(Debug, Default)]
pub(super) struct RetryAfterTable {
    until: BTreeMap<RouteKey, Micros>,
    by_end: BTreeSet<(Micros, RouteKey)>,
    record_bytes: usize,
}

impl RetryAfterTable {
    /// Sets the end of a route's Retry-After, unless an earlier Retry-After ends later. Returns the later end.
    pub fn extend_to(&mut self, route: RouteKey, until: Micros) -> Micros {
        match self.until.get(&route).copied() {
            Some(known) if known >= until => return known,
            Some(known) => drop(self.by_end.remove(&(known, route.clone()))),
            None => self.record_bytes += route.record_size(),
        }
        self.by_end.insert((until, route.clone()));
        self.until.insert(route, until);
        until
    }

    /// Removes the entries that have ended.
    pub fn expire(&mut self, now: Micros) {
        while let Some((until, _)) = self.by_end.first()
            && *until <= now
            && let Some((_, route)) = self.by_end.pop_first()
        {
            self.until.remove(&route);
            self.record_bytes -= route.record_size();
        }
    }

    /// Returns whether a Retry-After of this route is in force.
    pub fn is_in_force(&self, now: Micros, route: &RouteKey) -> bool {
        self.until.get(route).is_some_and(|until| *until > now)
    }

    /// Returns the end of each Retry-After, by route.
    pub fn iter(&self) -> impl Iterator<Item = (&RouteKey, &Micros)> {
        self.until.iter()
    }

    /// Returns an upper estimate of the bytes of the records.
    pub fn record_bytes(&self) -> usize {
        self.record_bytes
    }
}

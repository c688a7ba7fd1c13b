//! Updates the schedule's indexes for the destinations that have changed or whose timer is due. This module has no
//! rules.

use super::Controller;
use crate::endpoint::Destination;
use crate::interface::{DestinationId, Micros, RouteRef};
use crate::outlier_detection::RouteHealth;
use crate::route::RouteId;
use crate::waiting_index::Wait;

/// The route that a [`RouteRef`] names, as its index in the table of routes; `None` if there is no such route.
struct NamedRoute {
    id: RouteRef,
    route: Option<RouteId>,
}

impl Controller {
    /// Updates the count of calls on faulty routes after a change of a route, and marks the destinations on it as
    /// changed.
    pub(super) fn route_changed(&mut self, id: RouteId) {
        let route = &mut self.routes[id];
        let calls = if route.is_faulty() { route.traffic().in_flight } else { 0 };
        let counted = route.traffic().counted_faulty_calls;
        if calls != counted {
            self.schedule.faulty_calls = self.schedule.faulty_calls + calls - counted;
            route.traffic_mut().counted_faulty_calls = calls;
        }
        self.schedule.changed_destinations.extend(self.schedule.route_users.destinations(id));
    }

    /// Updates the index of waiting destinations for those that have changed or whose time of change is due.
    pub(super) fn update_waiting_index(&mut self) {
        self.schedule.changed_destinations.extend(self.schedule.waiting.pop_changed(self.now));
        let mut changed = std::mem::take(&mut self.schedule.changed_destinations);
        changed.sort_unstable();
        changed.dedup();
        for id in &changed {
            let destination = self.destinations.get(id).filter(|d| !d.queue.is_empty());
            let wait = destination.map(|destination| self.wait_of(destination));
            self.schedule.destinations_examined += u64::from(wait.is_some());
            self.schedule.waiting.set(*id, wait);
        }
        self.schedule.destinations_to_recheck.append(&mut changed);
    }

    /// Returns what a destination with a queue waits for.
    fn wait_of(&self, destination: &Destination) -> Wait {
        let routes = || destination.endpoints.iter().map(|id| &self.routes[self.endpoints[id].route]);
        let ready = self.first_sendable(destination, false);
        let may_be_faulty = ready.is_some() && routes().any(|route| route.is_faulty());
        let ready_healthy = if may_be_faulty { self.first_sendable(destination, true) } else { ready };
        let budgeted = routes().filter(|route| route.call_budget(self.now, &self.settings).is_some());
        Wait {
            found_at: self.now,
            ready,
            ready_healthy,
            changes_at: routes().filter_map(|route| route.changes_at(self.now, &self.settings)).min(),
            draw_at: budgeted.map(|route| route.traffic().recent_call_budget.next_draw_at()).min(),
        }
    }

    /// Updates the set of faulty routes for the destinations that have changed or have warmed up.
    pub(super) fn update_faulty_routes(&mut self) {
        let due = std::iter::from_fn(|| self.schedule.warm_up_timers.pop_due(self.now));
        self.schedule.destinations_to_recheck.extend(due);
        let mut destinations_to_recheck = std::mem::take(&mut self.schedule.destinations_to_recheck);
        destinations_to_recheck.sort_unstable();
        destinations_to_recheck.dedup();
        for id in destinations_to_recheck {
            let Some(destination) = self.destinations.get(&id) else { continue };
            let routes = self.named_routes(id, destination);
            let warm_at = routes.iter().filter_map(|route| self.update_faulty_route(route)).min();
            self.schedule.destinations_examined += 1;
            self.schedule.warm_up_timers.set(id, warm_at);
        }
    }

    /// Returns one entry for each endpoint of a destination and one for its shared route, which it may have without
    /// endpoints. The entry of an endpoint has a route only if the endpoint is a separate route.
    fn named_routes(&self, id: DestinationId, destination: &Destination) -> Vec<NamedRoute> {
        let endpoints = destination.endpoints.iter().map(|id| (*id, &self.endpoints[id]));
        let separate = endpoints.map(|(endpoint_id, endpoint)| NamedRoute {
            id: RouteRef { destination: id, endpoint: Some(endpoint_id) },
            route: Some(endpoint.route).filter(|_| endpoint.kind.separate_routes),
        });
        let shared =
            NamedRoute { id: RouteRef { destination: id, endpoint: None }, route: destination.shared_route };
        separate.chain([shared]).collect()
    }

    /// Adds a route to the faulty routes or removes it. Returns the time at which the route has warmed up; `None` if it
    /// is not warming up.
    fn update_faulty_route(&mut self, named: &NamedRoute) -> Option<Micros> {
        let route = named.route.map(|id| &self.routes[id]);
        let faulty = route.filter(|route| route.needs_recovery(self.now, &self.settings));
        let warm_at = match faulty.map(|route| route.health) {
            Some(RouteHealth::WarmingUp(since)) => Some(since + self.settings.warm_up_time),
            _ => None,
        };
        let is_faulty = faulty.is_some();
        self.schedule.set_faulty(named.id, is_faulty);
        warm_at
    }
}

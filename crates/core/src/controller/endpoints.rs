//! Applies the endpoint list: new, changed, draining and removed endpoints, their health checks, and their routes.

use super::Controller;
use crate::draining::{self, Removal};
use crate::endpoint::Endpoint;
use crate::interface::*;
use crate::outlier_detection::{self, RouteHealth};
use crate::pacing;
use crate::retry;
use crate::route::{Route, RouteId};
use std::collections::BTreeSet;

impl Controller {
    pub(super) fn on_endpoint_list(&mut self, kind: ListEventKind, entries: &[EndpointUpdate]) {
        let is_whole_list = matches!(kind, ListEventKind::Snapshot | ListEventKind::Restored);
        if is_whole_list {
            for endpoint in self.endpoints.values_mut() {
                endpoint.accepts_calls = false;
                endpoint.is_removed = true;
            }
            self.schedule.changed_destinations.extend(self.schedule.waiting.ids());
        }
        entries.iter().for_each(|entry| self.on_endpoint_update(entry));
        if is_whole_list {
            let removed = self.endpoints.iter().filter(|(_, endpoint)| endpoint.is_removed);
            self.schedule.removal_timers.extend(removed.map(|(id, _)| (self.now, *id)));
        }
        let destinations: BTreeSet<DestinationId> = entries.iter().map(|entry| entry.destination).collect();
        destinations.into_iter().for_each(|destination| self.apply_health_checks(destination));
    }

    fn on_endpoint_update(&mut self, entry: &EndpointUpdate) {
        let unknown_kind = DestinationKind { max_batch: 1, separate_routes: false };
        let kind = self.settings.kinds.get(entry.kind).copied().unwrap_or(unknown_kind);
        let destination = self.destinations.entry(entry.destination).or_default();
        let shared_route = destination.shared_route.filter(|_| !kind.separate_routes);
        if self.endpoints.contains_key(&entry.endpoint) {
            self.update_endpoint(entry, kind, shared_route);
        } else if entry.state != EndpointState::Removed {
            self.add_endpoint(entry, kind, shared_route);
        }
    }

    fn update_endpoint(
        &mut self,
        entry: &EndpointUpdate,
        kind: DestinationKind,
        shared_route: Option<RouteId>,
    ) {
        let Some(endpoint) = self.endpoints.get_mut(&entry.endpoint) else { return };
        endpoint.update(entry, kind);
        if endpoint.is_removed {
            self.schedule.removal_timers.insert((self.now, entry.endpoint));
        }
        let route_before = endpoint.route;
        let route = shared_route.unwrap_or(route_before);
        endpoint.route = route;
        self.schedule.changed_destinations.push(endpoint.destination);
        self.schedule.route_users.leave(route_before, endpoint.destination);
        self.schedule.route_users.join(route, endpoint.destination);
        self.routes[route].capacity_hint = entry.capacity_hint;
        self.route_changed(route);
    }

    fn add_endpoint(&mut self, entry: &EndpointUpdate, kind: DestinationKind, shared_route: Option<RouteId>) {
        let destination = self.destinations.entry(entry.destination).or_default();
        let has_others = destination.endpoints.iter().rev().any(|id| !self.endpoints[id].is_removed);
        let kept_route = shared_route.filter(|_| has_others);
        let route = kept_route.unwrap_or_else(|| self.new_route(shared_route));
        self.set_shared_route(entry.destination, (!kind.separate_routes).then_some(route));
        self.destinations.entry(entry.destination).or_default().endpoints.push(entry.endpoint);
        self.schedule.route_users.join(route, entry.destination);
        self.routes[route].capacity_hint = entry.capacity_hint;
        let endpoint = Endpoint::new(entry, kind, route);
        self.endpoints.insert(entry.endpoint, endpoint);
        self.route_changed(route);
    }

    /// Creates a route, for example for an endpoint that is added to a destination without other endpoints. Two
    /// properties belong to the destination and are copied from its earlier route `before`: the Retry-After, and the
    /// need to warm up if that route was ejected or warming up.
    fn new_route(&mut self, before: Option<RouteId>) -> RouteId {
        let bucket = pacing::initial_bucket(self.now, &self.settings, &mut self.rng);
        let mut route = Route::new(self.now, bucket);
        if let Some(before) = before.map(|before| &self.routes[before]) {
            route.retry_after_until = before.retry_after_until;
            if before.health != RouteHealth::Healthy {
                route.health = RouteHealth::WarmingUp(self.now);
            }
        }
        let id = self.schedule.route_users.lowest_free(before);
        let routes = self.routes.len().max(id + 1);
        self.routes.resize_with(routes, Route::default);
        self.routes[id] = route;
        id
    }

    /// Sets the route that a destination's later endpoints share; `None` if its endpoints are separate routes.
    fn set_shared_route(&mut self, id: DestinationId, route: Option<RouteId>) {
        let destination = self.destinations.entry(id).or_default();
        let before = std::mem::replace(&mut destination.shared_route, route);
        if before == route {
            return;
        }
        if let Some(route) = route {
            self.schedule.route_users.join(route, id);
        }
        if let Some(before) = before {
            self.schedule.route_users.leave(before, id);
        }
        self.schedule.changed_destinations.push(id);
    }

    /// Applies [`Event::RouteState`] to the routes of a destination. If the state is for all endpoints and there are
    /// none, a new shared route keeps the state for endpoints that are added later.
    pub(super) fn on_route_state(
        &mut self,
        id: DestinationId,
        endpoint: Option<EndpointId>,
        begins_cold: bool,
        retry_after: Micros,
    ) {
        let endpoints = self.destinations.get(&id).map_or(&[][..], |destination| &destination.endpoints);
        let matching = endpoints.iter().filter(|id| endpoint.is_none_or(|only| only == **id));
        let mut routes: Vec<RouteId> = matching.map(|id| self.endpoints[id].route).collect();
        if routes.is_empty() && endpoint.is_none() {
            let route = self.new_route(None);
            routes.push(route);
            self.set_shared_route(id, Some(route));
        }
        for id in routes {
            let route = &mut self.routes[id];
            if begins_cold {
                route.health = RouteHealth::Ejected;
            }
            let until = retry::retry_after_until(self.now, retry_after);
            route.retry_after_until = route.retry_after_until.max(until);
            self.route_changed(id);
        }
    }

    /// Applies the health checks of a destination. A route that becomes critical is ejected until a call succeeds.
    /// A successful call overrules a failing health check, and a passing health check alone ends no ejection.
    fn apply_health_checks(&mut self, destination: DestinationId) {
        let Some(ids) = self.destinations.get(&destination).map(|d| d.endpoints.clone()) else { return };
        let endpoints = ids.iter().map(|id| &self.endpoints[id]);
        let passing = endpoints.filter(|e| e.accepts_calls && e.health != HealthStatus::Critical);
        let passing_routes: BTreeSet<RouteId> = passing.map(|endpoint| endpoint.route).collect();
        for id in ids {
            let Some(endpoint) = self.endpoints.get_mut(&id) else { continue };
            let route_id = endpoint.route;
            let route = &mut self.routes[route_id];
            let result = outlier_detection::evaluate_health_checks(
                endpoint.health,
                !passing_routes.is_empty(),
                passing_routes.contains(&route_id),
                route.is_critical,
            );
            endpoint.is_excluded = result.excludes_endpoint;
            if result.route_is_critical && !route.is_critical {
                route.health = RouteHealth::Ejected;
                // The ejection is recorded as a failure, so the success of a call sent before does not end it.
                route.traffic_mut().failures.extend_span(self.now);
            }
            route.is_critical = result.route_is_critical;
            self.route_changed(route_id);
        }
        self.schedule.changed_destinations.push(destination);
    }

    /// Drops removed endpoints that have no calls in flight and whose Retry-After has ended.
    pub(super) fn drop_removed_endpoints(&mut self) {
        while let Some(id) = self.schedule.pop_due_removal(self.now) {
            let endpoint = self.endpoints.get(&id);
            let Some(endpoint) = endpoint.filter(|e| e.is_removed && e.traffic().in_flight == 0) else {
                continue;
            };
            let route = &self.routes[endpoint.route];
            match draining::removal(route.retry_after_until, self.now) {
                Removal::KeepUntil(at) => {
                    self.schedule.removal_timers.insert((at, id));
                }
                Removal::Drop => self.drop_endpoint(id),
            }
        }
    }

    fn drop_endpoint(&mut self, id: EndpointId) {
        let Some(endpoint) = self.endpoints.remove(&id) else { return };
        self.schedule.route_users.leave(endpoint.route, endpoint.destination);
        if let Some(destination) = self.destinations.get_mut(&endpoint.destination) {
            destination.endpoints.retain(|other| *other != id);
        }
        let route = RouteRef { destination: endpoint.destination, endpoint: Some(id) };
        self.schedule.set_faulty(route, false);
        self.schedule.changed_destinations.push(endpoint.destination);
    }
}

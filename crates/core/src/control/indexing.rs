//! Upkeep of what finds the destinations and routes that a step has to look at. It decides nothing: what may go, and
//! when, is asked of the decisions, for the destinations whose state has changed or whose time has come.

use super::{BUDGET_SHARE, Controller, SECOND};
use crate::interface::{DestinationId, EndpointId, FaultyRouteId, Micros};
use crate::route_users::RouteUsers;
use crate::state::{CallId, Destination, Health, Rank, Route, RouteId};
use crate::timer_queue::TimerQueue;
use crate::waiting::{Wait, WaitingIndex};
use std::collections::BTreeSet;

/// The indexes of a controller.
#[derive(Debug)]
pub(super) struct Index {
    pub users: RouteUsers,
    /// Calls out on routes that are sick.
    pub sick_calls: usize,
    /// Calls out, by their routes.
    pub route_calls: BTreeSet<(RouteId, CallId)>,
    /// Destinations whose state has changed since they were indexed: as waiting, and as in trouble.
    pub changed: Vec<DestinationId>,
    pub unassessed: Vec<DestinationId>,
    pub waiting: WaitingIndex,
    /// Routes in trouble, and whether there are others since this was last asked.
    pub troubled: BTreeSet<FaultyRouteId>,
    pub troubled_changed: bool,
    /// When destinations that come back end to be in trouble.
    pub warming: TimerQueue<DestinationId>,
    /// When endpoints that are gone may be forgotten.
    pub gone: BTreeSet<(Micros, EndpointId)>,
    /// Destinations looked at, ever.
    pub work: u64,
}

impl Default for Index {
    fn default() -> Self {
        Index {
            users: RouteUsers::default(),
            sick_calls: 0,
            route_calls: BTreeSet::new(),
            changed: Vec::new(),
            unassessed: Vec::new(),
            waiting: WaitingIndex::default(),
            troubled: BTreeSet::new(),
            troubled_changed: true,
            warming: TimerQueue::default(),
            gone: BTreeSet::new(),
            work: 0,
        }
    }
}

impl Controller {
    /// The route of a destination for its endpoints to come.
    pub(super) fn share_route(&mut self, id: DestinationId, route: Option<RouteId>) {
        let destination = self.destinations.entry(id).or_default();
        let before = std::mem::replace(&mut destination.shared, route);
        if before != route {
            route.into_iter().for_each(|route| self.index.users.join(route, id));
            before.into_iter().for_each(|route| self.index.users.leave(route, id));
            self.index.changed.push(id);
        }
    }

    pub(super) fn change_queue(
        &mut self,
        id: DestinationId,
        change: impl FnOnce(&mut BTreeSet<Rank>) -> bool,
    ) {
        let queue = &mut self.destinations.entry(id).or_default().queue;
        let before = queue.len();
        change(queue);
        self.index.waiting.resize(id, before, queue.len());
        self.index.changed.push(id);
    }

    /// Tells the indexes that a route has changed: the count of sick calls, and the destinations on it.
    pub(super) fn route_changed(&mut self, id: RouteId) {
        let route = &mut self.routes[id];
        let calls = if route.sick() { route.in_flight } else { 0 };
        if calls != route.sick_calls {
            self.index.sick_calls = self.index.sick_calls + calls - route.sick_calls;
            route.sick_calls = calls;
        }
        self.index.changed.extend(self.index.users.destinations(id));
    }

    /// Brings the index of waiting destinations up to date with what has changed or come due.
    pub(super) fn index_changed(&mut self) {
        self.index.changed.extend(self.index.waiting.pop_changed(self.now));
        let mut changed = std::mem::take(&mut self.index.changed);
        changed.sort_unstable();
        changed.dedup();
        for id in &changed {
            let wait = self.destinations.get(id).filter(|d| !d.queue.is_empty()).map(|d| self.wait_of(d));
            self.index.work += u64::from(wait.is_some());
            self.index.waiting.set(*id, wait);
        }
        self.index.unassessed.append(&mut changed);
    }

    /// What a destination with a queue waits for.
    fn wait_of(&self, destination: &Destination) -> Wait {
        let routes = || destination.endpoints.iter().map(|e| self.endpoints[e].route);
        let ready = self.next_of(destination, false);
        let sick = ready.is_some() && routes().any(|route| self.routes[route].sick());
        Wait {
            found_at: self.now,
            ready,
            ready_healthy: if sick { self.next_of(destination, true) } else { ready },
            changes_at: routes().filter_map(|route| self.changes_at(route)).min(),
            draw_at: routes().filter(|r| self.budget(*r).is_some()).map(|r| self.routes[r].draw_at).min(),
        }
    }

    /// Not later than the moment from which `opens_at` is another by time alone; none where it stays.
    fn changes_at(&self, id: RouteId) -> Option<Micros> {
        let route = &self.routes[id];
        let paced = route.paced(&self.set).map_or(self.now, |rate| route.bucket.opens_after(self.now, rate));
        let fixed = route.wait_until.max(route.pause_until).max(paced);
        let Some(calls) = self.budget(id) else { return Some(fixed).filter(|at| *at > self.now) };
        let budget = self.budget_changes_at(route, calls);
        if self.budget_opens_at(route, calls) > self.now {
            budget.map(|at| at.max(fixed))
        } else {
            Some(fixed).filter(|at| *at > self.now).or(budget)
        }
    }

    /// The same for the budget alone. Without a push-back the route's share follows the time, so its calls may
    /// fall at any moment, but what opens it then is the next draw or the end of a send's span.
    fn budget_changes_at(&self, route: &Route, calls: f64) -> Option<Micros> {
        let steady = route.pushed.is_some();
        let draw = (calls < 1.0 || !steady).then_some(route.draw_at);
        let mut spans = route.sends.iter().map(|at| at + self.set.overload_window);
        let span = spans.find(|end| *end > self.now).filter(|_| calls >= 1.0 || !steady);
        let warmer = match route.health {
            Health::Warming(since) if steady => Some(since + self.set.warm_up_time),
            Health::Warming(since) => Some(since + self.next_call_after(route, calls)),
            _ => None,
        };
        [draw, span, warmer].into_iter().flatten().min().map(|at| at.max(self.now + 1))
    }

    /// How long a route warms at least until its budget has grown by a whole call, or has no bounds.
    fn next_call_after(&self, route: &Route, calls: f64) -> Micros {
        let set = &self.set;
        let warm =
            set.overload_factor * route.share(self.now, set) * BUDGET_SHARE * set.overload_window as f64;
        let part = (calls.max(0.0).floor() + 1.0) * SECOND as f64 / warm;
        let risen = (part - set.cold_capacity_share) / (1.0 - set.cold_capacity_share);
        // A rounding error may not make it later; where nothing rises there is no such moment.
        let rises = warm > 0.0 && set.cold_capacity_share < 1.0;
        let most = set.warm_up_time as f64;
        if rises { (risen * most * (1.0 - 1e-9)).clamp(0.0, most) as Micros - 2 } else { set.warm_up_time }
    }

    /// Brings the set of routes in trouble up to date with what has changed or come due.
    pub(super) fn assess_troubled(&mut self) {
        self.index.unassessed.extend(std::iter::from_fn(|| self.index.warming.pop_due(self.now)));
        let mut unassessed = std::mem::take(&mut self.index.unassessed);
        unassessed.sort_unstable();
        unassessed.dedup();
        for id in unassessed {
            let Some(destination) = self.destinations.get(&id) else { continue };
            let places = destination.endpoints.iter().map(|e| (Some(*e), &self.endpoints[e]));
            let apart =
                places.map(|(id, place)| (id, Some(place.route).filter(|_| place.kind.separate_routes)));
            // A destination in trouble may have no endpoint just now.
            let routes = apart.chain([(None, destination.shared)]);
            let mut ends = None;
            for (endpoint, route) in routes {
                let route = route.map(|route| &self.routes[route]);
                let troubled = route.is_some_and(|route| self.is_troubled(route));
                if let Some(Health::Warming(since)) = route.map(|r| r.health).filter(|_| troubled) {
                    let end = since + self.set.warm_up_time;
                    ends = Some(ends.map_or(end, |other: Micros| other.min(end)));
                }
                let id = (id, endpoint);
                let news =
                    if troubled { self.index.troubled.insert(id) } else { self.index.troubled.remove(&id) };
                self.index.troubled_changed |= news;
            }
            self.index.work += 1;
            self.index.warming.set(id, ends);
        }
    }
}

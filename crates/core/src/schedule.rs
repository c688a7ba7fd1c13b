//! Finds the destinations, routes and messages that a step has to examine, with indexes and timers. This module has no
//! rules. The rules decide what may be sent and when, for the destinations whose state has changed or whose timer is
//! due.

use crate::call::CallId;
use crate::interface::{DestinationId, EndpointId, MessageId, Micros, RouteRef};
use crate::route::RouteId;
use crate::route_users::RouteUsers;
use crate::timer_queue::TimerQueue;
use crate::waiting_index::WaitingIndex;
use std::collections::BTreeSet;

/// The indexes and timers of a controller.
#[derive(Debug)]
pub(crate) struct Schedule {
    pub route_users: RouteUsers,
    /// Number of calls in flight on routes for which `Route::is_faulty` returns `true`.
    pub faulty_calls: usize,
    /// Calls in flight, by their routes.
    pub route_calls: BTreeSet<(RouteId, CallId)>,
    /// Destinations whose state has changed since the index of waiting destinations was updated.
    pub changed_destinations: Vec<DestinationId>,
    /// Destinations whose state has changed since `faulty_routes` was updated, so that their routes have to be checked.
    pub destinations_to_recheck: Vec<DestinationId>,
    pub waiting: WaitingIndex,
    /// Routes whose state a later process has to know.
    pub faulty_routes: BTreeSet<RouteRef>,
    /// Whether `faulty_routes` has changed since this was last queried.
    pub faulty_routes_changed: bool,
    /// When destinations have warmed up.
    pub warm_up_timers: TimerQueue<DestinationId>,
    /// When removed endpoints may be dropped.
    pub removal_timers: BTreeSet<(Micros, EndpointId)>,
    /// When messages have to be examined.
    pub message_timers: BTreeSet<(Micros, MessageId)>,
    /// When calls have to be examined.
    pub call_timers: BTreeSet<(Micros, CallId)>,
    /// When the last requested timer is due; `Micros::MAX` if none is set.
    pub timer_at: Micros,
    /// Number of destinations examined since the start.
    pub destinations_examined: u64,
}

impl Default for Schedule {
    fn default() -> Self {
        Schedule {
            route_users: RouteUsers::default(),
            faulty_calls: 0,
            route_calls: BTreeSet::new(),
            changed_destinations: Vec::new(),
            destinations_to_recheck: Vec::new(),
            waiting: WaitingIndex::default(),
            faulty_routes: BTreeSet::new(),
            faulty_routes_changed: true,
            warm_up_timers: TimerQueue::default(),
            removal_timers: BTreeSet::new(),
            message_timers: BTreeSet::new(),
            call_timers: BTreeSet::new(),
            timer_at: Micros::MAX,
            destinations_examined: 0,
        }
    }
}

impl Schedule {
    /// Iterates over the calls in flight on a route.
    pub fn calls_of(&self, route: RouteId) -> impl Iterator<Item = CallId> {
        self.route_calls.range((route, 0)..=(route, CallId::MAX)).map(|(_, call)| *call)
    }

    /// Removes and returns the message whose timer is first, if it is due.
    pub fn pop_due_message(&mut self, now: Micros) -> Option<MessageId> {
        let &(_, message) = self.message_timers.first().filter(|(at, _)| *at <= now)?;
        self.message_timers.pop_first();
        Some(message)
    }

    /// Removes and returns the call whose timer is first, if it is due.
    pub fn pop_due_call(&mut self, now: Micros) -> Option<CallId> {
        let &(_, call) = self.call_timers.first().filter(|(at, _)| *at <= now)?;
        self.call_timers.pop_first();
        Some(call)
    }

    /// Removes and returns the removed endpoint that is first, if it is due.
    pub fn pop_due_removal(&mut self, now: Micros) -> Option<EndpointId> {
        let &(_, endpoint) = self.removal_timers.first().filter(|(at, _)| *at <= now)?;
        self.removal_timers.pop_first();
        Some(endpoint)
    }

    /// Returns the time of the first timer of a message or call, or of the last requested timer if that is earlier.
    pub fn first_timer(&self) -> Micros {
        let message_at = self.message_timers.first().map_or(Micros::MAX, |timer| timer.0);
        let call_at = self.call_timers.first().map_or(Micros::MAX, |timer| timer.0);
        message_at.min(call_at).min(self.timer_at)
    }

    /// Adds a route to the faulty routes or removes it.
    pub fn set_faulty(&mut self, route: RouteRef, is_faulty: bool) {
        let has_changed =
            if is_faulty { self.faulty_routes.insert(route) } else { self.faulty_routes.remove(&route) };
        self.faulty_routes_changed |= has_changed;
    }
}

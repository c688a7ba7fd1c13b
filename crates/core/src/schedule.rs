//! Finds the destinations, routes and messages that a step has to look at: indexes and timers. It holds no rule; what
//! may go, and when, is asked of the rules for the destinations whose state has changed or whose time has come.

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
    /// Calls in flight on routes that are faulty.
    pub faulty_calls: usize,
    /// Calls in flight, by their routes.
    pub route_calls: BTreeSet<(RouteId, CallId)>,
    /// Destinations whose state has changed since they were indexed as waiting.
    pub changed: Vec<DestinationId>,
    /// Destinations whose state has changed since their faulty routes were listed.
    pub unassessed: Vec<DestinationId>,
    pub waiting: WaitingIndex,
    /// Routes that a later process has to know of.
    pub faulty_routes: BTreeSet<RouteRef>,
    /// Whether they have changed since this was last asked.
    pub faulty_routes_changed: bool,
    /// When destinations have warmed up.
    pub warming: TimerQueue<DestinationId>,
    /// When removed endpoints may be forgotten.
    pub removed: BTreeSet<(Micros, EndpointId)>,
    /// When messages have to be looked at.
    pub message_timers: BTreeSet<(Micros, MessageId)>,
    /// When calls have to be looked at.
    pub call_timers: BTreeSet<(Micros, CallId)>,
    /// When the timer that was asked for last is due.
    pub timer_at: Micros,
    /// Destinations looked at, ever.
    pub work: u64,
}

impl Default for Schedule {
    fn default() -> Self {
        Schedule {
            route_users: RouteUsers::default(),
            faulty_calls: 0,
            route_calls: BTreeSet::new(),
            changed: Vec::new(),
            unassessed: Vec::new(),
            waiting: WaitingIndex::default(),
            faulty_routes: BTreeSet::new(),
            faulty_routes_changed: true,
            warming: TimerQueue::default(),
            removed: BTreeSet::new(),
            message_timers: BTreeSet::new(),
            call_timers: BTreeSet::new(),
            timer_at: Micros::MAX,
            work: 0,
        }
    }
}

impl Schedule {
    /// Calls in flight on a route.
    pub fn calls_of(&self, route: RouteId) -> impl Iterator<Item = CallId> {
        self.route_calls.range((route, 0)..=(route, CallId::MAX)).map(|(_, call)| *call)
    }

    /// Takes out the message whose timer is due first, if its time has come.
    pub fn pop_due_message(&mut self, now: Micros) -> Option<MessageId> {
        let &(_, message) = self.message_timers.first().filter(|(at, _)| *at <= now)?;
        self.message_timers.pop_first();
        Some(message)
    }

    /// Takes out the call whose timer is due first, if its time has come.
    pub fn pop_due_call(&mut self, now: Micros) -> Option<CallId> {
        let &(_, call) = self.call_timers.first().filter(|(at, _)| *at <= now)?;
        self.call_timers.pop_first();
        Some(call)
    }

    /// Takes out the removed endpoint that is due first, if its time has come.
    pub fn pop_due_removal(&mut self, now: Micros) -> Option<EndpointId> {
        let &(_, endpoint) = self.removed.first().filter(|(at, _)| *at <= now)?;
        self.removed.pop_first();
        Some(endpoint)
    }

    /// The first timer of a message or call, or the timer that was asked for last.
    pub fn first_timer(&self) -> Micros {
        let message_at = self.message_timers.first().map_or(Micros::MAX, |timer| timer.0);
        let call_at = self.call_timers.first().map_or(Micros::MAX, |timer| timer.0);
        message_at.min(call_at).min(self.timer_at)
    }

    /// Lists a route as faulty, or not.
    pub fn set_faulty(&mut self, route: RouteRef, is_faulty: bool) {
        let has_changed =
            if is_faulty { self.faulty_routes.insert(route) } else { self.faulty_routes.remove(&route) };
        self.faulty_routes_changed |= has_changed;
    }
}

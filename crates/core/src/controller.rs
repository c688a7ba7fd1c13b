//! The controller of one forwarder. It receives events and decides what the forwarder does.
//!
//! It holds the state and calls the rules, each of which has its own module: `queue`, `admission`, `retry`,
//! `selection`, `concurrency_limit`, `pacing`, `outlier_detection`, `slow_start`, `timeouts`, `draining`. The
//! submodules of this module apply them, one submodule for each kind of event. `route` combines the rules that apply to
//! a route.

mod calls;
mod endpoints;
mod final_answers;
mod indexing;
mod messages;
mod outcomes;
mod timers;

use crate::call::{Attempt, AttemptId, Call, CallId};
use crate::endpoint::{Destination, Endpoint};
use crate::interface::*;
use crate::message::Message;
use crate::outlier_detection::RouteHealth;
use crate::queue::OrderKeyQueue;
use crate::rng::SeededRng;
use crate::route::Route;
use crate::schedule::Schedule;
use crate::timeouts::StallHistory;
use std::collections::{BTreeMap, BTreeSet};

/// The controller of one forwarder. See [`Controller::step`].
#[derive(Debug, Default)]
pub struct Controller {
    settings: Settings,
    rng: SeededRng,
    now: Micros,
    messages: BTreeMap<MessageId, Message>,
    /// Messages whose attempt ended or whose attempt history arrived in this step, and about which no decision has been
    /// made yet.
    undecided_messages: Vec<MessageId>,
    attempts: BTreeMap<AttemptId, Attempt>,
    calls: BTreeMap<CallId, Call>,
    /// The number given to the latest call or timer. Both are numbered in one sequence.
    last_number: u64,
    order_keys: BTreeMap<u64, OrderKeyQueue>,
    destinations: BTreeMap<DestinationId, Destination>,
    endpoints: BTreeMap<EndpointId, Endpoint>,
    routes: Vec<Route>,
    schedule: Schedule,
    stalls: StallHistory,
    /// When the forwarder stops; `None` if it is not shutting down.
    shutdown_at: Option<Micros>,
}

impl Controller {
    /// Creates a controller without messages, endpoints or calls; `seed` determines all its random draws.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Controller { settings, rng: SeededRng::new(seed), ..Controller::default() }
    }

    /// Returns the routes whose state a later process has to know: those that are ejected, failing repeatedly with
    /// errors, or warming up. After a restart [`Event::RouteState`] restores their state, because the messages that
    /// waited for them would otherwise overload a cold destination.
    ///
    /// The limit on calls to faulty routes uses another condition. A route that is only warming up is in this set but
    /// is not limited, and a route that is only slow or rejecting is limited but is not in this set.
    pub fn faulty_routes(&self) -> BTreeSet<RouteRef> {
        self.schedule.faulty_routes.clone()
    }

    /// Returns whether [`Self::faulty_routes`] has changed since the previous call of this method; the first call
    /// returns `true`.
    pub fn take_faulty_routes_changed(&mut self) -> bool {
        std::mem::take(&mut self.schedule.faulty_routes_changed)
    }

    /// Returns how many destinations have been examined so far, as a measure of the work done.
    pub fn destinations_examined(&self) -> u64 {
        self.schedule.destinations_examined
    }

    /// Returns the random number generator in its current state.
    pub fn rng(&self) -> &SeededRng {
        &self.rng
    }

    /// Returns whether an endpoint gets only trial calls or no calls now; `true` for an endpoint that is not in the
    /// list.
    pub fn gets_no_regular_calls(&self, id: EndpointId) -> bool {
        let Some(endpoint) = self.endpoints.get(&id) else { return true };
        let is_ejected = self.routes[endpoint.route].health == RouteHealth::Ejected;
        !endpoint.accepts_calls || endpoint.is_excluded || is_ejected
    }

    /// Applies all events of a step, then decides once and appends the resulting actions to `actions`. `now` must not
    /// decrease from one step to the next.
    pub fn step(&mut self, now: Micros, events: &[Event], actions: &mut Vec<Action>) {
        self.now = now;
        events.iter().for_each(|event| self.on_event(event));
        self.requeue_or_give_up_messages(actions);
        self.run_message_timers(actions);
        self.run_call_timers(actions);
        self.shed_messages(actions);
        self.send_ready_messages(actions);
        self.drop_removed_endpoints();
        self.set_timer(actions);
        self.update_faulty_routes();
    }

    fn on_event(&mut self, event: &Event) {
        match event {
            // The tenant has no effect, because there is no rule for messages over a quota.
            Event::Message { id, destination, class, order_key, time_left, is_retry, .. } => {
                let class = self.settings.classes.get(*class).cloned().unwrap_or_default();
                let message = self.new_message(*destination, class, *order_key, *time_left, *is_retry);
                self.on_message(*id, message);
            }
            Event::AttemptHistory { id, attempts, possible_delivery } => {
                self.on_attempt_history(*id, *attempts, *possible_delivery);
            }
            Event::RouteState { destination, endpoint, begins_cold, retry_after } => {
                self.on_route_state(*destination, *endpoint, *begins_cold, *retry_after);
            }
            Event::Settings(settings) => {
                self.settings = (**settings).clone();
                self.schedule.changed_destinations.extend(self.destinations.keys());
            }
            Event::ShuttingDown { time_left } => {
                self.shutdown_at = Some(self.now + *time_left);
                self.schedule.changed_destinations.extend(self.schedule.waiting.ids());
            }
            Event::Withdrawn { id } => self.remove_message(*id),
            Event::AttemptEnded(result) => self.on_attempt_ended(result),
            Event::EndpointList { kind, entries } => self.on_endpoint_list(*kind, entries),
            Event::Timer { .. } => self.on_timer(),
            Event::ResponseStarted { .. } | Event::HealthChecked { .. } | Event::Gossip { .. } => {}
        }
    }
}

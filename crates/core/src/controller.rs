//! The controller of one forwarder: takes in what has happened and decides what to do.
//!
//! It holds the state and orders the rules, each of which has a module of its own: `queue`, `admission`, `retry`,
//! `selection`, `concurrency_limit`, `pacing`, `outlier_detection`, `slow_start`, `timeouts`, `draining`. The modules
//! below this one apply them, by the kind of event. `route` combines the rules that bear on a route.

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

/// One controller for one forwarder. See [`Controller::step`].
#[derive(Debug, Default)]
pub struct Controller {
    settings: Settings,
    rng: SeededRng,
    now: Micros,
    messages: BTreeMap<MessageId, Message>,
    /// Messages with an attempt that ended in this batch, still to be decided on.
    unsettled: Vec<MessageId>,
    attempts: BTreeMap<AttemptId, Attempt>,
    calls: BTreeMap<CallId, Call>,
    /// Number of the latest call or timer.
    last_number: u64,
    order_keys: BTreeMap<u64, OrderKeyQueue>,
    destinations: BTreeMap<DestinationId, Destination>,
    endpoints: BTreeMap<EndpointId, Endpoint>,
    routes: Vec<Route>,
    schedule: Schedule,
    stalls: StallHistory,
    /// When the forwarder stops, once that is known.
    shutdown_at: Option<Micros>,
}

impl Controller {
    /// A controller that has seen nothing; `seed` is its only source of chance.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Controller { settings, rng: SeededRng::new(seed), ..Controller::default() }
    }

    /// Routes that are ejected, failing with errors or warming up, for [`Event::RouteState`] after a restart: messages that
    /// waited for them would else overload a cold destination. The limit on calls to faulty routes has another rule: a
    /// route that is only warming up is here and not bound by it, one that is only slow or rejecting is bound and not here.
    pub fn faulty_routes(&self) -> BTreeSet<RouteRef> {
        self.schedule.faulty_routes.clone()
    }

    /// Whether [`Self::faulty_routes`] has changed since this was last asked; at first it has.
    pub fn take_faulty_routes_changed(&mut self) -> bool {
        std::mem::take(&mut self.schedule.faulty_routes_changed)
    }

    /// How many destinations were looked at so far: the measure of a step's work.
    pub fn work(&self) -> u64 {
        self.schedule.work
    }

    /// The random number generator, as it stands.
    pub fn rng(&self) -> &SeededRng {
        &self.rng
    }

    /// Whether nothing but trial calls goes to an endpoint now; so for an endpoint that is not in the list.
    pub fn gets_no_regular_calls(&self, id: EndpointId) -> bool {
        let Some(endpoint) = self.endpoints.get(&id) else { return true };
        let is_ejected = self.routes[endpoint.route].health == RouteHealth::Ejected;
        !endpoint.accepts_calls || endpoint.is_excluded || is_ejected
    }

    /// Takes in all events of a batch, then decides once. `now` never goes back.
    pub fn step(&mut self, now: Micros, events: &[Event], actions: &mut Vec<Action>) {
        self.now = now;
        events.iter().for_each(|event| self.on_event(event));
        self.settle_messages(actions);
        self.run_message_timers(actions);
        self.run_call_timers(actions);
        self.shed_messages(actions);
        self.send_ready_messages(actions);
        self.forget_removed_endpoints();
        self.set_timer(actions);
        self.update_faulty_routes();
    }

    fn on_event(&mut self, event: &Event) {
        match event {
            // The tenant has no effect: there is no rule for messages over a quota.
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
                self.schedule.changed.extend(self.destinations.keys());
            }
            Event::ShuttingDown { time_left } => {
                self.shutdown_at = Some(self.now + *time_left);
                self.schedule.changed.extend(self.schedule.waiting.ids());
            }
            Event::Withdrawn { id } => self.forget_message(*id),
            Event::AttemptEnded(result) => self.on_attempt_ended(result),
            Event::EndpointList { kind, entries } => self.on_endpoint_list(*kind, entries),
            Event::Timer { .. } => self.on_timer(),
            Event::ResponseStarted { .. } | Event::HealthChecked { .. } | Event::Gossip { .. } => {}
        }
    }
}

//! The reducer makes every change of the forwarder's state. It does no I/O and reads no clock.
//!
//! [`Reducer::step`] takes one input and returns the effects that follow from it, in the order in which they are to be
//! carried out. It passes the input to the component that owns the state. Each component is a struct in a module of its
//! own, and its fields are private to that module. A change that has to be durable before it becomes visible waits
//! until the journal reports its append; see the module `durability`.

mod attempts;
mod call_results;
mod call_table;
mod clients;
mod controller_driver;
mod destinations;
mod durability;
mod endpoint_discovery;
mod endpoint_table;
mod final_answers;
mod fleet_policy;
mod handover;
mod handover_schedule;
mod journaled_messages;
mod list_record;
mod listed_endpoints;
mod message_content;
mod message_table;
mod operator_overrides;
mod ownership;
mod pending_appends;
mod recovered_state;
mod reload;
mod repeat_rules;
mod retry_after_table;
mod route_state;
mod shutdown;
mod start;
mod submission;
mod takeover;
mod upgrade;

use crate::connection_pool::ConnectionPool;
use crate::input::{Effect, Input, RequestId, SubmitAnswer};
use crate::metrics::Metrics;
use attempts::Send;
use call_table::{AttemptId, CallTable};
use clients::Clients;
use controller_driver::ControllerDriver;
use durability::Durability;
use endpoint_discovery::EndpointDiscovery;
use endpoint_table::EndpointTable;
use final_answers::{FinishedIds, PendingAnswers};
use fleet_policy::FleetPolicy;
use handover_schedule::HandoverSchedule;
use list_record::ListRecord;
use message_table::MessageTable;
use operator_overrides::OperatorOverrides;
use orchidyoke_core::interface::{Action, Micros, Settings};
use orchidyoke_core::settings::Names;
use orchidyoke_journal::FinalAnswer;
use ownership::Ownership;
use retry_after_table::RetryAfterTable;
use route_state::FaultyRoutes;
use shutdown::ShutdownState;
use upgrade::Upgrade;

const SECOND_US: Micros = 1_000_000;

/// The state of one forwarder, which changes only in [`Reducer::step`].
#[derive(Debug)]
pub struct Reducer {
    /// The configuration in force. A reload replaces it as a whole.
    settings: Settings,
    names: Names,
    /// Counters that every component increments.
    metrics: Metrics,
    /// Effects collected so far for the input that is being processed.
    effects: Vec<Effect>,

    controller: ControllerDriver,
    discovery: EndpointDiscovery,
    endpoints: EndpointTable,
    list_record: ListRecord,
    retry_after: RetryAfterTable,
    /// Faulty routes as last recorded in the journal.
    faulty_routes: FaultyRoutes,
    messages: MessageTable,
    calls: CallTable,
    pool: ConnectionPool,
    durability: Durability,
    finished: FinishedIds,
    final_answers: PendingAnswers,
    ownership: Ownership,
    handovers: HandoverSchedule,
    upgrade: Upgrade,
    operator_overrides: OperatorOverrides,
    policy: FleetPolicy,
    clients: Clients,
    /// Progress of the shutdown; `None` until [`Input::Shutdown`] arrives.
    shutdown: Option<ShutdownState>,
}

impl Reducer {
    /// Processes one input and returns the effects to carry out, in order. `now` is Unix time in microseconds and never
    /// decreases.
    pub fn step(&mut self, now: Micros, input: Input) -> Vec<Effect> {
        self.dispatch(now, input);
        self.run_handover_decisions(now);
        self.start_watch_if_due(now);
        self.post_notifications(now);
        self.advance_shutdown(now);
        std::mem::take(&mut self.effects)
    }

    fn dispatch(&mut self, now: Micros, input: Input) {
        match input {
            Input::Submitted { request, message } => self.submit(now, request, message),
            Input::Withdrawn { request } => self.withdraw(request),
            Input::ClientConnection { connected } => self.clients.on_connection(connected),
            Input::ClientServed => self.clients.on_served(),
            Input::ListenerClosed => self.clients.on_listener_closed(),
            Input::Appended { append, stored, size } => self.on_appended(now, append, stored, size),
            Input::ConnectionUp { connection } => self.on_connection_up(now, connection),
            Input::AdmissionBlocked => self.reject_undecided(),
            Input::AcceptingClients => self.accept_clients(),
            Input::OtherProcessesUpdated { updates, removed } => {
                self.on_other_processes(now, updates, &removed)
            }
            Input::Operator { request, call } => self.on_operator_call(now, request, call),
            Input::CallWritten { connection } => self.on_call_written(connection),
            Input::CallExpired { connection } => self.on_call_expired(now, connection),
            Input::CallAnswered { connection, reply, reusable } => {
                self.on_call_answered(now, connection, &reply, reusable);
            }
            Input::ConnectionClosed { connection, error } => {
                self.on_connection_closed(now, connection, &error);
            }
            Input::WatchEvent { watch, event } if self.discovery.is_current(watch) => {
                self.on_watch_event(now, event);
            }
            Input::WatchEnded { watch, reason, retry_after_ms, silence }
                if self.discovery.is_current(watch) =>
            {
                self.on_watch_ended(now, &reason, retry_after_ms, silence);
            }
            // Ignored: a watch that has been replaced sent one more event or ended.
            Input::WatchEvent { .. } | Input::WatchEnded { .. } => {}
            Input::NotificationsPosted { accepted } => self.on_notifications_posted(now, accepted),
            Input::PolicyStatus(status) => self.policy.set_status(status),
            Input::OwnersChanged(view) => self.on_owners_changed(now, view),
            Input::OfferEnded { id, outcome } => self.on_offer_ended(now, id, &outcome),
            Input::ConfigReloaded(config) => self.reload_config(now, *config),
            Input::Shutdown => self.begin_shutdown(now),
            Input::TimerDue => self.on_timer(now),
        }
    }

    /// Returns when [`Input::TimerDue`] is due if no other input arrives before, or `None` if no timer is set.
    pub fn wake_at(&self) -> Option<Micros> {
        let round = self.has_round_pending().then(|| self.next_round_at());
        let offers = self.handovers.wake_at().filter(|_| !self.upgrade.has_handed_off());
        let shutdown = self.shutdown.as_ref().and_then(|state| state.wake_at(&self.clients));
        let due = [
            round,
            self.controller.next_timer_at(),
            self.final_answers.wake_at(),
            self.discovery.wake_at(),
            offers,
            shutdown,
            self.pool.next_expiry(),
            self.next_warm_at(),
        ];
        due.into_iter().flatten().min()
    }

    fn on_timer(&mut self, now: Micros) {
        for connection in self.pool.take_expired(now) {
            self.effects.push(Effect::CloseConnection { connection });
        }
        self.end_warm_ups(now);
        self.controller.fire_timers(now);
        if self.has_round_pending() && now >= self.next_round_at() {
            self.run_controller(now);
        }
    }

    /// Returns whether the controller has events to process or a message waits for its decision.
    fn has_round_pending(&self) -> bool {
        self.controller.has_events() || self.messages.has_undecided()
    }

    /// Returns whether a message waits to be accepted.
    pub fn has_undecided_messages(&self) -> bool {
        self.messages.has_undecided()
    }

    /// Returns when the next round is due. Once nothing more is read from clients, messages that clients wait for are
    /// decided on without waiting for the next tick.
    fn next_round_at(&self) -> Micros {
        let has_stopped_reading = self.shutdown.as_ref().is_some_and(ShutdownState::has_stopped_reading);
        let is_urgent = has_stopped_reading && self.messages.has_undecided();
        self.controller.last_round_at() + if is_urgent { 0 } else { self.settings.tick }
    }

    /// Runs one controller round over the events since the last one and carries out its actions.
    fn run_controller(&mut self, now: Micros) {
        let mut sends = Vec::new();
        for action in self.controller.run_round(now) {
            match action {
                Action::Send { id, endpoint, timeout } => {
                    sends.push(Send { message: id, endpoint, timeout });
                }
                Action::Reject { id, retry_after } => {
                    let retry_after_ms = (retry_after + 999) / 1000;
                    self.finish(now, id, FinalAnswer::Rejected { retry_after_ms });
                }
                Action::Fail { id } => self.finish(now, id, FinalAnswer::Failed),
                Action::Cancel { id, attempt } => {
                    self.cancel_attempt(AttemptId { message: id, attempt });
                }
                Action::Timer { delay, token } => self.controller.set_timer(now + delay, token),
                Action::CloseIdle { endpoint } => self.close_idle(endpoint),
                Action::Log { text } => self.log(format!("controller: {text}")),
                // The forwarder always watches the list, and the platform has neither health checks that the controller
                // could request nor gossip between forwarders.
                Action::Watch { .. }
                | Action::PollList
                | Action::HealthCheck { .. }
                | Action::Gossip { .. } => {}
            }
        }
        self.record_faulty_routes();
        self.answer_messages_known_elsewhere(now, &mut sends);
        self.record_admitted();
        self.start_calls(now, sends);
        self.forget_unlisted();
    }

    fn log(&mut self, line: String) {
        self.effects.push(Effect::Log { line });
    }

    fn answer(&mut self, request: RequestId, answer: SubmitAnswer) {
        self.effects.push(Effect::Answer { request, answer });
    }
}

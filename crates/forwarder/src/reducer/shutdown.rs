//! Graceful shutdown: from SIGTERM to the exit.
//!
//! The process is killed 3.7 s after SIGTERM, by the supervisor (`TERMINATION_GRACE_MS` of its `machine`) or the platform.
//! Until [`ACCEPT_PERIOD_US`] clients are still accepted, unless there
//! is nothing to do before; then the last answers go out, and the process exits.

use super::Reducer;
use crate::input::Effect;
use orchidyoke_core::interface::{Event, Micros};

/// Time between SIGTERM and the end of accepting clients.
const ACCEPT_PERIOD_US: Micros = 3_250_000;
/// With no message held and no client connected for so long, accepting clients ends before that.
const IDLE_EXIT_AFTER_US: Micros = 500_000;
/// Time for the last answers to clients once none is accepted, and for their closes to linger. What is left of the 3.7 s
/// is for a stall.
const LAST_ANSWERS_US: Micros = 250_000;
/// With no client left the exit comes sooner, but not before connections that waited to be accepted have been counted.
const LAST_CONNECTIONS_US: Micros = 50_000;

/// What a shutdown is waiting for.
#[derive(Debug)]
pub(super) struct ShutdownState {
    stop_accepting_at: Micros,
    idle_since: Micros,
    /// When accepting clients was stopped.
    closed_at: Option<Micros>,
}

impl ShutdownState {
    /// The process is told to end.
    pub fn new(now: Micros) -> Self {
        ShutdownState { stop_accepting_at: now + ACCEPT_PERIOD_US, idle_since: now, closed_at: None }
    }

    /// When there is next something to do.
    pub fn wake_at(&self, clients: usize) -> Micros {
        let stop_accepting_at = self.stop_accepting_at.min(self.idle_since + IDLE_EXIT_AFTER_US);
        self.exit_at(clients).unwrap_or(stop_accepting_at)
    }

    /// When the process exits, once no client is accepted any more.
    fn exit_at(&self, clients: usize) -> Option<Micros> {
        let last = if clients == 0 { LAST_CONNECTIONS_US } else { LAST_ANSWERS_US };
        self.closed_at.map(|closed_at| closed_at + last)
    }
}

impl Reducer {
    /// SIGTERM: the controller drains, and a successor that is ready takes over at once.
    pub(super) fn begin_shutdown(&mut self, now: Micros) {
        if self.shutdown.is_none() {
            self.shutdown = Some(ShutdownState::new(now));
            self.controller.push(Event::ShuttingDown { time_left: ACCEPT_PERIOD_US });
            if self.upgrade.is_successor_ready() {
                self.hand_off(now);
            }
        }
    }

    /// The next step of a shutdown, if it is due.
    pub(super) fn advance_shutdown(&mut self, now: Micros) {
        let clients = self.clients.connected();
        let is_busy = clients > 0 || !self.messages.is_empty() || !self.final_answers.is_empty();
        let Some(state) = &mut self.shutdown else { return };
        if is_busy {
            state.idle_since = now;
        }
        match state.exit_at(clients) {
            None if now >= state.stop_accepting_at || now - state.idle_since >= IDLE_EXIT_AFTER_US => {
                // What clients have sent by now is still accepted: an end without an answer would lose it.
                state.closed_at = Some(now);
                self.clients.set_accepted(false);
                self.effects.push(Effect::StopAccepting);
            }
            Some(exit_at) if now >= exit_at => self.effects.push(Effect::Exit),
            _ => {}
        }
    }
}

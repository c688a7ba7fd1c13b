//! Graceful shutdown: from SIGTERM to the exit.
//!
//! The supervisor (`TERMINATION_GRACE_MS` in its module `machine`) or the platform kills the process 3.7 s after
//! SIGTERM. Clients are accepted until [`ACCEPT_PERIOD_US`] has passed, or until there has been nothing to do for
//! [`IDLE_EXIT_AFTER_US`]. After that the last answers are sent, and the process exits.

use super::Reducer;
use crate::input::Effect;
use orchidyoke_core::interface::{Event, Micros};

/// Time from SIGTERM until clients are no longer accepted.
const ACCEPT_PERIOD_US: Micros = 3_250_000;
/// Time without a message, a pending final answer or a connected client after which clients are no longer accepted,
/// even if [`ACCEPT_PERIOD_US`] has not passed.
const IDLE_EXIT_AFTER_US: Micros = 500_000;
/// Time for the last answers to clients once no client is accepted, and for their connections to linger when closed.
/// The rest of the 3.7 s is a reserve for a stall.
const LAST_ANSWERS_US: Micros = 250_000;
/// Time from the end of accepting clients until the exit if no client is connected. It is not 0 because connections
/// that waited to be accepted have to be counted first.
const LAST_CONNECTIONS_US: Micros = 50_000;

/// Progress of a shutdown.
#[derive(Debug)]
pub(super) struct ShutdownState {
    stop_accepting_at: Micros,
    idle_since: Micros,
    /// When accepting clients was stopped; `None` before.
    stopped_accepting_at: Option<Micros>,
}

impl ShutdownState {
    /// Starts a shutdown.
    pub fn new(now: Micros) -> Self {
        ShutdownState {
            stop_accepting_at: now + ACCEPT_PERIOD_US,
            idle_since: now,
            stopped_accepting_at: None,
        }
    }

    /// Returns when the next step of the shutdown is due.
    pub fn wake_at(&self, clients: usize) -> Micros {
        let stop_accepting_at = self.stop_accepting_at.min(self.idle_since + IDLE_EXIT_AFTER_US);
        self.exit_at(clients).unwrap_or(stop_accepting_at)
    }

    /// Returns when the process exits, or `None` while clients are still accepted.
    fn exit_at(&self, clients: usize) -> Option<Micros> {
        let last = if clients == 0 { LAST_CONNECTIONS_US } else { LAST_ANSWERS_US };
        self.stopped_accepting_at.map(|stopped_accepting_at| stopped_accepting_at + last)
    }
}

impl Reducer {
    /// Starts the shutdown at SIGTERM. The controller drains, and this process hands off immediately if a successor is
    /// ready.
    pub(super) fn begin_shutdown(&mut self, now: Micros) {
        if self.shutdown.is_none() {
            self.shutdown = Some(ShutdownState::new(now));
            self.controller.push(Event::ShuttingDown { time_left: ACCEPT_PERIOD_US });
            if self.upgrade.is_successor_ready() {
                self.hand_off(now);
            }
        }
    }

    /// Carries out the next step of a shutdown if it is due.
    pub(super) fn advance_shutdown(&mut self, now: Micros) {
        let clients = self.clients.connected();
        let is_busy = clients > 0 || !self.messages.is_empty() || !self.final_answers.is_empty();
        let Some(state) = &mut self.shutdown else { return };
        if is_busy {
            state.idle_since = now;
        }
        match state.exit_at(clients) {
            None if now >= state.stop_accepting_at || now - state.idle_since >= IDLE_EXIT_AFTER_US => {
                // Requests that clients have already sent are still accepted, because closing without an answer would
                // lose them.
                state.stopped_accepting_at = Some(now);
                self.clients.set_accepted(false);
                self.effects.push(Effect::StopAccepting);
            }
            Some(exit_at) if now >= exit_at => self.effects.push(Effect::Exit),
            _ => {}
        }
    }
}

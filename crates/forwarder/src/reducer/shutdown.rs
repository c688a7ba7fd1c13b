//! The stop: from SIGTERM to the exit.

use super::Reducer;
use crate::input::Effect;
use orchidyoke_core::interface::{Event, Micros};

/// Time between SIGTERM and the close of the sender side; the platform kills after 3.7 s.
const ACCEPT_PERIOD_US: Micros = 3_250_000;
/// With nothing held and no client connected, a forwarder told to end does so after this time.
const IDLE_EXIT_AFTER_US: Micros = 500_000;
/// Time for the sender side's last answers once no client is accepted, and for its closes to linger. What is left of the
/// 3.7 s is for a stall.
const LAST_ANSWERS_US: Micros = 250_000;

/// With no client left the exit comes sooner, but not before connections that waited to be taken have been counted.
const LAST_CONNECTIONS_US: Micros = 50_000;

/// What a stop is waiting for.
#[derive(Debug)]
pub(super) struct ShutdownState {
    stop_accepting_at: Micros,
    quiet_since: Micros,
    /// When accepting clients was stopped.
    closed_at: Option<Micros>,
}

impl ShutdownState {
    pub fn new(now: Micros) -> Self {
        ShutdownState { stop_accepting_at: now + ACCEPT_PERIOD_US, quiet_since: now, closed_at: None }
    }

    /// When there is next something to do.
    pub fn wake_at(&self, senders: usize) -> Micros {
        self.exit_at(senders).unwrap_or(self.stop_accepting_at.min(self.quiet_since + IDLE_EXIT_AFTER_US))
    }

    /// When the process ends, once no client is accepted any more.
    fn exit_at(&self, senders: usize) -> Option<Micros> {
        self.closed_at.map(|closed| closed + if senders == 0 { LAST_CONNECTIONS_US } else { LAST_ANSWERS_US })
    }
}

impl Reducer {
    pub(super) fn begin_shutdown(&mut self, now: Micros) {
        if self.shutdown.is_none() {
            self.shutdown = Some(ShutdownState::new(now));
            self.controller.push(Event::ShuttingDown { time_left: ACCEPT_PERIOD_US });
            if self.upgrade.is_successor_ready() {
                self.hand_off(now);
            }
        }
    }

    pub(super) fn advance_shutdown(&mut self, now: Micros) {
        let busy =
            self.clients.connected() > 0 || !self.messages.is_empty() || !self.final_answers.is_empty();
        let Some(leaving) = &mut self.shutdown else { return };
        if busy {
            leaving.quiet_since = now;
        }
        match leaving.exit_at(self.clients.connected()) {
            None if now >= leaving.stop_accepting_at || now - leaving.quiet_since >= IDLE_EXIT_AFTER_US => {
                // What clients have sent by now is still taken on: an end without an answer would lose it.
                leaving.closed_at = Some(now);
                self.clients.set_accepted(false);
                self.effects.push(Effect::StopAccepting);
            }
            Some(exit) if now >= exit => self.effects.push(Effect::Exit),
            _ => {}
        }
    }
}

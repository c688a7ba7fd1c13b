//! The stop: from SIGTERM to the exit.

use super::Reducer;
use crate::input::Effect;
use orchidyoke_core::interface::{Event, Micros};

/// Time between SIGTERM and the close of the sender side; the platform kills after 3.7 s.
const LEAVE_AFTER: Micros = 3_250_000;
/// With nothing held and no client connected, a forwarder told to end does so after this time.
const QUIET: Micros = 500_000;
/// Time for the sender side's last answers once no client is accepted, and for its closes to linger. What is left of the
/// 3.7 s is for a stall.
const LAST_ANSWERS: Micros = 250_000;

/// With no client left the exit comes sooner, but not before connections that waited to be taken have been counted.
const LAST_TAKEN: Micros = 50_000;

/// What a stop is waiting for.
#[derive(Debug)]
pub(super) struct Leaving {
    at: Micros,
    quiet_since: Micros,
    /// When accepting clients was stopped.
    closed: Option<Micros>,
}

impl Leaving {
    pub fn new(now: Micros) -> Self {
        Leaving { at: now + LEAVE_AFTER, quiet_since: now, closed: None }
    }

    /// When there is next something to do.
    pub fn wake_at(&self, senders: usize) -> Micros {
        self.exit_at(senders).unwrap_or(self.at.min(self.quiet_since + QUIET))
    }

    /// When the process ends, once no client is accepted any more.
    fn exit_at(&self, senders: usize) -> Option<Micros> {
        self.closed.map(|closed| closed + if senders == 0 { LAST_TAKEN } else { LAST_ANSWERS })
    }
}

impl Reducer {
    pub(super) fn terminate(&mut self, now: Micros) {
        if self.leaving.is_none() {
            self.leaving = Some(Leaving::new(now));
            self.events.push(Event::ShuttingDown { time_left: LEAVE_AFTER });
            if self.is_successor_ready() {
                self.yield_up(now);
            }
        }
    }

    pub(super) fn leave(&mut self, now: Micros) {
        let busy = self.senders > 0 || !self.messages.is_empty() || !self.owed.is_empty();
        let Some(leaving) = &mut self.leaving else { return };
        if busy {
            leaving.quiet_since = now;
        }
        match leaving.exit_at(self.senders) {
            None if now >= leaving.at || now - leaving.quiet_since >= QUIET => {
                // What clients have sent by now is still taken on: an end without an answer would lose it.
                leaving.closed = Some(now);
                self.takes_clients = false;
                self.effects.push(Effect::StopAccepting);
            }
            Some(exit) if now >= exit => self.effects.push(Effect::Exit),
            _ => {}
        }
    }
}

//! Graceful shutdown: from SIGTERM to the exit.
//!
//! 1. Clients are accepted until [`ACCEPT_PERIOD_US`] has passed, or until there has been nothing to do for
//!    [`IDLE_EXIT_AFTER_US`].
//! 2. Requests that have begun to arrive are read until [`READ_PERIOD_US`] has passed.
//! 3. Requests that have arrived whole are answered, and those that have arrived in part are refused.
//! 4. Connections linger for [`LINGER_US`] after the last answer. Then the process exits.
//!
//! The exit follows from the state: no client is owed anything ([`Clients::are_all_served`]). It does not wait for that
//! beyond [`EXIT_PERIOD_US`], because the supervisor (`TERMINATION_GRACE_MS` in its module `machine`) or the platform
//! kills the process 3.7 s after SIGTERM.
//!
//! [`Clients::are_all_served`]: super::clients::Clients::are_all_served

use super::Reducer;
use super::clients::Clients;
use crate::input::Effect;
use orchidyoke_core::interface::{Event, Micros};

/// Time from SIGTERM until clients are no longer accepted.
const ACCEPT_PERIOD_US: Micros = 3_250_000;
/// Time from SIGTERM until nothing more is read from clients. From then on, a stall of 150 ms and the last answers have
/// to fit before the kill.
const READ_PERIOD_US: Micros = 3_500_000;
/// Time from SIGTERM after which the process exits whatever is still owed. A kill would follow.
const EXIT_PERIOD_US: Micros = 3_680_000;
/// Time without a message, a pending final answer or a connected client after which clients are no longer accepted,
/// even if [`ACCEPT_PERIOD_US`] has not passed.
const IDLE_EXIT_AFTER_US: Micros = 500_000;
/// Longest time from the end of accepting clients until nothing more is read from them, and shortest time until the
/// exit if any of them is still connected.
const LAST_REQUESTS_US: Micros = READ_PERIOD_US - ACCEPT_PERIOD_US;
/// Time after the last answer for clients to read it and close. After a stall of 150 ms at SIGTERM it still ends before
/// the kill.
const LINGER_US: Micros = 30_000;
/// Shortest time from the end of accepting clients until the exit.
const LAST_CALLS_US: Micros = 50_000;

/// What clients still get in a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Clients are accepted.
    Accepting,
    /// Requests that have begun to arrive are read.
    LastRequests { stopped_accepting_at: Micros },
    /// Nothing more is read from clients.
    LastAnswers { stopped_accepting_at: Micros },
    /// The process exits.
    Exiting { stopped_accepting_at: Micros },
}

impl Stage {
    /// Returns when accepting clients was stopped; `None` before.
    fn stopped_accepting_at(self) -> Option<Micros> {
        match self {
            Stage::Accepting => None,
            Stage::LastRequests { stopped_accepting_at }
            | Stage::LastAnswers { stopped_accepting_at }
            | Stage::Exiting { stopped_accepting_at } => Some(stopped_accepting_at),
        }
    }
}

/// Progress of a shutdown.
#[derive(Debug)]
pub(super) struct ShutdownState {
    started_at: Micros,
    idle_since: Micros,
    stage: Stage,
    /// Since when all clients are served; `None` while any is owed something.
    served_since: Option<Micros>,
}

impl ShutdownState {
    /// Starts a shutdown.
    pub fn new(now: Micros) -> Self {
        ShutdownState { started_at: now, idle_since: now, stage: Stage::Accepting, served_since: None }
    }

    /// Returns whether nothing more is read from clients, so that what they are owed is decided at once.
    pub fn has_stopped_reading(&self) -> bool {
        matches!(self.stage, Stage::LastAnswers { .. } | Stage::Exiting { .. })
    }

    /// Returns when the process exits at the latest.
    pub fn exit_by(&self) -> Micros {
        let after_accepting = EXIT_PERIOD_US - ACCEPT_PERIOD_US;
        let latest = self.started_at + EXIT_PERIOD_US;
        let stopped_accepting_at = self.stage.stopped_accepting_at();
        stopped_accepting_at.map_or(latest, |stopped_at| latest.min(stopped_at + after_accepting))
    }

    /// Returns when the next step of the shutdown is due, or `None` if none is left.
    pub fn wake_at(&self, clients: &Clients) -> Option<Micros> {
        match self.stage {
            Stage::Accepting => Some(self.stop_accepting_at()),
            Stage::LastRequests { stopped_accepting_at } => {
                Some(self.exit_at(clients).min(self.stop_reading_at(stopped_accepting_at)))
            }
            Stage::LastAnswers { .. } => Some(self.exit_at(clients)),
            Stage::Exiting { .. } => None,
        }
    }

    fn stop_accepting_at(&self) -> Micros {
        (self.started_at + ACCEPT_PERIOD_US).min(self.idle_since + IDLE_EXIT_AFTER_US)
    }

    fn stop_reading_at(&self, stopped_accepting_at: Micros) -> Micros {
        (self.started_at + READ_PERIOD_US).min(stopped_accepting_at + LAST_REQUESTS_US)
    }

    /// Returns when the process exits if nothing changes.
    fn exit_at(&self, clients: &Clients) -> Micros {
        let exit_by = self.exit_by();
        let (Some(stopped_accepting_at), Some(served_since)) =
            (self.stage.stopped_accepting_at(), self.served_since)
        else {
            return exit_by;
        };
        let earliest = if clients.connected() == 0 {
            stopped_accepting_at + LAST_CALLS_US
        } else {
            self.stop_reading_at(stopped_accepting_at).max(served_since + LINGER_US)
        };
        earliest.min(exit_by)
    }

    fn note_activity(&mut self, now: Micros, is_busy: bool, clients: &Clients) {
        if is_busy {
            self.idle_since = now;
        }
        self.served_since = clients.are_all_served().then(|| self.served_since.unwrap_or(now));
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

    /// Returns when the process exits at the latest, or `None` if it is not shutting down.
    pub fn exit_by(&self) -> Option<Micros> {
        self.shutdown.as_ref().map(ShutdownState::exit_by)
    }

    /// Returns whether a client may still be owed an answer.
    pub fn has_unserved_clients(&self) -> bool {
        self.clients.unserved() > 0
    }

    /// Carries out the steps of a shutdown that are due.
    pub(super) fn advance_shutdown(&mut self, now: Micros) {
        let is_busy =
            self.clients.connected() > 0 || !self.messages.is_empty() || !self.final_answers.is_empty();
        let Some(state) = &mut self.shutdown else { return };
        state.note_activity(now, is_busy, &self.clients);
        if state.stage == Stage::Accepting && now >= state.stop_accepting_at() {
            // Requests that clients have already sent are still accepted, because closing without an answer would lose
            // them.
            state.stage = Stage::LastRequests { stopped_accepting_at: now };
            self.clients.on_accepting_stopped();
            self.effects.push(Effect::StopAccepting);
        }
        if let Stage::LastRequests { stopped_accepting_at } = state.stage
            && now >= state.stop_reading_at(stopped_accepting_at)
        {
            state.stage = Stage::LastAnswers { stopped_accepting_at };
            let line = format!("shutdown: reads no more: unserved={}", self.clients.unserved());
            self.effects.push(Effect::Log { line });
            self.effects.push(Effect::StopReading);
        }
        if let Stage::LastRequests { stopped_accepting_at } | Stage::LastAnswers { stopped_accepting_at } =
            state.stage
            && now >= state.exit_at(&self.clients)
        {
            state.stage = Stage::Exiting { stopped_accepting_at };
            let (connected, unserved) = (self.clients.connected(), self.clients.unserved());
            self.log(format!("shutdown: exits: connected={connected} unserved={unserved}"));
            self.effects.push(Effect::Exit);
        }
    }
}

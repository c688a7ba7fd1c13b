//! Keeps the leases of one member: its session, the locks that it holds, and until when it may act under them.
//!
//! The state machine has no I/O and no clock. [`LeaseStateMachine::step`] takes one input and returns the effects to
//! carry out. Times are in microseconds on a monotonic clock, whose start does not matter.
//!
//! Consul guarantees that a session lasts at least its TTL after the last renewal has reached Consul, and that nobody
//! acquires the lock of an ended session during the lock-delay. The holder counts the TTL from the time at which it
//! *sent* the renewal, on its own clock, shortened by the clock drift. It starts no action that may end after that
//! time. Therefore the holder has stopped before Consul may give the lock to another member, whichever messages are
//! lost or late. The only exception is a holder that was suspended in the middle of an action; its token is rejected
//! ([`crate::fencing`]).

use crate::config::LeaseConfig;
use crate::{FencingToken, LeaseId};
use orchidyoke_core::interface::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// The id of a session, as Consul assigned it.
pub type SessionId = String;

/// The lock of a lease, as stored in Consul.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Lock {
    /// The session that holds the lock, or `None` if the lock is free.
    pub session: Option<SessionId>,
    /// Consul's index of the write that last changed the lock.
    pub modify_index: FencingToken,
}

/// An event that the state machine handles.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// The placement assigns these leases, and no others, to this member.
    AssignmentChanged(BTreeSet<LeaseId>),
    /// The member shuts down. It releases all leases and acquires none.
    Shutdown,
    /// A session was created.
    SessionCreated {
        /// The session's id.
        session: SessionId,
        /// The time at which the request was sent.
        sent_at: Micros,
    },
    /// A session was renewed.
    SessionRenewed {
        /// The session's id.
        session: SessionId,
        /// The time at which the request was sent.
        sent_at: Micros,
    },
    /// Consul no longer has this session.
    SessionNotFound(SessionId),
    /// The request to create or renew a session failed, or was not answered in time.
    SessionRequestFailed,
    /// The request for a lock has ended: it was granted, rejected, or not answered. The next read of the locks shows
    /// which.
    AcquireFinished(LeaseId),
    /// Consul has confirmed that a lock was released.
    Released(LeaseId),
    /// The request to release a lock failed or was not answered, so it may take effect now or later.
    ReleaseInDoubt(LeaseId),
    /// The locks of all leases, as Consul had them at some time after the request was sent.
    LocksRead {
        /// The locks.
        locks: BTreeMap<LeaseId, Lock>,
        /// The time at which the request was sent.
        sent_at: Micros,
    },
}

/// An action that the caller carries out. Its answer, or the lack of one, is passed to the state machine as an input.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Effect {
    /// Create a session.
    CreateSession,
    /// Renew the session.
    RenewSession(SessionId),
    /// End the session, if Consul still has it. No answer is needed.
    DestroySession(SessionId),
    /// Acquire the lock of a lease.
    Acquire {
        /// The lease.
        lease: LeaseId,
        /// The session that acquires the lock.
        session: SessionId,
    },
    /// Release the lock of a lease.
    Release {
        /// The lease.
        lease: LeaseId,
        /// The session that holds the lock.
        session: SessionId,
    },
    /// Read the locks.
    ReadLocks,
}

/// The state of a lease's lock under the present session, as far as the member knows it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum LockState {
    /// A request to acquire the lock is in flight.
    Acquiring,
    /// The session holds the lock under this token.
    Held(FencingToken),
    /// A request to release the lock is in flight.
    Releasing,
    /// The release was confirmed at this time. An answer to a read that was sent earlier may still show the lock as
    /// held.
    Released(Micros),
    /// The release was not answered and may still take effect. If this session acquired the lock again, the late
    /// release would free it, so this session does not use the lock any more.
    InDoubt,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Session {
    id: SessionId,
    /// The time at which the last successful renewal was sent.
    renewed_at: Micros,
    locks: BTreeMap<LeaseId, LockState>,
}

impl Session {
    fn expires_at(&self, config: &LeaseConfig) -> Micros {
        self.renewed_at + config.lease_duration()
    }

    /// Returns whether an action that starts now ends before the session expires.
    fn allows_action(&self, config: &LeaseConfig, now: Micros) -> bool {
        now + config.max_action_time < self.expires_at(config)
    }

    /// Returns whether these locks show that this session holds the lock of a lease.
    fn holds(&self, locks: &BTreeMap<LeaseId, Lock>, lease: LeaseId) -> bool {
        locks.get(&lease).is_some_and(|lock| lock.session.as_ref() == Some(&self.id))
    }

    /// Updates the states of this session's locks from a read of the locks that was sent at `sent_at`.
    fn apply_locks(&mut self, locks: &BTreeMap<LeaseId, Lock>, sent_at: Micros) {
        let mut lost = BTreeSet::new();
        for (lease, state) in &self.locks {
            // Another process has ended the session or deleted the key.
            if matches!(state, LockState::Held(_)) && !self.holds(locks, *lease) {
                lost.insert(*lease);
            }
        }
        self.locks.retain(|lease, _| !lost.contains(lease));
        for (lease, lock) in locks {
            if !self.holds(locks, *lease) {
                continue;
            }
            match self.locks.get(lease) {
                Some(LockState::Releasing | LockState::InDoubt) => {}
                Some(LockState::Released(released_at)) if sent_at <= *released_at => {}
                Some(LockState::Released(_) | LockState::Acquiring | LockState::Held(_)) | None => {
                    self.locks.insert(*lease, LockState::Held(lock.modify_index));
                }
            }
        }
    }
}

/// The leases of one member.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct LeaseStateMachine {
    session: Option<Session>,
    /// Whether a request to create or renew a session is in flight.
    session_request_in_flight: bool,
    next_session_request_at: Micros,
    /// The leases that the placement assigns to this member.
    assigned: BTreeSet<LeaseId>,
    shutting_down: bool,
    /// The assigned leases that nobody held when the locks were last read.
    unheld: BTreeSet<LeaseId>,
    /// The time from which a lock that was requested before may be requested again.
    next_acquire_at: BTreeMap<LeaseId, Micros>,
    /// The time at which the newest read of the locks was sent. Answers to reads that were sent earlier are out of
    /// date.
    last_read_sent_at: Micros,
}

impl LeaseStateMachine {
    /// Handles one input and returns the effects to carry out, in order. `now` never decreases.
    pub fn step(&mut self, config: &LeaseConfig, now: Micros, input: Input) -> Vec<Effect> {
        let mut effects = Vec::new();
        // The session expires before the input is handled, so that after a late wake-up an expired session is not used.
        self.expire_session(config, now, &mut effects);
        self.next_acquire_at.retain(|_, at| *at > now);
        self.apply(config, now, input, &mut effects);
        self.maintain_session(config, now, &mut effects);
        self.maintain_locks(config, now, &mut effects);
        self.finish_shutdown(&mut effects);
        effects
    }

    fn apply(&mut self, config: &LeaseConfig, now: Micros, input: Input, effects: &mut Vec<Effect>) {
        match input {
            Input::Tick => {}
            Input::AssignmentChanged(_) if self.shutting_down => {}
            Input::AssignmentChanged(leases) => self.assigned = leases,
            Input::Shutdown => {
                self.shutting_down = true;
                self.assigned = BTreeSet::new();
            }
            Input::SessionCreated { session, sent_at } => {
                self.session_request_in_flight = false;
                self.next_session_request_at = sent_at;
                self.session = Some(Session { id: session, renewed_at: sent_at, locks: BTreeMap::new() });
                // The answer may have taken longer than the session lasts.
                self.expire_session(config, now, effects);
                effects.push(Effect::ReadLocks);
            }
            Input::SessionRenewed { session, sent_at } => {
                self.session_request_in_flight = false;
                if let Some(current) = self.session.as_mut().filter(|current| current.id == session) {
                    current.renewed_at = current.renewed_at.max(sent_at);
                }
            }
            Input::SessionNotFound(session) => {
                self.session_request_in_flight = false;
                if self.session.take_if(|current| current.id == session).is_some() {
                    self.next_session_request_at = now;
                }
            }
            Input::SessionRequestFailed if !self.session_request_in_flight => {}
            Input::SessionRequestFailed => {
                self.session_request_in_flight = false;
                self.next_session_request_at = now + config.retry_interval;
            }
            Input::AcquireFinished(lease) => {
                self.end_request(lease, &LockState::Acquiring, None);
                self.next_acquire_at.insert(lease, now + config.retry_interval);
                effects.push(Effect::ReadLocks);
            }
            Input::Released(lease) => {
                self.end_request(lease, &LockState::Releasing, Some(LockState::Released(now)));
            }
            Input::ReleaseInDoubt(lease) => {
                self.end_request(lease, &LockState::Releasing, Some(LockState::InDoubt));
            }
            Input::LocksRead { locks, sent_at } => self.apply_locks(&locks, sent_at),
        }
    }

    /// Returns the token to act under if an action that starts now ends before the lease expires, `None` otherwise.
    /// Callers call it right before each action.
    pub fn may_act(&self, config: &LeaseConfig, now: Micros, lease: LeaseId) -> Option<FencingToken> {
        let session = self.session.as_ref().filter(|session| session.allows_action(config, now))?;
        match session.locks.get(&lease) {
            Some(LockState::Held(token)) if self.assigned.contains(&lease) => Some(*token),
            _ => None,
        }
    }

    /// Returns the leases held, with their tokens.
    pub fn held(&self) -> impl Iterator<Item = (LeaseId, FencingToken)> {
        let locks = self.session.iter().flat_map(|session| &session.locks);
        locks.filter_map(|(lease, state)| match state {
            LockState::Held(token) => Some((*lease, *token)),
            _ => None,
        })
    }

    /// Returns the id of the session, or `None` if there is no session.
    pub fn session(&self) -> Option<&str> {
        self.session.as_ref().map(|session| session.id.as_str())
    }

    /// Returns whether all leases have been released after [`Input::Shutdown`].
    pub fn is_shut_down(&self) -> bool {
        self.shutting_down && self.session.is_none()
    }

    /// Returns the latest time for the next [`Input::Tick`].
    pub fn next_tick_at(&self, config: &LeaseConfig) -> Micros {
        let expiry = self.session.as_ref().map(|session| session.expires_at(config));
        let session_request = (!self.session_request_in_flight).then(|| self.session_request_at(config));
        let wanted = self.assigned.iter().filter(|lease| self.unheld.contains(lease));
        let acquire = wanted.filter_map(|lease| self.next_acquire_at.get(lease)).copied().min();
        [expiry, session_request, acquire].into_iter().flatten().min().unwrap_or(Micros::MAX)
    }

    fn session_request_at(&self, config: &LeaseConfig) -> Micros {
        match &self.session {
            Some(session) => self.next_session_request_at.max(session.renewed_at + config.renewal_interval()),
            None => self.next_session_request_at,
        }
    }

    /// Drops the session once Consul may have ended it, measured on the member's own clock.
    fn expire_session(&mut self, config: &LeaseConfig, now: Micros, effects: &mut Vec<Effect>) {
        if let Some(session) = self.session.take_if(|session| now >= session.expires_at(config)) {
            effects.push(Effect::DestroySession(session.id));
            self.next_session_request_at = self.next_session_request_at.max(now);
        }
    }

    /// Ends the request for a lock that is in the state `pending`. If the lock is in another state, a later event has
    /// replaced the request, and nothing changes.
    fn end_request(&mut self, lease: LeaseId, pending: &LockState, outcome: Option<LockState>) {
        let Some(session) = &mut self.session else { return };
        if session.locks.get(&lease) != Some(pending) {
            return;
        }
        match outcome {
            Some(state) => drop(session.locks.insert(lease, state)),
            None => drop(session.locks.remove(&lease)),
        }
    }

    fn apply_locks(&mut self, locks: &BTreeMap<LeaseId, Lock>, sent_at: Micros) {
        if sent_at < self.last_read_sent_at {
            return;
        }
        self.last_read_sent_at = sent_at;
        let is_held = |lease: &LeaseId| locks.get(lease).is_some_and(|lock| lock.session.is_some());
        self.unheld = self.assigned.iter().filter(|lease| !is_held(lease)).copied().collect();
        if let Some(session) = &mut self.session {
            session.apply_locks(locks, sent_at);
        }
    }

    fn maintain_session(&mut self, config: &LeaseConfig, now: Micros, effects: &mut Vec<Effect>) {
        let is_due = now >= self.session_request_at(config);
        if self.session_request_in_flight || self.shutting_down || !is_due {
            return;
        }
        self.session_request_in_flight = true;
        effects.push(match &self.session {
            Some(session) => Effect::RenewSession(session.id.clone()),
            None => Effect::CreateSession,
        });
    }

    /// Releases locks that are no longer assigned to this member, and requests assigned locks that nobody holds.
    fn maintain_locks(&mut self, config: &LeaseConfig, now: Micros, effects: &mut Vec<Effect>) {
        let Some(session) = &mut self.session else { return };
        // The locks are released and not left to expire, so that the next holder does not wait for the lock-delay.
        for (lease, state) in &mut session.locks {
            if matches!(state, LockState::Held(_)) && !self.assigned.contains(lease) {
                *state = LockState::Releasing;
                effects.push(Effect::Release { lease: *lease, session: session.id.clone() });
            }
        }
        if !session.allows_action(config, now) {
            return;
        }
        let mut in_flight = session.locks.values().filter(|state| **state == LockState::Acquiring).count();
        for lease in self.assigned.iter().filter(|lease| self.unheld.contains(lease)) {
            let is_free = matches!(session.locks.get(lease), None | Some(LockState::Released(_)));
            let is_backing_off = self.next_acquire_at.contains_key(lease);
            if is_free && !is_backing_off && in_flight < config.max_concurrent_acquires {
                session.locks.insert(*lease, LockState::Acquiring);
                effects.push(Effect::Acquire { lease: *lease, session: session.id.clone() });
                in_flight += 1;
            }
        }
    }

    /// Ends the session during shutdown once no lock is left to release. The next holders then do not wait for the
    /// lock-delay, except for a lock whose release is in doubt.
    fn finish_shutdown(&mut self, effects: &mut Vec<Effect>) {
        if !self.shutting_down {
            return;
        }
        let is_unreleased = |state: &LockState| {
            matches!(state, LockState::Acquiring | LockState::Held(_) | LockState::Releasing)
        };
        if let Some(session) = self.session.take_if(|session| !session.locks.values().any(is_unreleased)) {
            effects.push(Effect::DestroySession(session.id));
        }
    }
}

#[cfg(test)]
mod tests;

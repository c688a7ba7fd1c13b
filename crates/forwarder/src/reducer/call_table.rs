//! Calls to endpoints that are in flight, or wait for a connection or for their record.

use crate::connection_pool::CallId;
use orchidyoke_core::interface::{EndpointId, MessageId, Micros};
use std::collections::{BTreeMap, BTreeSet};

/// One attempt for one message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct AttemptId {
    pub message: MessageId,
    /// Number of the attempt, from 0.
    pub attempt: u32,
}

/// A call with the attempts in it: of one message, or of several that share it.
#[derive(Debug)]
pub(super) struct Call {
    pub endpoint: EndpointId,
    pub attempts: Vec<AttemptId>,
    /// The messages' ids, from when the call begins: a message may be finished before the call is.
    pub message_ids: Vec<String>,
    pub sent_at: Micros,
    pub times_out_at: Micros,
    /// It went on a connection that had been idle.
    pub reused_connection: bool,
    /// Its record was asked for: the call may have been written since. Otherwise nothing of it has gone out.
    pub record_requested: bool,
}

impl Call {
    /// A call with one attempt.
    pub fn new(endpoint: EndpointId, attempt: AttemptId, sent_at: Micros, times_out_at: Micros) -> Self {
        Call {
            endpoint,
            attempts: vec![attempt],
            message_ids: Vec::new(),
            sent_at,
            times_out_at,
            reused_connection: false,
            record_requested: false,
        }
    }
}

/// All calls.
#[derive(Debug, Default)]
pub(super) struct CallTable {
    calls: BTreeMap<CallId, Call>,
    last_id: CallId,
}

impl CallTable {
    /// The number of a call that is about to be put in.
    pub fn next_id(&mut self) -> CallId {
        self.last_id += 1;
        self.last_id
    }

    /// Puts in a call.
    pub fn insert(&mut self, id: CallId, call: Call) {
        self.calls.insert(id, call);
    }

    /// A call by its number.
    pub fn get(&self, id: CallId) -> Option<&Call> {
        self.calls.get(&id)
    }

    /// The same, to be changed.
    pub fn get_mut(&mut self, id: CallId) -> Option<&mut Call> {
        self.calls.get_mut(&id)
    }

    /// Takes out a call.
    pub fn remove(&mut self, id: CallId) -> Option<Call> {
        self.calls.remove(&id)
    }

    /// How many calls there are.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// The call that carries an attempt.
    pub fn with_attempt(&self, attempt: AttemptId) -> Option<CallId> {
        self.calls.iter().find(|(_, call)| call.attempts.contains(&attempt)).map(|(id, _)| *id)
    }

    /// The calls without a record in the journal: nothing of them has been written.
    pub fn unrecorded(&self) -> Vec<CallId> {
        self.calls.iter().filter(|(_, call)| !call.record_requested).map(|(id, _)| *id).collect()
    }

    /// The endpoints that calls go to.
    pub fn endpoints(&self) -> BTreeSet<EndpointId> {
        self.calls.values().map(|call| call.endpoint).collect()
    }
}

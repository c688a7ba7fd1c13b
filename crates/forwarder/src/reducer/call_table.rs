//! The calls to endpoints that are in flight, or that wait for a connection or for their journal record.

use crate::connection_pool::CallId;
use orchidyoke_core::interface::{EndpointId, MessageId, Micros};
use std::collections::{BTreeMap, BTreeSet};

/// Identifies one delivery attempt of one message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct AttemptId {
    pub message: MessageId,
    /// Number of the attempt within its message, from 0.
    pub attempt: u32,
}

/// A call to an endpoint, with the attempts of one message or of several messages that share the call.
#[derive(Debug)]
pub(super) struct Call {
    pub endpoint: EndpointId,
    pub attempts: Vec<AttemptId>,
    /// The ids of the call's messages, copied when the call starts because a message may be finished before the call
    /// ends.
    pub message_ids: Vec<String>,
    /// When the controller decided to send the messages. Latencies are measured from this time, so they include the
    /// time until a connection is established.
    pub created_at: Micros,
    pub times_out_at: Micros,
    /// Time from which the call must not be written any more. Set when the call gets a connection.
    pub send_by: Micros,
    /// Whether the call uses a connection that had been idle.
    pub reused_connection: bool,
    /// Whether the append of the call's record was requested. If `true`, the call may have been written; if `false`, no
    /// byte of it has been sent.
    pub record_requested: bool,
}

impl Call {
    /// Creates a call with one attempt.
    pub fn new(endpoint: EndpointId, attempt: AttemptId, created_at: Micros, times_out_at: Micros) -> Self {
        Call {
            endpoint,
            attempts: vec![attempt],
            message_ids: Vec::new(),
            created_at,
            times_out_at,
            send_by: times_out_at,
            reused_connection: false,
            record_requested: false,
        }
    }
}

/// All current calls, by id.
#[derive(Debug, Default)]
pub(super) struct CallTable {
    calls: BTreeMap<CallId, Call>,
    last_id: CallId,
}

impl CallTable {
    /// Returns the id for the next call to insert.
    pub fn next_id(&mut self) -> CallId {
        self.last_id += 1;
        self.last_id
    }

    /// Inserts a call.
    pub fn insert(&mut self, id: CallId, call: Call) {
        self.calls.insert(id, call);
    }

    /// Returns a call by its id.
    pub fn get(&self, id: CallId) -> Option<&Call> {
        self.calls.get(&id)
    }

    /// Returns a call by its id, for modification.
    pub fn get_mut(&mut self, id: CallId) -> Option<&mut Call> {
        self.calls.get_mut(&id)
    }

    /// Removes a call and returns it.
    pub fn remove(&mut self, id: CallId) -> Option<Call> {
        self.calls.remove(&id)
    }

    /// Returns the number of calls.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Returns the id of the call that carries an attempt.
    pub fn find_by_attempt(&self, attempt: AttemptId) -> Option<CallId> {
        self.calls.iter().find(|(_, call)| call.attempts.contains(&attempt)).map(|(id, _)| *id)
    }

    /// Returns the calls whose record has not been requested; nothing of them has been written.
    pub fn unrecorded(&self) -> Vec<CallId> {
        self.calls.iter().filter(|(_, call)| !call.record_requested).map(|(id, _)| *id).collect()
    }

    /// Returns the endpoints that have a call.
    pub fn endpoints(&self) -> BTreeSet<EndpointId> {
        self.calls.values().map(|call| call.endpoint).collect()
    }
}

//! Connections to next hops, as states: which may carry a call, which are to be closed. No socket is here.

use orchidyoke_core::interface::{EndpointId, Micros};
use std::collections::{BTreeMap, BTreeSet};

/// A connection, numbered anew each time.
pub type EndpointConnectionId = u64;
/// A call, numbered anew each time.
pub type CallId = u64;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Not yet up; this call waits for it.
    Dialling(CallId),
    /// Up, and free since then.
    Idle(Micros),
    /// This call has it: about to be written, or written.
    Busy(CallId),
}

/// All connections to next hops.
#[derive(Debug)]
pub struct ConnectionPool {
    links: BTreeMap<EndpointConnectionId, (EndpointId, State)>,
    next: EndpointConnectionId,
    /// An idle connection is not used again after this time: the other end may close it any moment.
    keep: Micros,
    /// Connections at once, idle ones counted.
    most: usize,
    /// Those that go to an address that their endpoint has left.
    retired: BTreeSet<EndpointConnectionId>,
    /// No connection has been idle since before this; with none, none is idle.
    idle_since: Option<Micros>,
}

/// Where a call goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Claim {
    /// On this idle connection, at once.
    Reuse(EndpointConnectionId),
    /// On this new connection, once it is up.
    Connect(EndpointConnectionId),
}

impl ConnectionPool {
    /// No connections yet; the other end closes idle ones after `idle_close`.
    pub fn new(idle_close: Micros, most: usize) -> Self {
        let (keep, most) = ConnectionPool::bounds(idle_close, most);
        ConnectionPool {
            links: BTreeMap::new(),
            next: 0,
            keep,
            most,
            retired: BTreeSet::new(),
            idle_since: None,
        }
    }

    /// Other bounds hold from now on.
    pub fn set_limits(&mut self, idle_close: Micros, most: usize) {
        (self.keep, self.most) = ConnectionPool::bounds(idle_close, most);
    }

    fn bounds(idle_close: Micros, most: usize) -> (Micros, usize) {
        // A tenth early: the other end counts from when it wrote its answer, and a close takes time.
        (idle_close - idle_close / 10, most)
    }

    /// A connection for a call: the one used last, so that the others get old and close.
    pub fn claim(&mut self, hop: EndpointId, call: CallId, now: Micros) -> Claim {
        let fresh = |(id, (to, state)): (&EndpointConnectionId, &(EndpointId, State))| match state {
            State::Idle(since) if *to == hop && now - since < self.keep && !self.is_retired(*id) => {
                Some((*since, *id))
            }
            _ => None,
        };
        if let Some((_, id)) = self.links.iter().filter_map(fresh).max() {
            self.links.insert(id, (hop, State::Busy(call)));
            return Claim::Reuse(id);
        }
        Claim::Connect(self.connect(hop, call))
    }

    /// A new connection for a call.
    pub fn connect(&mut self, hop: EndpointId, call: CallId) -> EndpointConnectionId {
        self.next += 1;
        self.links.insert(self.next, (hop, State::Dialling(call)));
        self.next
    }

    /// A connection is up: the call that waited for it.
    pub fn on_connected(&mut self, id: EndpointConnectionId) -> Option<CallId> {
        let (_, state) = self.links.get_mut(&id)?;
        let State::Dialling(call) = *state else { return None };
        *state = State::Busy(call);
        Some(call)
    }

    /// The call on a connection is over, and the connection can carry another; none that is retired.
    pub fn release(&mut self, id: EndpointConnectionId, now: Micros) {
        let since = if self.retired.contains(&id) { now - self.keep } else { now };
        if let Some((_, state @ State::Busy(_))) = self.links.get_mut(&id) {
            *state = State::Idle(since);
            self.idle_since = Some(self.idle_since.map_or(since, |earliest| earliest.min(since)));
        }
    }

    /// An endpoint has another address: what goes to the one before carries no other call.
    pub fn retire(&mut self, hop: EndpointId) {
        let to = self.links.iter().filter(|(_, (to, _))| *to == hop).map(|(id, _)| *id);
        self.retired.extend(to);
    }

    /// Whether a connection goes to an address that its endpoint has left.
    pub fn is_retired(&self, id: EndpointConnectionId) -> bool {
        self.retired.contains(&id)
    }

    /// A connection is gone: the call that it takes with it.
    pub fn on_closed(&mut self, id: EndpointConnectionId) -> Option<CallId> {
        let call = self.call_of(id);
        self.links.remove(&id);
        self.retired.remove(&id);
        call
    }

    /// The connection that a call has, up or not.
    pub fn connection_of(&self, call: CallId) -> Option<EndpointConnectionId> {
        let has = |state: &State| matches!(state, State::Dialling(c) | State::Busy(c) if *c == call);
        self.links.iter().find(|(_, (_, state))| has(state)).map(|(id, _)| *id)
    }

    /// The call that a connection has.
    pub fn call_of(&self, id: EndpointConnectionId) -> Option<CallId> {
        match self.links.get(&id)?.1 {
            State::Dialling(call) | State::Busy(call) => Some(call),
            State::Idle(_) => None,
        }
    }

    /// Takes out the idle connections to an endpoint, to be closed.
    pub fn take_idle_to(&mut self, hop: EndpointId) -> Vec<EndpointConnectionId> {
        self.take_idle(|to, _| to == hop)
    }

    /// The same for many endpoints at once.
    pub fn take_idle_to_any(&mut self, hops: &BTreeSet<EndpointId>) -> Vec<EndpointConnectionId> {
        self.take_idle(|to, _| hops.contains(&to))
    }

    /// Takes out the idle connections that are too old, and the oldest where there are too many.
    pub fn take_expired(&mut self, now: Micros) -> Vec<EndpointConnectionId> {
        let keep = self.keep;
        let mut out = self.take_idle(|_, since| now - since >= keep);
        while self.links.len() > self.most {
            let idle = self.links.iter().filter_map(|(id, (_, state))| match state {
                State::Idle(since) => Some((*since, *id)),
                _ => None,
            });
            let Some((_, oldest)) = idle.min() else { break };
            self.on_closed(oldest);
            out.push(oldest);
        }
        let idle = self.links.values().filter_map(|(_, state)| match state {
            State::Idle(since) => Some(*since),
            _ => None,
        });
        self.idle_since = idle.min();
        out
    }

    /// When the next idle connection may get too old.
    pub fn next_expiry(&self) -> Option<Micros> {
        self.idle_since.map(|since| since + self.keep)
    }

    fn take_idle(&mut self, which: impl Fn(EndpointId, Micros) -> bool) -> Vec<EndpointConnectionId> {
        let gone = self.links.extract_if(.., |_, (hop, state)| match state {
            State::Idle(since) => which(*hop, *since),
            _ => false,
        });
        let gone: Vec<_> = gone.map(|(id, _)| id).collect();
        self.retired.retain(|id| !gone.contains(id));
        gone
    }
}

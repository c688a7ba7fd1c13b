//! The pool of connections to endpoints, as a state machine without sockets. It decides which connection carries a
//! call, and which connections are to be closed.
//!
//! A connection carries one call at a time. HTTP/1.1 matches responses to requests only by their order (RFC 9112, section
//! 9.2), so a surplus response that arrives under a call would be taken for the call's own. Therefore a connection rests
//! after each call, the connection that has rested longest is reused first, and an endpoint that has sent surplus bytes
//! gets one call per connection. The cause may be on the path to all endpoints, so the others' connections rest longer
//! then.

use orchidyoke_core::interface::{EndpointId, Micros};
use std::collections::{BTreeMap, BTreeSet};

/// Time for which a connection rests after a call before it may carry another one, in microseconds. Surplus bytes that
/// arrive meanwhile close it.
pub const REUSE_DELAY_US: Micros = 500_000;
/// The same time while any endpoint is suspected of sending surplus bytes, in microseconds.
pub const CAUTIOUS_REUSE_DELAY_US: Micros = 2_000_000;
/// Time after surplus bytes for which their endpoint is suspected of sending more, in microseconds. Each connection to
/// it carries one call only.
pub const SUSPICION_US: Micros = 300_000_000;

/// The number of a connection to an endpoint; numbers are not reused.
pub type EndpointConnectionId = u64;
/// The number of a call to an endpoint; numbers are not reused.
pub type CallId = u64;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionState {
    /// Is being established for this call.
    Connecting(CallId),
    /// Is established, and idle since this time.
    Idle(Micros),
    /// Carries this call, or is about to.
    Busy(CallId),
}

impl ConnectionState {
    fn call(self) -> Option<CallId> {
        match self {
            ConnectionState::Connecting(call) | ConnectionState::Busy(call) => Some(call),
            ConnectionState::Idle(_) => None,
        }
    }

    fn idle_since(self) -> Option<Micros> {
        match self {
            ConnectionState::Idle(since) => Some(since),
            _ => None,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct PooledConnection {
    endpoint: EndpointId,
    state: ConnectionState,
    /// When the last call on the connection was answered; `None` if none was.
    answered_at: Option<Micros>,
}

impl PooledConnection {
    /// Returns whether the connection has rested for `delay` since the last answer.
    fn has_rested(&self, delay: Micros, now: Micros) -> bool {
        self.answered_at.is_none_or(|at| now - at >= delay)
    }
}

/// All connections to endpoints. Times are in microseconds.
#[derive(Debug)]
pub struct ConnectionPool {
    connections: BTreeMap<EndpointConnectionId, PooledConnection>,
    last_id: EndpointConnectionId,
    idle_timeout: Micros,
    max_connections: usize,
    /// Connections that carry no further call, such as those to a former address of their endpoint.
    retired: BTreeSet<EndpointConnectionId>,
    /// The endpoints that have sent surplus bytes, and the time until which they are suspected of sending more.
    suspected_until: BTreeMap<EndpointId, Micros>,
    /// A lower bound of the times since when connections have been idle; `None` if none is idle.
    earliest_idle_since: Option<Micros>,
}

/// The connection for a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Claim {
    /// An idle connection, which carries the call at once.
    Reuse(EndpointConnectionId),
    /// A new connection, which carries the call once it is established.
    Connect(EndpointConnectionId),
}

impl ConnectionPool {
    /// Returns an empty pool. Endpoints close idle connections after `endpoint_idle_timeout`. `max_connections`
    /// limits all open connections, idle ones included.
    pub fn new(endpoint_idle_timeout: Micros, max_connections: usize) -> Self {
        ConnectionPool {
            connections: BTreeMap::new(),
            last_id: 0,
            idle_timeout: safe_idle_timeout(endpoint_idle_timeout),
            max_connections,
            retired: BTreeSet::new(),
            suspected_until: BTreeMap::new(),
            earliest_idle_since: None,
        }
    }

    /// Changes the limits that [`ConnectionPool::new`] was given.
    pub fn set_limits(&mut self, endpoint_idle_timeout: Micros, max_connections: usize) {
        self.idle_timeout = safe_idle_timeout(endpoint_idle_timeout);
        self.max_connections = max_connections;
    }

    /// Returns a connection for a call: the longest idle one that may be reused, otherwise a new one.
    pub fn claim(&mut self, endpoint: EndpointId, call: CallId, now: Micros) -> Claim {
        match self.longest_rested(endpoint, now) {
            Some(id) => {
                if let Some(connection) = self.connections.get_mut(&id) {
                    connection.state = ConnectionState::Busy(call);
                }
                Claim::Reuse(id)
            }
            None => Claim::Connect(self.connect(endpoint, call)),
        }
    }

    fn longest_rested(&self, endpoint: EndpointId, now: Micros) -> Option<EndpointConnectionId> {
        if self.is_suspected(endpoint, now) {
            return None;
        }
        let reuse_delay = self.reuse_delay(now);
        let reusable = self.connections.iter().filter_map(|(id, connection)| {
            let is_fresh = now - connection.state.idle_since()? < self.idle_timeout;
            let is_rested = connection.has_rested(reuse_delay, now);
            let is_usable = connection.endpoint == endpoint && is_fresh && is_rested && !self.is_retired(*id);
            is_usable.then_some((connection.answered_at, *id))
        });
        reusable.min().map(|(_, id)| id)
    }

    fn reuse_delay(&self, now: Micros) -> Micros {
        let is_any_suspected = self.suspected_until.values().any(|until| *until > now);
        if is_any_suspected { CAUTIOUS_REUSE_DELAY_US } else { REUSE_DELAY_US }
    }

    /// Records that an endpoint has sent surplus bytes. Returns the idle connections to it; the caller closes them.
    pub fn suspect(&mut self, endpoint: EndpointId, now: Micros) -> Vec<EndpointConnectionId> {
        self.suspected_until.retain(|_, until| *until > now);
        self.suspected_until.insert(endpoint, now + SUSPICION_US);
        self.take_idle_to(endpoint)
    }

    /// Returns whether an endpoint has sent surplus bytes within [`SUSPICION_US`].
    pub fn is_suspected(&self, endpoint: EndpointId, now: Micros) -> bool {
        self.suspected_until.get(&endpoint).is_some_and(|until| *until > now)
    }

    /// Adds a new connection for a call.
    pub fn connect(&mut self, endpoint: EndpointId, call: CallId) -> EndpointConnectionId {
        self.last_id += 1;
        let state = ConnectionState::Connecting(call);
        self.connections.insert(self.last_id, PooledConnection { endpoint, state, answered_at: None });
        self.last_id
    }

    /// Records that a connection is established, and returns the call that waits for it.
    pub fn on_connected(&mut self, id: EndpointConnectionId) -> Option<CallId> {
        let connection = self.connections.get_mut(&id)?;
        let ConnectionState::Connecting(call) = connection.state else { return None };
        connection.state = ConnectionState::Busy(call);
        Some(call)
    }

    /// Records that the call on a connection was answered and the connection is idle.
    pub fn on_answered(&mut self, id: EndpointConnectionId, now: Micros) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.answered_at = Some(now);
        }
        self.release(id, now);
    }

    /// Records that the call for a connection has ended without being written and the connection is idle. A retired connection, and one to an
    /// endpoint that has sent surplus bytes, expires at once.
    pub fn release(&mut self, id: EndpointConnectionId, now: Micros) {
        let is_suspected = self.endpoint_of(id).is_some_and(|endpoint| self.is_suspected(endpoint, now));
        let expires = is_suspected || self.retired.contains(&id);
        let since = if expires { now - self.idle_timeout } else { now };
        if let Some(connection) = self.connections.get_mut(&id)
            && let ConnectionState::Busy(_) = connection.state
        {
            connection.state = ConnectionState::Idle(since);
            let earliest = self.earliest_idle_since.map_or(since, |earliest| earliest.min(since));
            self.earliest_idle_since = Some(earliest);
        }
    }

    /// Retires the connections to an endpoint whose address has changed. They carry no further call.
    pub fn retire(&mut self, endpoint: EndpointId) {
        let to_endpoint = self.connections.iter().filter(|(_, connection)| connection.endpoint == endpoint);
        self.retired.extend(to_endpoint.map(|(id, _)| *id));
    }

    /// Retires one connection. It carries no further call.
    pub fn retire_connection(&mut self, id: EndpointConnectionId) {
        if self.connections.contains_key(&id) {
            self.retired.insert(id);
        }
    }

    /// Returns whether a connection is retired.
    pub fn is_retired(&self, id: EndpointConnectionId) -> bool {
        self.retired.contains(&id)
    }

    /// Records that a connection is closed, and returns the call that it carried, if any.
    pub fn on_closed(&mut self, id: EndpointConnectionId) -> Option<CallId> {
        let call = self.call_of(id);
        self.connections.remove(&id);
        self.retired.remove(&id);
        call
    }

    /// Returns the connection of a call, whether established or not.
    pub fn connection_of(&self, call: CallId) -> Option<EndpointConnectionId> {
        let mut connections = self.connections.iter();
        connections.find(|(_, connection)| connection.state.call() == Some(call)).map(|(id, _)| *id)
    }

    /// Returns the call of a connection.
    pub fn call_of(&self, id: EndpointConnectionId) -> Option<CallId> {
        self.connections.get(&id)?.state.call()
    }

    /// Returns the endpoint of a connection.
    pub fn endpoint_of(&self, id: EndpointConnectionId) -> Option<EndpointId> {
        self.connections.get(&id).map(|connection| connection.endpoint)
    }

    /// Returns when the last call on a connection was answered; `None` if none was.
    pub fn answered_at(&self, id: EndpointConnectionId) -> Option<Micros> {
        self.connections.get(&id)?.answered_at
    }

    /// Removes the idle connections to an endpoint and returns them; the caller closes them.
    pub fn take_idle_to(&mut self, endpoint: EndpointId) -> Vec<EndpointConnectionId> {
        self.take_idle(|to, _| to == endpoint)
    }

    /// Removes the idle connections to any of these endpoints and returns them; the caller closes them.
    pub fn take_idle_to_any(&mut self, endpoints: &BTreeSet<EndpointId>) -> Vec<EndpointConnectionId> {
        self.take_idle(|to, _| endpoints.contains(&to))
    }

    /// Removes the idle connections that have reached their time-out, and the longest idle ones while the pool is
    /// over its limit. Returns them; the caller closes them.
    pub fn take_expired(&mut self, now: Micros) -> Vec<EndpointConnectionId> {
        let idle_timeout = self.idle_timeout;
        let mut expired = self.take_idle(|_, since| now - since >= idle_timeout);
        while self.connections.len() > self.max_connections {
            let Some(oldest) = self.oldest_idle() else { break };
            self.on_closed(oldest);
            expired.push(oldest);
        }
        let idle = self.connections.values().filter_map(|connection| connection.state.idle_since());
        self.earliest_idle_since = idle.min();
        expired
    }

    /// Returns a time no later than the next idle time-out of a connection; `None` if no connection is idle.
    pub fn next_expiry(&self) -> Option<Micros> {
        self.earliest_idle_since.map(|since| since + self.idle_timeout)
    }

    fn oldest_idle(&self) -> Option<EndpointConnectionId> {
        let idle = self.connections.iter();
        let idle = idle.filter_map(|(id, connection)| Some((connection.state.idle_since()?, *id)));
        idle.min().map(|(_, id)| id)
    }

    fn take_idle(&mut self, is_taken: impl Fn(EndpointId, Micros) -> bool) -> Vec<EndpointConnectionId> {
        let taken = self.connections.extract_if(.., |_, connection| {
            connection.state.idle_since().is_some_and(|since| is_taken(connection.endpoint, since))
        });
        let taken: Vec<_> = taken.map(|(id, _)| id).collect();
        self.retired.retain(|id| !taken.contains(id));
        taken
    }
}

/// Returns the idle time-out on this side, a tenth below the endpoint's. The endpoint counts from when it wrote its
/// answer, and its close takes time to arrive.
fn safe_idle_timeout(endpoint_idle_timeout: Micros) -> Micros {
    endpoint_idle_timeout - endpoint_idle_timeout / 10
}

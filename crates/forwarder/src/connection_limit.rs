//! Which client connection has to go when there are too many: a state machine without sockets.
//!
//! Part of the limit is kept for connections in a lingering close, so that room for a new client costs no other client its
//! answer.

use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// A client connection; numbers are not used again.
pub type ConnectionId = u64;

/// Time for the first request. A client that connects to send one sends it at once; a connection without one for longer is
/// evicted first.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(100);
/// One part in so many of the limit is kept for lingering connections.
const LINGERING_SHARE_DIVISOR: usize = 8;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionState {
    /// Has not yet sent a whole request.
    New,
    /// A request is being answered.
    Busy,
    /// Its last request is answered.
    Idle,
    /// Evicted: told to close.
    Closing,
    /// Its sending side is shut; what its client still sends is discarded.
    Lingering,
    /// Told to stop lingering.
    Cut,
}

impl ConnectionState {
    fn is_serving(self) -> bool {
        matches!(self, ConnectionState::New | ConnectionState::Busy | ConnectionState::Idle)
    }
}

/// What one connection is told, so that another fits in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Eviction {
    /// Close, with a lingering close.
    Close(ConnectionId),
    /// Stop lingering.
    Cut(ConnectionId),
}

/// Order of eviction: the lowest goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionRank {
    OverdueFirstRequest,
    Idle,
    JustConnected,
}

#[derive(Clone, Copy, Debug)]
struct TrackedConnection {
    state: ConnectionState,
    /// When it got into that state.
    since: Instant,
}

/// All client connections, their states, and the limit on them.
#[derive(Debug)]
pub struct ConnectionLimit {
    connections: BTreeMap<ConnectionId, TrackedConnection>,
    last_id: ConnectionId,
    max_connections: usize,
}

impl ConnectionLimit {
    /// No connections yet, and at most so many at once.
    pub fn new(max_connections: usize) -> Self {
        ConnectionLimit { connections: BTreeMap::new(), last_id: 0, max_connections }
    }

    /// Whether another connection has to wait.
    pub fn is_full(&self) -> bool {
        self.connections.len() >= self.max_connections
    }

    /// A client has connected.
    pub fn on_connected(&mut self, now: Instant) -> ConnectionId {
        self.last_id += 1;
        self.set_state(self.last_id, ConnectionState::New, now);
        self.last_id
    }

    /// A connection has sent a request. An eviction that crosses it stands.
    pub fn on_request(&mut self, id: ConnectionId, now: Instant) {
        self.set_serving_state(id, ConnectionState::Busy, now);
    }

    /// A connection's request is answered.
    pub fn on_answered(&mut self, id: ConnectionId, now: Instant) {
        self.set_serving_state(id, ConnectionState::Idle, now);
    }

    /// A connection's sending side is shut: it stays open only for its client to close.
    pub fn on_lingering(&mut self, id: ConnectionId, now: Instant) {
        if self.connections.contains_key(&id) {
            self.set_state(id, ConnectionState::Lingering, now);
        }
    }

    /// A connection is closed.
    pub fn on_closed(&mut self, id: ConnectionId) {
        self.connections.remove(&id);
    }

    /// The connection that has to go next, if one has to and one can. With the limit reached, the one that lingers longest
    /// is cut. While the part that is kept for lingering ones is in use, one closes: the one whose first request is longest
    /// overdue, then the one that is idle longest, and with the limit reached one that has only just connected. None while
    /// all are busy or closing.
    pub fn evict(&mut self, now: Instant) -> Option<Eviction> {
        if let Some(id) = self.longest_lingering() {
            self.set_state(id, ConnectionState::Cut, now);
            return Some(Eviction::Cut(id));
        }
        if !self.has_to_close_one() {
            return None;
        }
        let id = self.first_to_close(now)?;
        self.set_state(id, ConnectionState::Closing, now);
        Some(Eviction::Close(id))
    }

    /// The connection to cut: none while there is room, or while another that was cut has not gone yet.
    fn longest_lingering(&self) -> Option<ConnectionId> {
        if !self.is_full() || self.count(|state| state == ConnectionState::Cut) > 0 {
            return None;
        }
        let lingering = self.connections.iter().filter(|(_, it)| it.state == ConnectionState::Lingering);
        lingering.map(|(id, it)| (it.since, *id)).min().map(|(_, id)| id)
    }

    fn has_to_close_one(&self) -> bool {
        let kept_for_lingering = (self.max_connections / LINGERING_SHARE_DIVISOR).max(1);
        let serving = self.count(ConnectionState::is_serving);
        let leaving = self.count(|state| matches!(state, ConnectionState::Closing | ConnectionState::Cut));
        serving + kept_for_lingering > self.max_connections || self.is_full() && leaving == 0
    }

    fn first_to_close(&self, now: Instant) -> Option<ConnectionId> {
        let ranked = self
            .connections
            .iter()
            .filter_map(|(id, connection)| Some((self.rank(connection, now)?, connection.since, *id)));
        ranked.min().map(|(_, _, id)| id)
    }

    fn rank(&self, connection: &TrackedConnection, now: Instant) -> Option<EvictionRank> {
        match connection.state {
            ConnectionState::New if now - connection.since >= FIRST_REQUEST_TIMEOUT => {
                Some(EvictionRank::OverdueFirstRequest)
            }
            ConnectionState::Idle => Some(EvictionRank::Idle),
            ConnectionState::New if self.is_full() => Some(EvictionRank::JustConnected),
            _ => None,
        }
    }

    fn count(&self, is_counted: impl Fn(ConnectionState) -> bool) -> usize {
        self.connections.values().filter(|connection| is_counted(connection.state)).count()
    }

    fn set_state(&mut self, id: ConnectionId, state: ConnectionState, now: Instant) {
        self.connections.insert(id, TrackedConnection { state, since: now });
    }

    /// Changes the state of a connection that has not been evicted.
    fn set_serving_state(&mut self, id: ConnectionId, state: ConnectionState, now: Instant) {
        if self.connections.get(&id).is_some_and(|connection| connection.state.is_serving()) {
            self.set_state(id, state, now);
        }
    }
}

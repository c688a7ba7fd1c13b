//! Decides which client connection to evict when there are too many, or when their requests hold too much memory: a
//! state machine without sockets.
//!
//! Clients whose request is overdue are evicted first, because a client that follows the protocol sends its whole request
//! at once. A connection that has only just been accepted is never evicted. Part of the limit is reserved for connections in a lingering close, so that no client loses its answer when a
//! connection is evicted for a new client.

use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// The number of a client connection; numbers are not reused.
pub type ConnectionId = u64;

/// Time after which a request that has not arrived completely is overdue. It counts from the connection's start for the
/// first head, and from the head for a body.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(100);
/// Divisor of the limit that gives the number of places reserved for lingering connections.
const LINGERING_SHARE_DIVISOR: usize = 8;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionState {
    /// Has not yet sent the whole head of its first request.
    New,
    /// Has sent the head of a request whose body is arriving.
    Receiving,
    /// Has sent the head of a request whose body is not read because there is no memory for it.
    AwaitingMemory,
    /// Has a request that is being answered.
    Busy,
    /// Has its last request answered.
    Idle,
    /// Has been evicted and signalled to close.
    Closing,
    /// Has its sending side shut down; what its client still sends is discarded.
    Lingering,
    /// Has been signalled to stop lingering.
    Cut,
}

impl ConnectionState {
    fn is_serving(self) -> bool {
        !matches!(self, ConnectionState::Closing | ConnectionState::Lingering | ConnectionState::Cut)
    }
}

/// The signal to one connection that makes room for another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Eviction {
    /// Asks for a lingering close.
    Close(ConnectionId),
    /// Asks for the end of a lingering close.
    Cut(ConnectionId),
}

/// Order of eviction; the lowest rank is evicted first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionRank {
    OverdueRequest,
    Idle,
    AwaitingMemory,
}

#[derive(Clone, Copy, Debug)]
struct TrackedConnection {
    state: ConnectionState,
    /// The time when the connection entered `state`.
    since: Instant,
    /// Memory that is reserved for its requests, in bytes.
    reserved_bytes: usize,
}

impl TrackedConnection {
    /// Returns when the request becomes overdue that is arriving on the connection; `None` if none is.
    fn overdue_at(&self) -> Option<Instant> {
        let is_arriving = matches!(self.state, ConnectionState::New | ConnectionState::Receiving);
        is_arriving.then(|| self.since + REQUEST_TIMEOUT)
    }

    fn eviction_rank(&self, now: Instant) -> Option<EvictionRank> {
        match self.state {
            ConnectionState::New | ConnectionState::Receiving => {
                let is_overdue = self.overdue_at().is_some_and(|at| at <= now);
                is_overdue.then_some(EvictionRank::OverdueRequest)
            }
            ConnectionState::Idle => Some(EvictionRank::Idle),
            ConnectionState::AwaitingMemory if now - self.since >= REQUEST_TIMEOUT => {
                Some(EvictionRank::AwaitingMemory)
            }
            _ => None,
        }
    }
}

/// All client connections, their states, and the limit on them.
#[derive(Debug)]
pub struct ConnectionLimit {
    connections: BTreeMap<ConnectionId, TrackedConnection>,
    last_id: ConnectionId,
    max_connections: usize,
}

impl ConnectionLimit {
    /// Returns a limit of `max_connections` without open connections.
    pub fn new(max_connections: usize) -> Self {
        ConnectionLimit { connections: BTreeMap::new(), last_id: 0, max_connections }
    }

    /// Returns the limit.
    pub fn max_connections(&self) -> usize {
        self.max_connections
    }

    /// Returns whether the limit is reached, so that another connection has to wait.
    pub fn is_full(&self) -> bool {
        self.connections.len() >= self.max_connections
    }

    /// Records that a client has connected, and returns the connection's id.
    pub fn on_connected(&mut self, now: Instant) -> ConnectionId {
        self.last_id += 1;
        self.set_state(self.last_id, ConnectionState::New, now);
        self.last_id
    }

    /// Records that a connection has sent the head of a request whose body is arriving. Has no effect on a connection that
    /// is already being evicted.
    pub fn on_receiving(&mut self, id: ConnectionId, now: Instant) {
        self.set_serving_state(id, ConnectionState::Receiving, now);
    }

    /// Records that the body of a connection's request waits for memory. Has no effect on a connection that is already
    /// being evicted.
    pub fn on_awaiting_memory(&mut self, id: ConnectionId, now: Instant) {
        self.set_serving_state(id, ConnectionState::AwaitingMemory, now);
    }

    /// Records that memory is reserved for a connection, in bytes.
    pub fn on_reserved(&mut self, id: ConnectionId, bytes: usize) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.reserved_bytes += bytes;
        }
    }

    /// Records that memory of a connection is given back, in bytes.
    pub fn on_released(&mut self, id: ConnectionId, bytes: usize) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.reserved_bytes = connection.reserved_bytes.saturating_sub(bytes);
        }
    }

    /// Records that a connection has sent a whole request. Has no effect on a connection that is already being evicted.
    pub fn on_request(&mut self, id: ConnectionId, now: Instant) {
        self.set_serving_state(id, ConnectionState::Busy, now);
    }

    /// Records that a connection's request is answered.
    pub fn on_answered(&mut self, id: ConnectionId, now: Instant) {
        self.set_serving_state(id, ConnectionState::Idle, now);
    }

    /// Records that a connection's sending side is shut down. The connection stays open only until its client closes.
    pub fn on_lingering(&mut self, id: ConnectionId, now: Instant) {
        if self.connections.contains_key(&id) {
            self.set_state(id, ConnectionState::Lingering, now);
        }
    }

    /// Records that a connection is closed.
    pub fn on_closed(&mut self, id: ConnectionId) {
        self.connections.remove(&id);
    }

    /// Evicts the next connection if room is needed and a connection can be evicted.
    ///
    /// At the limit, the connection that has been lingering longest is cut. Otherwise a connection is closed if
    /// serving connections use places that are reserved for lingering ones, or if the limit is reached and no
    /// connection is being closed or cut. The first choice is the connection whose request is longest overdue. The
    /// second is the one that has been idle longest, the third the one that has waited longest for memory. Returns `None`
    /// while all are busy, closing, or not overdue; [`ConnectionLimit::next_overdue`] says when to ask again.
    pub fn evict(&mut self, now: Instant) -> Option<Eviction> {
        if let Some(id) = self.longest_lingering() {
            self.set_state(id, ConnectionState::Cut, now);
            return Some(Eviction::Cut(id));
        }
        if !self.must_close_one() {
            return None;
        }
        let id = self.first_to_close(now, |_| true)?;
        self.set_state(id, ConnectionState::Closing, now);
        Some(Eviction::Close(id))
    }

    /// Evicts the next connection that holds reserved memory, as long as the connections that are being closed hold less
    /// than `missing_bytes`. The order is that of [`ConnectionLimit::evict`].
    pub fn evict_for_memory(&mut self, missing_bytes: usize, now: Instant) -> Option<ConnectionId> {
        let closing = self.connections.values().filter(|one| one.state == ConnectionState::Closing);
        if closing.map(|one| one.reserved_bytes).sum::<usize>() >= missing_bytes {
            return None;
        }
        let id = self.first_to_close(now, |connection| connection.reserved_bytes > 0)?;
        self.set_state(id, ConnectionState::Closing, now);
        Some(id)
    }

    /// Returns when the next request becomes overdue; `None` if none is arriving or all are overdue already.
    pub fn next_overdue(&self, now: Instant) -> Option<Instant> {
        self.connections.values().filter_map(TrackedConnection::overdue_at).filter(|at| *at > now).min()
    }

    /// Returns the connection to cut. Returns `None` below the limit, or while a connection that was cut is still open.
    fn longest_lingering(&self) -> Option<ConnectionId> {
        if !self.is_full() || self.count(|state| state == ConnectionState::Cut) > 0 {
            return None;
        }
        let lingering =
            self.connections.iter().filter(|(_, connection)| connection.state == ConnectionState::Lingering);
        lingering.map(|(id, connection)| (connection.since, *id)).min().map(|(_, id)| id)
    }

    fn must_close_one(&self) -> bool {
        let reserved_for_lingering = (self.max_connections / LINGERING_SHARE_DIVISOR).max(1);
        let serving = self.count(ConnectionState::is_serving);
        let closing = self.count(|state| matches!(state, ConnectionState::Closing | ConnectionState::Cut));
        serving + reserved_for_lingering > self.max_connections || self.is_full() && closing == 0
    }

    fn first_to_close(
        &self,
        now: Instant,
        is_candidate: impl Fn(&TrackedConnection) -> bool,
    ) -> Option<ConnectionId> {
        let candidates = self.connections.iter().filter(|(_, connection)| is_candidate(connection));
        let ranked = candidates
            .filter_map(|(id, connection)| Some((connection.eviction_rank(now)?, connection.since, *id)));
        ranked.min().map(|(_, _, id)| id)
    }

    fn count(&self, is_counted: impl Fn(ConnectionState) -> bool) -> usize {
        self.connections.values().filter(|connection| is_counted(connection.state)).count()
    }

    fn set_state(&mut self, id: ConnectionId, state: ConnectionState, now: Instant) {
        let reserved_bytes = self.connections.get(&id).map_or(0, |connection| connection.reserved_bytes);
        self.connections.insert(id, TrackedConnection { state, since: now, reserved_bytes });
    }

    /// Changes the state of a connection that has not been evicted.
    fn set_serving_state(&mut self, id: ConnectionId, state: ConnectionState, now: Instant) {
        if self.connections.get(&id).is_some_and(|connection| connection.state.is_serving()) {
            self.set_state(id, state, now);
        }
    }
}

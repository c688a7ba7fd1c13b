//! Which of the sender side's connections has to go when there are too many, as states. No socket is here.

use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// A client's connection, numbered anew each time.
pub type ConnectionId = u64;

/// Who connects to ask does so at once: a connection that has asked nothing for longer goes first.
const FIRST_REQUEST_TIME: Duration = Duration::from_millis(100);
/// One part in so many is kept for connections whose close lingers: a place wanted at once costs no client its answer.
const LINGERING_SHARE: usize = 8;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionState {
    /// It has not yet sent a whole request.
    New,
    /// A request of it is being answered.
    Busy,
    /// It has had its last answer.
    Idle,
    /// It was told to close.
    Closing,
    /// Its sending is ended; what its client still sends is dropped.
    Lingering,
    /// It was told to linger no more.
    Cut,
}

impl ConnectionState {
    fn is_staying(self) -> bool {
        matches!(self, ConnectionState::New | ConnectionState::Busy | ConnectionState::Idle)
    }
}

/// What one connection is told, so that another finds a place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Eviction {
    /// To close, with all that belongs to that.
    Close(ConnectionId),
    /// To linger no more.
    Cut(ConnectionId),
}

/// All connections of the sender side: what each is doing, and since when.
#[derive(Debug)]
pub struct ConnectionLimit {
    connections: BTreeMap<ConnectionId, (ConnectionState, Instant)>,
    next: ConnectionId,
    most: usize,
}

impl ConnectionLimit {
    /// Nobody yet, and so many at once.
    pub fn new(most: usize) -> Self {
        ConnectionLimit { connections: BTreeMap::new(), next: 0, most }
    }

    /// Whether another has to wait.
    pub fn is_full(&self) -> bool {
        self.connections.len() >= self.most
    }

    /// Another has connected.
    pub fn on_connected(&mut self, now: Instant) -> ConnectionId {
        self.next += 1;
        self.connections.insert(self.next, (ConnectionState::New, now));
        self.next
    }

    /// It has sent a request.
    pub fn on_request(&mut self, id: ConnectionId, now: Instant) {
        self.turn(id, ConnectionState::Busy, now);
    }

    /// Its request is answered.
    pub fn on_answered(&mut self, id: ConnectionId, now: Instant) {
        self.turn(id, ConnectionState::Idle, now);
    }

    /// Its sending is ended: only its client keeps it.
    pub fn on_lingering(&mut self, id: ConnectionId, now: Instant) {
        if let Some(connection) = self.connections.get_mut(&id) {
            *connection = (ConnectionState::Lingering, now);
        }
    }

    fn turn(&mut self, id: ConnectionId, to: ConnectionState, now: Instant) {
        if let Some(connection) = self.connections.get_mut(&id).filter(|connection| connection.0.is_staying())
        {
            *connection = (to, now);
        }
    }

    /// Its connection is closed.
    pub fn on_closed(&mut self, id: ConnectionId) {
        self.connections.remove(&id);
    }

    /// Who has to go next, if one has to and one can. With no place left the one that lingers longest is cut. Where the
    /// places kept for those that linger are in use, one closes: the one that has been silent longest since it connected,
    /// then the one that has been idle longest, and with no place left one that has only just connected. None while all
    /// are busy or going.
    pub fn evict(&mut self, now: Instant) -> Option<Eviction> {
        let spare = (self.most / LINGERING_SHARE).max(1);
        let count = |which: fn(ConnectionState) -> bool| {
            self.connections.values().filter(|(state, _)| which(*state)).count()
        };
        let (staying, cut) =
            (count(ConnectionState::is_staying), count(|state| state == ConnectionState::Cut));
        let closing = count(|state| state == ConnectionState::Closing);
        let full = self.is_full();
        let lingers = |(id, (state, since)): (&ConnectionId, &(ConnectionState, Instant))| {
            (*state == ConnectionState::Lingering).then_some((*since, *id))
        };
        let longest = self.connections.iter().filter_map(lingers).min().filter(|_| full && cut == 0);
        if let Some((_, id)) = longest {
            self.connections.insert(id, (ConnectionState::Cut, now));
            return Some(Eviction::Cut(id));
        }
        if staying + spare <= self.most && !(full && cut + closing == 0) {
            return None;
        }
        let rank = |(id, (state, since)): (&ConnectionId, &(ConnectionState, Instant))| match state {
            ConnectionState::New if now - *since >= FIRST_REQUEST_TIME => Some((0, *since, *id)),
            ConnectionState::Idle => Some((1, *since, *id)),
            ConnectionState::New if full => Some((2, *since, *id)),
            _ => None,
        };
        let (_, _, id) = self.connections.iter().filter_map(rank).min()?;
        self.connections.insert(id, (ConnectionState::Closing, now));
        Some(Eviction::Close(id))
    }
}

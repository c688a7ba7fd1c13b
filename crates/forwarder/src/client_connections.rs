//! The open client connections, shared by the listener and the connections' tasks.
//!
//! This module enforces the limit on open connections. It tells the tasks of connections to close them: to make room
//! for another connection, in a graceful shutdown, and when a successor process takes over the clients.

use crate::connection_limit::{ConnectionId, ConnectionLimit, Eviction};
use std::cell::{Cell, RefCell, RefMut};
use std::collections::HashMap;
use std::rc::Rc;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

/// Size of the buffer for bytes that are discarded.
const DISCARD_BUFFER_BYTES: usize = 64 << 10;

/// The open client connections and the limit on them.
pub struct ClientConnections {
    limit: RefCell<ConnectionLimit>,
    limit_changed: Notify,
    signals: RefCell<HashMap<ConnectionId, Rc<EvictionSignals>>>,
    discard_buffer: RefCell<Box<[u8]>>,
    shutting_down: watch::Sender<bool>,
    handing_over: Cell<bool>,
}

/// The signals that tell a connection to make room for another one.
#[derive(Default)]
pub(crate) struct EvictionSignals {
    /// Asks for a lingering close.
    pub(crate) close: Notify,
    /// Asks for the end of a lingering close.
    pub(crate) cut: Notify,
}

impl ClientConnections {
    /// Returns an empty set that allows at most `max_connections` connections at a time.
    pub fn new(max_connections: usize) -> Rc<Self> {
        Rc::new(ClientConnections {
            limit: RefCell::new(ConnectionLimit::new(max_connections)),
            limit_changed: Notify::new(),
            signals: RefCell::default(),
            discard_buffer: RefCell::new(vec![0; DISCARD_BUFFER_BYTES].into()),
            shutting_down: watch::Sender::new(false),
            handing_over: Cell::new(false),
        })
    }

    /// Starts the graceful shutdown, in which each connection closes once its request is answered.
    pub fn shut_down(&self) {
        self.shutting_down.send_replace(true);
    }

    /// Starts the handover of the clients to a successor process. Each connection closes after its next answer, which
    /// carries `Connection: close`.
    pub fn hand_over(&self) {
        self.handing_over.set(true);
    }

    pub(crate) fn subscribe_shutdown(&self) -> watch::Receiver<bool> {
        self.shutting_down.subscribe()
    }

    pub(crate) fn is_shutting_down(&self) -> bool {
        *self.shutting_down.borrow()
    }

    pub(crate) fn is_handing_over(&self) -> bool {
        self.handing_over.get()
    }

    pub(crate) fn is_full(&self) -> bool {
        self.limit.borrow().is_full()
    }

    /// Returns the shared buffer for bytes that are discarded.
    pub(crate) fn discard_buffer(&self) -> RefMut<'_, Box<[u8]>> {
        self.discard_buffer.borrow_mut()
    }

    /// Waits until there is room for another connection. Evicts connections before the limit is reached, so that they
    /// have time for a lingering close. At the limit, cuts the connections that have been lingering longest.
    pub(crate) async fn make_room(&self) {
        loop {
            while self.evict() {}
            if !self.is_full() {
                return;
            }
            self.limit_changed.notified().await;
        }
    }

    /// Evicts a connection if room is needed and a connection can be evicted. Returns whether it has evicted one.
    pub(crate) fn evict(&self) -> bool {
        let Some(eviction) = self.limit.borrow_mut().evict(Instant::now()) else { return false };
        let signals_of = |id: ConnectionId| self.signals.borrow().get(&id).cloned();
        match eviction {
            Eviction::Close(id) => signals_of(id).iter().for_each(|signals| signals.close.notify_one()),
            Eviction::Cut(id) => signals_of(id).iter().for_each(|signals| signals.cut.notify_one()),
        }
        true
    }

    pub(crate) fn on_connected(&self) -> (ConnectionId, Rc<EvictionSignals>) {
        let id = self.limit.borrow_mut().on_connected(Instant::now());
        let signals = Rc::new(EvictionSignals::default());
        self.signals.borrow_mut().insert(id, signals.clone());
        (id, signals)
    }

    pub(crate) fn on_request(&self, id: ConnectionId) {
        self.limit.borrow_mut().on_request(id, Instant::now());
    }

    pub(crate) fn on_answered(&self, id: ConnectionId) {
        self.limit.borrow_mut().on_answered(id, Instant::now());
        self.limit_changed.notify_one();
    }

    pub(crate) fn on_lingering(&self, id: ConnectionId) {
        self.limit.borrow_mut().on_lingering(id, Instant::now());
        self.limit_changed.notify_one();
    }

    pub(crate) fn on_closed(&self, id: ConnectionId) {
        self.limit.borrow_mut().on_closed(id);
        self.signals.borrow_mut().remove(&id);
        self.limit_changed.notify_one();
    }
}

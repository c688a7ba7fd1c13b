//! The open client connections, shared by the listener and the connections' tasks.
//!
//! Holds the limit on open connections and tells a connection when it has to close: for another one to fit in, in a
//! graceful shutdown, and when a newer process takes the clients over.

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

/// Tells a connection to make room for another.
#[derive(Default)]
pub(crate) struct EvictionSignals {
    /// Close, with a lingering close.
    pub(crate) close: Notify,
    /// Stop lingering.
    pub(crate) cut: Notify,
}

impl ClientConnections {
    /// No connections yet, and at most so many at once.
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

    /// Starts the graceful shutdown: each connection closes once its request is answered.
    pub fn shut_down(&self) {
        self.shutting_down.send_replace(true);
    }

    /// A newer process takes the clients over: each connection closes with its next answer, and says so in it.
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

    /// A buffer whose contents nobody reads.
    pub(crate) fn discard_buffer(&self) -> RefMut<'_, Box<[u8]>> {
        self.discard_buffer.borrow_mut()
    }

    /// Waits until another connection fits in. Evicts some before there is need, so that their close can linger; when there
    /// is need, cuts those that linger longest.
    pub(crate) async fn make_room(&self) {
        loop {
            while self.evict() {}
            if !self.is_full() {
                return;
            }
            self.limit_changed.notified().await;
        }
    }

    /// Evicts a connection if one has to go and one can; whether it did.
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

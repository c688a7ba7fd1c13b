//! The open client connections, shared by the listener and the connections' tasks.
//!
//! This module enforces the limits on open connections and on the memory of their requests. It tells the tasks of
//! connections to close them: to make room for another connection or request, in a graceful shutdown, and when a
//! successor process takes over the clients.

use crate::config::Limits;
use crate::connection_limit::{ConnectionId, ConnectionLimit, Eviction};
use crate::log;
use crate::request_memory::{MemoryPermit, RequestMemory};
use std::cell::{Cell, RefCell, RefMut};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{Notify, watch};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

/// Size of the buffer for bytes that are discarded.
const DISCARD_BUFFER_BYTES: usize = 64 << 10;
/// Interval at which connections are evicted while requests wait for memory.
const MEMORY_EVICTION_INTERVAL: Duration = Duration::from_millis(10);
/// Limit on the time from the request to close a connection until its last request is decided on. It exceeds the 400 ms
/// after which a client gives up.
const LAST_ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// The same from the end of reading in a shutdown, after which the process exits soon.
const LAST_DECISION_TIMEOUT: Duration = Duration::from_millis(100);
/// Longest wait for a place when no request becomes overdue earlier.
const MAX_ROOM_WAIT: Duration = Duration::from_secs(1);

/// What clients still get, from the most to the least.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ClientService {
    /// Connections and requests are accepted.
    Full,
    /// Requests that have begun to arrive are read and answered.
    RequestsInProgress,
    /// Nothing is read. Requests that have arrived whole are answered.
    AnswersOnly,
}

/// The open client connections and the limits on them.
pub struct ClientConnections {
    limit: RefCell<ConnectionLimit>,
    limit_changed: Notify,
    signals: RefCell<HashMap<ConnectionId, Rc<EvictionSignals>>>,
    memory: RequestMemory,
    is_evicting_for_memory: Cell<bool>,
    discard_buffer: RefCell<Box<[u8]>>,
    service: watch::Sender<ClientService>,
    handing_over: Cell<bool>,
}

/// The signals that tell a connection to make room for another one.
#[derive(Default)]
pub(crate) struct EvictionSignals {
    /// Whether a lingering close was asked for.
    is_closing: Cell<bool>,
    /// Asks for a lingering close.
    close: Notify,
    /// Asks for an answer to the request whose body is arriving, instead of waiting for the rest.
    stop_receiving: Notify,
    /// Asks for the end of a lingering close.
    cut: Notify,
}

impl ClientConnections {
    /// Returns an empty set that allows at most `max_connections` connections at a time, without a limit on the memory
    /// of their requests.
    pub fn new(max_connections: usize) -> Rc<Self> {
        ClientConnections::with_memory(max_connections, RequestMemory::unlimited())
    }

    /// Returns an empty set as [`ClientConnections::new`] does, with this memory for requests.
    pub fn with_memory(max_connections: usize, memory: RequestMemory) -> Rc<Self> {
        Rc::new(ClientConnections {
            limit: RefCell::new(ConnectionLimit::new(max_connections)),
            limit_changed: Notify::new(),
            signals: RefCell::default(),
            memory,
            is_evicting_for_memory: Cell::new(false),
            discard_buffer: RefCell::new(vec![0; DISCARD_BUFFER_BYTES].into()),
            service: watch::Sender::new(ClientService::Full),
            handing_over: Cell::new(false),
        })
    }

    /// Starts the graceful shutdown. A connection without a request closes. Any other closes once its request is answered.
    pub fn shut_down(&self) {
        self.reduce_service(ClientService::RequestsInProgress);
    }

    /// Has the connections read no more. Requests that have arrived whole are answered, and all others refused.
    pub fn stop_reading(&self) {
        self.reduce_service(ClientService::AnswersOnly);
    }

    fn reduce_service(&self, service: ClientService) {
        self.service.send_if_modified(|current| {
            let is_reduced = *current < service;
            *current = service.max(*current);
            is_reduced
        });
    }

    /// Starts the handover of the clients to a successor process. Each connection closes after its next answer, which
    /// carries `Connection: close`.
    pub fn hand_over(&self) {
        self.handing_over.set(true);
    }

    /// Registers a connection. It stays registered until the result is dropped. Without its socket, its client never counts
    /// as gone.
    pub fn register(self: &Rc<Self>, socket: Option<Rc<TcpStream>>) -> RegisteredConnection {
        let id = self.limit.borrow_mut().on_connected(Instant::now());
        let signals = Rc::new(EvictionSignals::default());
        self.signals.borrow_mut().insert(id, signals.clone());
        let is_reset = Cell::new(false);
        RegisteredConnection { id, connections: self.clone(), signals, socket, is_reset }
    }

    /// Waits until the service is reduced to this or less.
    pub(crate) async fn reduced_to(&self, service: ClientService) {
        // Fails only without a sender, which this value holds.
        let _ = self.service.subscribe().wait_for(|current| *current >= service).await;
    }

    pub(crate) fn is_shutting_down(&self) -> bool {
        *self.service.borrow() >= ClientService::RequestsInProgress
    }

    pub(crate) fn has_stopped_reading(&self) -> bool {
        *self.service.borrow() >= ClientService::AnswersOnly
    }

    fn is_handing_over(&self) -> bool {
        self.handing_over.get()
    }

    pub(crate) fn is_full(&self) -> bool {
        self.limit.borrow().is_full()
    }

    /// Applies other limits on the memory of requests. The limit on connections stays.
    pub fn set_limits(&self, limits: Limits) {
        let max_connections = self.limit.borrow().max_connections();
        self.memory.set_limit(limits.request_bytes(max_connections).unwrap_or(usize::MAX));
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
            let now = Instant::now();
            let next_overdue = self.limit.borrow().next_overdue(now);
            let wait = next_overdue.map_or(MAX_ROOM_WAIT, |at| at - now);
            // After the wait, whether notified or not, the connections are looked at again.
            drop(timeout(wait, self.limit_changed.notified()).await);
        }
    }

    /// Evicts a connection if room is needed and a connection can be evicted. Returns whether it has evicted one.
    pub(crate) fn evict(&self) -> bool {
        let Some(eviction) = self.limit.borrow_mut().evict(Instant::now()) else { return false };
        match eviction {
            Eviction::Close(id) => {
                log!("client connection: evicted: client={id} reason=places");
                self.signal(id, EvictionSignals::request_close);
            }
            Eviction::Cut(id) => self.signal(id, |signals| signals.cut.notify_one()),
        }
        true
    }

    fn signal(&self, id: ConnectionId, send: impl Fn(&EvictionSignals)) {
        let signals = self.signals.borrow().get(&id).cloned();
        signals.iter().for_each(|signals| send(signals));
    }

    /// Starts the task that evicts connections while requests wait for memory, unless it runs already.
    fn start_evicting_for_memory(self: &Rc<Self>) {
        if self.is_evicting_for_memory.replace(true) {
            return;
        }
        let connections = self.clone();
        spawn_local(async move {
            while connections.memory.missing_bytes() > 0 {
                connections.evict_for_memory();
                sleep(MEMORY_EVICTION_INTERVAL).await;
            }
            connections.is_evicting_for_memory.set(false);
        });
    }

    fn evict_for_memory(&self) {
        let missing_bytes = self.memory.missing_bytes();
        loop {
            let evicted = self.limit.borrow_mut().evict_for_memory(missing_bytes, Instant::now());
            let Some(id) = evicted else { return };
            log!("client connection: evicted: client={id} reason=memory missing_bytes={missing_bytes}");
            self.signal(id, EvictionSignals::request_close);
        }
    }
}

impl EvictionSignals {
    fn request_close(&self) {
        self.is_closing.set(true);
        self.close.notify_waiters();
    }
}

/// An open client connection. It counts against the limit until this value is dropped.
pub struct RegisteredConnection {
    id: ConnectionId,
    connections: Rc<ClientConnections>,
    signals: Rc<EvictionSignals>,
    socket: Option<Rc<TcpStream>>,
    is_reset: Cell<bool>,
}

impl RegisteredConnection {
    /// Returns its id, which names it in the log.
    pub(crate) fn id(&self) -> ConnectionId {
        self.id
    }

    /// Returns the set that it belongs to.
    pub fn connections(&self) -> &Rc<ClientConnections> {
        &self.connections
    }

    /// Returns whether the client has reset the connection. It reads no answer then, and what it has sent before is no
    /// request any more. A client that has only shut down its sending side still waits for its answers.
    pub(crate) fn is_reset(&self) -> bool {
        // The system reports the error of a socket once.
        let has_error =
            || self.socket.as_ref().is_some_and(|socket| matches!(socket.take_error(), Ok(Some(_))));
        if !self.is_reset.get() && has_error() {
            self.is_reset.set(true);
        }
        self.is_reset.get()
    }

    /// Records that the head of a request has been read and its body is arriving.
    pub(crate) fn on_receiving(&self) {
        self.connections.limit.borrow_mut().on_receiving(self.id, Instant::now());
    }

    /// Records that a whole request has been read.
    pub(crate) fn on_request(&self) {
        self.connections.limit.borrow_mut().on_request(self.id, Instant::now());
    }

    /// Records that the last request has been answered.
    pub(crate) fn on_answered(&self) {
        self.connections.limit.borrow_mut().on_answered(self.id, Instant::now());
        self.connections.limit_changed.notify_one();
    }

    /// Records that the sending side is shut down.
    pub(crate) fn on_lingering(&self) {
        self.connections.limit.borrow_mut().on_lingering(self.id, Instant::now());
        self.connections.limit_changed.notify_one();
    }

    /// Waits until the connection is evicted.
    pub(crate) async fn evicted(&self) {
        while !self.signals.is_closing.get() {
            self.signals.close.notified().await;
        }
    }

    /// Returns whether the connection closes with its next answer.
    pub(crate) fn is_closing(&self) -> bool {
        let connections = &self.connections;
        self.signals.is_closing.get() || connections.is_handing_over() || connections.is_shutting_down()
    }

    /// Ends the wait for the rest of a request.
    pub(crate) fn stop_receiving(&self) {
        self.signals.stop_receiving.notify_one();
    }

    /// Waits until the rest of the request is not to be waited for any more.
    pub(crate) async fn receiving_stopped(&self) {
        self.signals.stop_receiving.notified().await;
    }

    /// Waits until the last answer of the connection is overdue, because the connection has to close.
    pub(crate) async fn answer_overdue(&self) {
        tokio::select! {
            () = async {
                tokio::select! {
                    () = self.evicted() => {}
                    () = self.connections.reduced_to(ClientService::RequestsInProgress) => {}
                }
                sleep(LAST_ANSWER_TIMEOUT).await;
            } => {}
            () = async {
                self.connections.reduced_to(ClientService::AnswersOnly).await;
                sleep(LAST_DECISION_TIMEOUT).await;
            } => {}
        }
    }

    /// Waits until a lingering close has to end.
    pub(crate) async fn cut(&self) {
        self.signals.cut.notified().await;
    }

    /// Reserves memory for the body of a request, in bytes. Evicts other connections if there is not enough.
    pub(crate) async fn reserve_body(&self, bytes: usize) -> MemoryReservation {
        if let Some(permit) = self.connections.memory.try_reserve(bytes) {
            return self.reservation(permit);
        }
        self.connections.limit.borrow_mut().on_awaiting_memory(self.id, Instant::now());
        let reservation = self.reserve(bytes).await;
        self.on_receiving();
        reservation
    }

    /// Reserves memory, in bytes. Evicts other connections if there is not enough.
    pub(crate) async fn reserve(&self, bytes: usize) -> MemoryReservation {
        if let Some(permit) = self.connections.memory.try_reserve(bytes) {
            return self.reservation(permit);
        }
        let waiting = self.connections.memory.reserve(bytes);
        self.connections.start_evicting_for_memory();
        self.reservation(waiting.await)
    }

    fn reservation(&self, permit: MemoryPermit) -> MemoryReservation {
        self.connections.limit.borrow_mut().on_reserved(self.id, permit.bytes());
        MemoryReservation { id: self.id, connections: self.connections.clone(), permit }
    }
}

impl Drop for RegisteredConnection {
    fn drop(&mut self) {
        self.connections.limit.borrow_mut().on_closed(self.id);
        self.connections.signals.borrow_mut().remove(&self.id);
        self.connections.limit_changed.notify_one();
    }
}

/// Memory that is reserved for a connection's request. It is given back when this value is dropped.
pub struct MemoryReservation {
    id: ConnectionId,
    connections: Rc<ClientConnections>,
    permit: MemoryPermit,
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.connections.limit.borrow_mut().on_released(self.id, self.permit.bytes());
    }
}

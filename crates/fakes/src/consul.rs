//! A fake server of Consul's HTTP API. It serves the catalogue and health with indexes and blocking queries, sessions,
//! keys and transactions, and has faults on demand. Tests and experiments register instances and set faults by method
//! calls.
//!
//! It is written from <https://developer.hashicorp.com/consul/api-docs/health>, `…/api-docs/catalog` and
//! `…/api-docs/features/blocking`. It has one datacentre and no namespaces, and applies no filters. A registration
//! takes effect at once.

mod bodies;
mod connection;
mod duration;
mod fault;
mod http;
mod instance;
mod kv;
mod registration;
mod request;
mod state;
mod tls;

pub use fault::ConsulFault;
pub use instance::{Instance, InstanceWeights};

use crate::certificates::CertificateFiles;
use crate::runtime::{ServerRuntime, unused_loopback_address};
use connection::accept;
use state::State;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;
use tokio::sync::{Notify, watch};
use tokio_rustls::TlsAcceptor;

/// The state of the server, and the notifications that wake the tasks waiting for its changes.
struct Inner {
    address: SocketAddr,
    state: Mutex<State>,
    /// Sends the index after each change of the state, and the same index again after each change of the fault.
    changed: watch::Sender<u64>,
    fault_changed: Notify,
    acceptor: Mutex<Option<TlsAcceptor>>,
}

impl Inner {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Numbers of connections from clients.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionCounts {
    /// Connections that are open now.
    pub open: usize,
    /// The most connections that have been open at once.
    pub peak: usize,
}

/// A handle to the server. Dropping the last handle closes all connections.
#[derive(Clone)]
pub struct ConsulServer {
    inner: Arc<Inner>,
    _runtime: Arc<ServerRuntime>,
}

impl ConsulServer {
    /// Starts the server on its own runtime, at a free port of an unused loopback address.
    pub fn start() -> Self {
        let runtime = Arc::new(ServerRuntime::new());
        let listener = runtime.listen(unused_loopback_address());
        let address = listener.local_addr().expect("a socket");
        let inner = Arc::new(Inner {
            address,
            state: Mutex::new(State { index: 1, ..State::default() }),
            changed: watch::channel(1).0,
            fault_changed: Notify::new(),
            acceptor: Mutex::new(None),
        });
        let server = ConsulServer { inner: inner.clone(), _runtime: runtime.clone() };
        // The runtime ends when its last handle is dropped, so a task on it must not hold one.
        let weak = Arc::downgrade(&runtime);
        let listen_again = move || weak.upgrade().map(|runtime| runtime.listen_at(address));
        runtime.spawn(accept(inner, listener, listen_again));
        server
    }

    /// Returns the address at which the server listens.
    pub fn address(&self) -> SocketAddr {
        self.inner.address
    }

    /// Serves new connections over TLS with this certificate. With `client_authority`, clients need a certificate that
    /// this authority has signed. Panics if a file cannot be read.
    pub fn use_tls(&self, files: &CertificateFiles, client_authority: Option<&Path>) {
        let acceptor = tls::acceptor(files, client_authority);
        *self.inner.acceptor.lock().unwrap_or_else(PoisonError::into_inner) = Some(acceptor);
    }

    /// Deletes all keys with this prefix, even if a session holds their locks.
    pub fn delete_keys(&self, prefix: &str) {
        self.change(|state| state.store.delete(prefix, true, None));
    }

    /// Sets the factor for the TTL of sessions, from 1 to 2. A session that is not renewed ends after its TTL times
    /// this factor.
    pub fn set_session_expiry_factor(&self, factor: f64) {
        self.inner.state().store.expiry_factor = factor.clamp(1.0, 2.0);
    }

    /// Sets the fault from now on. It also applies to requests that are waiting.
    pub fn set_fault(&self, fault: ConsulFault) {
        self.inner.state().fault = fault;
        self.inner.fault_changed.notify_waiters();
        self.inner.changed.send_modify(|_| ());
    }

    /// Rejects requests without this token from now on. With `None`, all requests are accepted.
    pub fn require_token(&self, token: Option<&str>) {
        self.inner.state().token = token.map(str::to_owned);
    }

    /// Sets all indexes of the catalogue back to 1, as Consul does when it is restored from a backup.
    pub fn reset_index(&self) {
        self.change(|state| {
            state.index = 1;
            state.service_index.values_mut().for_each(|index| *index = 1);
            state.catalog_index = 1;
            state.checks_index = 1;
        });
    }

    /// Returns when the first answer for this service with this index or a later one was written; `None` if there was
    /// no such answer.
    pub fn first_answered_at(&self, service: &str, index: u64) -> Option<Instant> {
        let state = self.inner.state();
        let answers = state.first_answers.get(service)?;
        answers.iter().find(|answer| answer.index >= index).map(|answer| answer.at)
    }

    /// Returns the number of requests so far.
    pub fn request_count(&self) -> u64 {
        self.inner.state().request_count
    }

    /// Returns the number of open connections and its peak.
    pub fn connections(&self) -> ConnectionCounts {
        self.inner.state().connections
    }

    fn change<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        let mut state = self.inner.state();
        let result = change(&mut state);
        self.inner.changed.send_replace(state.index);
        result
    }
}

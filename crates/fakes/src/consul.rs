//! A server of Consul's HTTP API: catalogue and health with indexes and blocking queries, sessions, keys and
//! transactions, and faults on demand. Tests and experiments register instances and set faults by plain calls.
//!
//! Written from <https://developer.hashicorp.com/consul/api-docs/health>, `…/api-docs/catalog` and
//! `…/api-docs/features/blocking`. It has one datacentre and no namespaces, applies no filters, and registers at once.

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

/// The state, and what wakes those that wait for its changes.
struct Inner {
    address: SocketAddr,
    state: Mutex<State>,
    /// The index after each change; also sent at a change of the fault.
    changed: watch::Sender<u64>,
    fault_changed: Notify,
    acceptor: Mutex<Option<TlsAcceptor>>,
}

impl Inner {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Connections from clients.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionCounts {
    /// Open now.
    pub open: usize,
    /// The most that were open at once.
    pub peak: usize,
}

/// The server. Dropping the last handle closes all its connections.
#[derive(Clone)]
pub struct ConsulServer {
    inner: Arc<Inner>,
    _runtime: Arc<ServerRuntime>,
}

impl ConsulServer {
    /// Starts it on a runtime of its own, at a free port of an unused loopback address.
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
        // The runtime ends with the last handle to it: what runs on it must hold none.
        let weak = Arc::downgrade(&runtime);
        let listen_again = move || weak.upgrade().map(|runtime| runtime.listen_at(address));
        runtime.spawn(accept(inner, listener, listen_again));
        server
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.inner.address
    }

    /// Serves new connections over TLS with this certificate; with `client_authority`, clients need a certificate that
    /// it has signed. Panics where a file cannot be read.
    pub fn use_tls(&self, files: &CertificateFiles, client_authority: Option<&Path>) {
        let acceptor = tls::acceptor(files, client_authority);
        *self.inner.acceptor.lock().unwrap_or_else(PoisonError::into_inner) = Some(acceptor);
    }

    /// Deletes all keys with this prefix, whichever session holds them.
    pub fn delete_keys(&self, prefix: &str) {
        self.change(|state| state.store.delete(prefix, true, None));
    }

    /// Ends sessions that are not renewed after their TTL times this factor, from 1 to 2.
    pub fn set_session_expiry_factor(&self, factor: f64) {
        self.inner.state().store.expiry_factor = factor.clamp(1.0, 2.0);
    }

    /// Sets the fault from now on. Requests that are waiting are handled again as those that arrive are.
    pub fn set_fault(&self, fault: ConsulFault) {
        self.inner.state().fault = fault;
        self.inner.fault_changed.notify_waiters();
        self.inner.changed.send_modify(|_| ());
    }

    /// Rejects requests without this token from now on; `None` accepts all.
    pub fn require_token(&self, token: Option<&str>) {
        self.inner.state().token = token.map(str::to_owned);
    }

    /// Sets all indexes of the catalogue back to 1, as after a restore.
    pub fn reset_index(&self) {
        self.change(|state| {
            state.index = 1;
            state.service_index.values_mut().for_each(|index| *index = 1);
            state.catalog_index = 1;
            state.checks_index = 1;
        });
    }

    /// When the first answer for this service was written that had this index or a later one.
    pub fn first_answered_at(&self, service: &str, index: u64) -> Option<Instant> {
        let state = self.inner.state();
        let answers = state.first_answers.get(service)?;
        answers.iter().find(|answer| answer.index >= index).map(|answer| answer.at)
    }

    /// Requests so far.
    pub fn request_count(&self) -> u64 {
        self.inner.state().request_count
    }

    /// Connections now and at the peak.
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

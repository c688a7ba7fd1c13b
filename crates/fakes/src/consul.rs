//! A stand-in for Consul's HTTP API: catalogue and health with indexes and blocking queries, and faults on demand.
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
mod state;

pub use fault::ConsulFault;
pub use instance::Instance;

use crate::certificates::CertificateFiles;
use crate::runtime::{ServerRuntime, unused_loopback_address};
use connection::accept;
use rustls_pki_types::pem::PemObject;
use rustls_pki_types::{CertificateDer, PrivateKeyDer};
use state::State;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;
use tokio::sync::{Notify, watch};
use tokio_rustls::TlsAcceptor;
use tokio_rustls::rustls::{RootCertStore, ServerConfig, crypto::ring, server::WebPkiClientVerifier};

/// The state with all that waits for its changes.
struct Inner {
    address: SocketAddr,
    state: Mutex<State>,
    changed: watch::Sender<u64>,
    /// The fault is another one.
    turned: Notify,
    acceptor: Mutex<Option<TlsAcceptor>>,
}

impl Inner {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The stand-in. Dropping it closes all its connections.
#[derive(Clone)]
pub struct ConsulServer {
    inner: Arc<Inner>,
    _stage: Arc<ServerRuntime>,
}

impl ConsulServer {
    /// Starts it on a stage of its own.
    pub fn start() -> Self {
        let stage = Arc::new(ServerRuntime::new());
        let listener = stage.listen(unused_loopback_address());
        let address = listener.local_addr().expect("a socket");
        let state = State { index: 1, ..State::default() };
        let inner = Arc::new(Inner {
            address,
            state: Mutex::new(state),
            changed: watch::channel(1).0,
            turned: Notify::new(),
            acceptor: Mutex::new(None),
        });
        let consul = ConsulServer { inner: inner.clone(), _stage: stage.clone() };
        // The stage ends with the last handle to it: what runs there must hold none.
        let weak = Arc::downgrade(&stage);
        let relisten = move || weak.upgrade().map(|stage| stage.listen_at(address));
        stage.spawn(accept(inner, listener, relisten));
        consul
    }

    /// Where it answers.
    pub fn address(&self) -> SocketAddr {
        self.inner.address
    }

    /// From now on new connections speak TLS with this certificate; with `clients`, they need one of that authority.
    pub fn use_tls(&self, pair: &CertificateFiles, clients: Option<&Path>) {
        let chain: Result<Vec<_>, _> =
            CertificateDer::pem_file_iter(&pair.certificate).expect("a certificate").collect();
        let key = PrivateKeyDer::from_pem_file(&pair.key).expect("a key");
        let provider = Arc::new(ring::default_provider());
        let builder = ServerConfig::builder_with_provider(provider.clone())
            .with_safe_default_protocol_versions()
            .expect("versions");
        let builder = match clients {
            None => builder.with_no_client_auth(),
            Some(ca) => {
                let mut roots = RootCertStore::empty();
                let authority = CertificateDer::from_pem_file(ca).expect("an authority");
                roots.add(authority).expect("an authority");
                let verifier = WebPkiClientVerifier::builder_with_provider(Arc::new(roots), provider);
                builder.with_client_cert_verifier(verifier.build().expect("a verifier"))
            }
        };
        let config = builder.with_single_cert(chain.expect("a certificate"), key).expect("they fit");
        *self.inner.acceptor.lock().unwrap_or_else(PoisonError::into_inner) =
            Some(TlsAcceptor::from(Arc::new(config)));
    }

    fn change<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        let mut state = self.inner.state();
        let done = change(&mut state);
        self.inner.changed.send_replace(state.index);
        done
    }

    /// Registers an instance, in the place of one with its node and id. Gives the index of the change.
    pub fn register(&self, instance: Instance) -> u64 {
        self.change(|state| {
            state.index += 1;
            let before =
                state.instances.insert((instance.node.clone(), instance.id.clone()), instance.clone());
            let services = before.map(|before| before.service).into_iter().chain([instance.service]);
            services.for_each(|service| state.touch(&service, true));
            state.index
        })
    }

    /// Takes an instance out. Gives the index of the change.
    pub fn deregister(&self, node: &str, id: &str) -> u64 {
        self.change(|state| {
            if let Some(gone) = state.instances.remove(&(node.to_owned(), id.to_owned())) {
                state.index += 1;
                state.touch(&gone.service, true);
            }
            state.index
        })
    }

    /// Sets a check of an instance, or with no status takes it away. Gives the index of the change.
    pub fn set_check(&self, node: &str, id: &str, check: &str, status: Option<&str>) -> u64 {
        self.change(|state| {
            state.index += 1;
            if let Some(instance) = state.instances.get_mut(&(node.to_owned(), id.to_owned())) {
                match status {
                    Some(status) => drop(instance.checks.insert(check.to_owned(), status.to_owned())),
                    None => drop(instance.checks.remove(check)),
                }
                let service = instance.service.clone();
                state.touch(&service, false);
            }
            state.index
        })
    }

    /// Sets the check that the instance was registered with.
    pub fn set_status(&self, node: &str, id: &str, status: &str) -> u64 {
        self.set_check(node, id, &format!("service:{id}"), Some(status))
    }

    /// Sets a check of a node, or with no status takes it away: it counts for all its instances.
    pub fn set_node_check(&self, node: &str, check: &str, status: Option<&str>) -> u64 {
        self.change(|state| {
            state.index += 1;
            let checks = state.node_checks.entry(node.to_owned()).or_default();
            match status {
                Some(status) => drop(checks.insert(check.to_owned(), status.to_owned())),
                None => drop(checks.remove(check)),
            }
            let on = state.instances.values().filter(|instance| instance.node == node);
            let services: BTreeSet<_> = on.map(|instance| instance.service.clone()).collect();
            services.iter().for_each(|service| state.touch(service, false));
            state.index
        })
    }

    /// Puts an instance into maintenance, or takes it out.
    pub fn set_maintenance(&self, node: &str, id: &str, on: bool) -> u64 {
        self.set_check(node, id, &format!("_service_maintenance:{id}"), on.then_some("critical"))
    }

    /// Somebody deletes all keys with this beginning, whoever holds them.
    pub fn delete_keys(&self, beginning: &str) {
        self.change(|state| state.store.delete(beginning, true, None));
    }

    /// Sessions that are not renewed end after so many times their TTL: 1 to 2, as Consul has it.
    pub fn set_session_expiry_factor(&self, ttls: f64) {
        self.inner.state().store.ends_after = ttls.clamp(1.0, 2.0);
    }

    /// Marks an instance with a tag, or takes the mark away.
    pub fn set_tag(&self, node: &str, id: &str, tag: &str, on: bool) -> u64 {
        let found = self.inner.state().instances.get(&(node.to_owned(), id.to_owned())).cloned();
        let Some(mut instance) = found else { return self.inner.state().index };
        instance.tags.retain(|other| other != tag);
        instance.tags.extend(on.then(|| tag.to_owned()));
        self.register(instance)
    }

    /// From now on this is wrong with it. Questions that it held are as those that come: an end to the fault lets
    /// them go on.
    pub fn set_fault(&self, fault: ConsulFault) {
        self.inner.state().fault = fault;
        self.inner.turned.notify_waiters();
        self.inner.changed.send_modify(|_| ());
    }

    /// From now on questions need this token.
    pub fn require_token(&self, token: Option<&str>) {
        self.inner.state().token = token.map(str::to_owned);
    }

    /// The index falls back to a lower one, as after a restore.
    pub fn reset_index(&self) {
        self.change(|state| {
            state.index = 1;
            state.service_index.values_mut().for_each(|index| *index = 1);
            (state.catalog_index, state.checks_index) = (1, 1);
        });
    }

    /// When the first answer for this service was written that has this change in it.
    pub fn first_answered_at(&self, service: &str, index: u64) -> Option<Instant> {
        let state = self.inner.state();
        let told = state.told.get(service)?;
        told.iter().find(|(told, _)| *told >= index).map(|(_, at)| *at)
    }

    /// Questions so far.
    pub fn request_count(&self) -> u64 {
        self.inner.state().questions
    }

    /// Connections that are open, and the most that were at once.
    pub fn connections(&self) -> (usize, usize) {
        let state = self.inner.state();
        (state.open, state.most_open)
    }
}

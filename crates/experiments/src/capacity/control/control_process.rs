//! The control process of a zone, which the forwarders of the zone connect to in place of Consul servers.
//!
//! The process has a link to the commit point and a link to the lease store of its region, and it runs the stores of
//! its zone. Each link is a fault proxy that counts bytes.

use super::messages::{ControlAddresses, ControlRole, Counts, Report, Request, Store};
use super::reporting::report;
use orchidyoke_fakes::{ConsulServer, FaultProxy, NetworkFault, ServerRuntime, unused_loopback_address};
use std::net::SocketAddr;
use tokio::sync::mpsc::UnboundedReceiver;

/// A link of the zone, with the store behind it if this process runs that store.
struct Link {
    proxy: FaultProxy,
    store: Option<ConsulServer>,
}

impl Link {
    fn new(runtime: &ServerRuntime, store: Store) -> Self {
        let (store, upstream) = match store {
            Store::At(address) => (None, address),
            Store::Here => {
                let store = ConsulServer::start();
                let address = store.address();
                (Some(store), address)
            }
        };
        Link { proxy: FaultProxy::start(runtime, unused_loopback_address(), upstream), store }
    }

    fn store_address(&self) -> Option<SocketAddr> {
        self.store.as_ref().map(ConsulServer::address)
    }

    fn bytes(&self) -> u64 {
        self.proxy.counters().bytes_forwarded
    }

    fn requests(&self) -> u64 {
        self.store.as_ref().map_or(0, ConsulServer::request_count)
    }

    fn cut(&self, cut: bool) {
        self.proxy.set_fault(if cut { NetworkFault::Partition } else { NetworkFault::None });
    }

    fn sessions_end_after(&self, ttls: f64) {
        if let Some(store) = &self.store {
            store.set_session_expiry_factor(ttls);
        }
    }
}

/// Runs the control process until the request channel closes.
pub async fn run(role: &ControlRole, mut requests: UnboundedReceiver<Request>) {
    let runtime = ServerRuntime::new();
    let policy = Link::new(&runtime, role.policy);
    let leases = Link::new(&runtime, role.leases);
    report(&Report::Listens(ControlAddresses {
        policy_link: policy.proxy.address,
        lease_link: leases.proxy.address,
        policy_store: policy.store_address(),
        lease_store: leases.store_address(),
    }));
    while let Some(request) = requests.recv().await {
        match request {
            Request::Count(number) => {
                let counts = Counts {
                    policy_bytes: policy.bytes(),
                    lease_bytes: leases.bytes(),
                    policy_requests: policy.requests(),
                    lease_requests: leases.requests(),
                };
                report(&Report::Counted(number, counts));
            }
            Request::Cut(cut) => {
                policy.cut(cut);
                leases.cut(cut);
            }
            Request::SessionsEndAfter(ttls) => {
                policy.sessions_end_after(ttls);
                leases.sessions_end_after(ttls);
            }
            Request::Begin | Request::Restart(_) | Request::Kill(_) => {
                eprintln!("not a request for a control stand-in: {request:?}");
            }
        }
    }
}

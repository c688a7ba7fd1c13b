//! A TCP proxy between two processes that injects network faults on command: it delays, closes, resets, black-holes and
//! partitions, for new connections and for those already open.
//!
//! One proxy stands for one network path, such as from a rollout tool to one forwarder's console; several together make
//! a partition between groups. Faults act on bytes and never on their meaning: what arrives is what was sent, late or
//! not at all.

mod connection;

use crate::runtime::{ServerRuntime, accept};
use connection::ProxiedConnection;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::watch;

/// What happens on the path, from the moment it is set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NetworkFault {
    /// Bytes are forwarded as they arrive.
    None,
    /// Every chunk of bytes, either way, is forwarded this much later; order is kept.
    Delay(Duration),
    /// New connections are closed at once, with no byte read and no connection to the upstream; open ones are closed
    /// as well (an orderly close, FIN, both ways).
    Close,
    /// New connections and open ones are reset (RST) both ways.
    Reset,
    /// New connections are accepted but never reach the upstream; bytes either way are read and discarded, so that the
    /// sender waits for an answer that never arrives. Lifting it lets new bytes through; discarded ones stay lost.
    Blackhole,
    /// Nothing crosses, either way, and new connections are accepted but wait: bytes sent meanwhile are held and
    /// arrive once it is lifted, as they do after a network heals and TCP retransmits.
    Partition,
}

/// What the proxy has done since it started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProxyCounters {
    /// Connections accepted from clients.
    pub accepted: u64,
    /// Connections opened to the upstream.
    pub connected: u64,
    /// Connections closed or reset by a fault.
    pub ended_by_fault: u64,
    /// Bytes forwarded, either way.
    pub bytes_forwarded: u64,
    /// Bytes discarded by a black hole.
    pub bytes_discarded: u64,
}

/// The counters as the connections share them.
#[derive(Debug, Default)]
struct SharedCounters {
    accepted: AtomicU64,
    connected: AtomicU64,
    ended_by_fault: AtomicU64,
    bytes_forwarded: AtomicU64,
    bytes_discarded: AtomicU64,
}

/// A proxy that runs until its runtime ends.
#[derive(Debug, Clone)]
pub struct FaultProxy {
    /// Where clients connect.
    pub address: SocketAddr,
    /// Where the proxy connects for each of them.
    pub upstream: SocketAddr,
    fault: Arc<watch::Sender<NetworkFault>>,
    counters: Arc<SharedCounters>,
}

impl FaultProxy {
    /// Starts a proxy at a free port of this address, to `upstream`, without a fault.
    pub fn start(runtime: &ServerRuntime, address: IpAddr, upstream: SocketAddr) -> Self {
        let listener = runtime.listen(address);
        let address = listener.local_addr().expect("an address");
        let (fault, _) = watch::channel(NetworkFault::None);
        let proxy = FaultProxy { address, upstream, fault: Arc::new(fault), counters: Arc::default() };
        let accepting = proxy.clone();
        runtime.spawn(async move {
            loop {
                let client = accept(&listener).await;
                accepting.counters.accepted.fetch_add(1, Ordering::Relaxed);
                let connection = ProxiedConnection::new(
                    accepting.upstream,
                    accepting.fault.subscribe(),
                    accepting.counters.clone(),
                );
                tokio::spawn(connection.run(client));
            }
        });
        proxy
    }

    /// Sets the fault of the path from now on; it applies to open connections at once.
    pub fn set_fault(&self, fault: NetworkFault) {
        self.fault.send_replace(fault);
    }

    /// The fault in force.
    pub fn fault(&self) -> NetworkFault {
        *self.fault.borrow()
    }

    /// What it has done so far.
    pub fn counters(&self) -> ProxyCounters {
        let counters = &self.counters;
        ProxyCounters {
            accepted: counters.accepted.load(Ordering::Relaxed),
            connected: counters.connected.load(Ordering::Relaxed),
            ended_by_fault: counters.ended_by_fault.load(Ordering::Relaxed),
            bytes_forwarded: counters.bytes_forwarded.load(Ordering::Relaxed),
            bytes_discarded: counters.bytes_discarded.load(Ordering::Relaxed),
        }
    }
}

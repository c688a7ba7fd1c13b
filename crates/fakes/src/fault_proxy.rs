//! A TCP proxy between two processes that injects network faults on demand. It can delay, close, reset, black-hole and
//! partition both new and open connections.
//!
//! One proxy represents one network path, such as the path from a rollout tool to one forwarder's console. Several
//! proxies together can partition groups of processes. A fault delays or discards bytes, but never changes them.

mod connection;

use crate::runtime::{ServerRuntime, accept};
use connection::ProxiedConnection;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::watch;

/// A fault of the path, which applies from the time at which it is set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NetworkFault {
    /// Bytes are forwarded as they arrive.
    None,
    /// Each chunk of bytes is forwarded after this delay, in both directions. The order of bytes is kept.
    Delay(Duration),
    /// New connections are closed at once. No byte is read and no connection to the upstream is opened. Open
    /// connections are closed with a FIN in both directions.
    Close,
    /// New and open connections are reset (RST) in both directions.
    Reset,
    /// New connections are accepted but never reach the upstream. Bytes in both directions are read and discarded, so
    /// that the sender waits for an answer that never arrives. After the fault is lifted, connections that were open
    /// before the fault forward new bytes again. Discarded bytes stay lost.
    Blackhole,
    /// No byte is forwarded in either direction, and new connections are accepted but wait. Bytes that are sent
    /// meanwhile arrive after the fault is lifted, as they do when a network recovers and TCP retransmits them.
    Partition,
}

/// Counters of the proxy since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProxyCounters {
    /// Connections accepted from clients.
    pub accepted: u64,
    /// Connections opened to the upstream.
    pub connected: u64,
    /// Connections closed or reset by a fault.
    pub ended_by_fault: u64,
    /// Bytes forwarded in both directions.
    pub bytes_forwarded: u64,
    /// Bytes discarded by a black hole.
    pub bytes_discarded: u64,
}

/// The counters that all connections share.
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
    /// The address at which clients connect.
    pub address: SocketAddr,
    /// The address to which the proxy connects for each client.
    pub upstream: SocketAddr,
    fault: Arc<watch::Sender<NetworkFault>>,
    counters: Arc<SharedCounters>,
}

impl FaultProxy {
    /// Starts a proxy without a fault. It listens at a free port of `address` and connects to `upstream`.
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

    /// Sets the fault of the path from now on. It applies to open connections at once.
    pub fn set_fault(&self, fault: NetworkFault) {
        self.fault.send_replace(fault);
    }

    /// Returns the fault in force.
    pub fn fault(&self) -> NetworkFault {
        *self.fault.borrow()
    }

    /// Returns the counters since the start of the proxy.
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

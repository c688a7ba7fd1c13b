//! A TCP proxy that stands between two processes and injects faults on command: it delays, drops, resets,
//! blackholes and partitions, for new connections and for those already through it.
//!
//! One proxy stands for one path, such as from a rollout tool to one forwarder's console or from forwarders to one
//! partner. Several proxies together make a partition between groups. Faults act on bytes, never on their meaning:
//! what goes through is what was sent, late or not at all.

use crate::runtime::{ServerRuntime, accept};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::watch;

/// What the proxy does to the path, from the moment it is set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NetworkFault {
    /// Bytes go through as they come.
    None,
    /// Every chunk of bytes, either way, is held this long before it goes on; order is kept.
    Delay(Duration),
    /// New connections are closed at once, with no byte read and no connection made onwards; those already through
    /// are closed as well (an orderly close, FIN, both ways).
    Close,
    /// New connections and those already through are reset (RST) both ways.
    Reset,
    /// New connections are taken but never go onwards; bytes either way are taken and thrown away, so that the
    /// other end waits for an answer that never comes. Lifting it lets new bytes through again; lost ones stay lost.
    Blackhole,
    /// Nothing crosses, either way, and new connections are taken but wait: bytes sent meanwhile are held and
    /// arrive once it is lifted, as they would after a network heals and TCP sends them again.
    Partition,
}

/// Counts of what the proxy did, since it started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProxyCounters {
    /// Connections taken from the near side.
    pub accepted: u64,
    /// Connections made onwards.
    pub connected: u64,
    /// Connections closed or reset by a fault.
    pub ended_by_fault: u64,
    /// Bytes carried, either way.
    pub bytes_forwarded: u64,
    /// Bytes thrown away by a blackhole.
    pub bytes_discarded: u64,
}

#[derive(Default)]
struct Tally {
    accepted: AtomicU64,
    connected: AtomicU64,
    cut: AtomicU64,
    carried: AtomicU64,
    lost: AtomicU64,
}

/// A proxy that runs on its stage; it stops with the stage.
#[derive(Debug, Clone)]
pub struct FaultProxy {
    /// Where the near side connects.
    pub address: SocketAddr,
    /// Where the proxy connects on behalf of each connection.
    pub upstream: SocketAddr,
    fault: Arc<watch::Sender<NetworkFault>>,
    tally: Arc<TallyHandle>,
}

struct TallyHandle(Tally);

impl std::fmt::Debug for TallyHandle {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Tally")
    }
}

impl FaultProxy {
    /// Starts a proxy at a free port of this address, to `upstream`, letting everything through.
    pub fn start(stage: &ServerRuntime, address: IpAddr, upstream: SocketAddr) -> Self {
        let listener = stage.listen(address);
        let address = listener.local_addr().expect("an address");
        let (fault, _) = watch::channel(NetworkFault::None);
        let fault = Arc::new(fault);
        let tally = Arc::new(TallyHandle(Tally::default()));
        let proxy = FaultProxy { address, upstream, fault, tally };
        let inside = proxy.clone();
        stage.spawn(async move {
            loop {
                let near = accept(&listener).await;
                inside.tally.0.accepted.fetch_add(1, Ordering::Relaxed);
                tokio::spawn(inside.clone().carry(near));
            }
        });
        proxy
    }

    /// Sets the fault for the path from now on; connections already through feel it at once.
    pub fn set_fault(&self, fault: NetworkFault) {
        self.fault.send_replace(fault);
    }

    /// The fault in force.
    pub fn fault(&self) -> NetworkFault {
        *self.fault.borrow()
    }

    /// What it has done so far.
    pub fn counters(&self) -> ProxyCounters {
        let t = &self.tally.0;
        ProxyCounters {
            accepted: t.accepted.load(Ordering::Relaxed),
            connected: t.connected.load(Ordering::Relaxed),
            ended_by_fault: t.cut.load(Ordering::Relaxed),
            bytes_forwarded: t.carried.load(Ordering::Relaxed),
            bytes_discarded: t.lost.load(Ordering::Relaxed),
        }
    }

    /// One connection from the near side, for as long as it lasts.
    async fn carry(self, near: TcpStream) {
        let mut faults = self.fault.subscribe();
        // Until a connection is made onwards, it waits out a partition and a blackhole, and a close or reset ends it.
        loop {
            let fault = *faults.borrow_and_update();
            match fault {
                NetworkFault::Close => return self.cut(near, None, false),
                NetworkFault::Reset => return self.cut(near, None, true),
                NetworkFault::Blackhole => return self.swallow(near, faults).await,
                NetworkFault::Partition => {
                    if faults.changed().await.is_err() {
                        return;
                    }
                }
                NetworkFault::None | NetworkFault::Delay(_) => break,
            }
        }
        let Ok(far) = TcpStream::connect(self.upstream).await else {
            // The far side refuses: so does the proxy, as a path with nothing behind it would.
            return self.cut(near, None, true);
        };
        drop(far.set_nodelay(true));
        self.tally.0.connected.fetch_add(1, Ordering::Relaxed);
        let (near_read, near_write) = near.into_split();
        let (far_read, far_write) = far.into_split();
        let there = self.pump(near_read, far_write, self.fault.subscribe());
        let back = self.pump(far_read, near_write, self.fault.subscribe());
        let (there, back) = tokio::join!(there, back);
        // A fault that ends a connection ends both ways.
        let ended: Vec<_> = [there, back].into_iter().flatten().collect();
        if !ended.is_empty() {
            self.tally.0.cut.fetch_add(1, Ordering::Relaxed);
        }
        for (read, write, reset) in ended {
            if reset {
                drop(write.as_ref().set_zero_linger());
                // No FIN first: the write half is closed with the read half, by the reset.
                write.forget();
            }
            drop(read);
        }
    }

    /// Takes what comes and throws it away, until the near side goes or a fault ends it.
    async fn swallow(&self, mut near: TcpStream, mut faults: watch::Receiver<NetworkFault>) {
        let mut buffer = vec![0u8; 16 << 10];
        loop {
            tokio::select! {
                read = near.read(&mut buffer) => match read {
                    Ok(0) | Err(_) => return,
                    Ok(count) => {
                        self.tally.0.lost.fetch_add(count as u64, Ordering::Relaxed);
                    }
                },
                changed = faults.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    let now = *faults.borrow_and_update();
                    match now {
                        NetworkFault::Close => return self.cut(near, None, false),
                        NetworkFault::Reset => return self.cut(near, None, true),
                        // A connection that was swallowed stays swallowed: its first bytes are lost.
                        _ => {}
                    }
                }
            }
        }
    }

    /// Carries one way. Gives back both halves where a fault ends the connection (with whether to reset it), and
    /// nothing where it ended by itself.
    async fn pump(
        &self,
        mut from: OwnedReadHalf,
        mut to: OwnedWriteHalf,
        mut faults: watch::Receiver<NetworkFault>,
    ) -> Option<(OwnedReadHalf, OwnedWriteHalf, bool)> {
        let mut buffer = vec![0u8; 16 << 10];
        loop {
            let fault = *faults.borrow_and_update();
            match fault {
                NetworkFault::Close => return Some((from, to, false)),
                NetworkFault::Reset => return Some((from, to, true)),
                // Nothing is read while partitioned: the sender's buffers fill, as they would.
                NetworkFault::Partition => {
                    if faults.changed().await.is_err() {
                        return None;
                    }
                    continue;
                }
                NetworkFault::None | NetworkFault::Delay(_) | NetworkFault::Blackhole => {}
            }
            let count = tokio::select! {
                read = from.read(&mut buffer) => match read {
                    Ok(0) | Err(_) => {
                        drop(to.shutdown().await);
                        return None;
                    }
                    Ok(count) => count,
                },
                changed = faults.changed() => {
                    if changed.is_err() {
                        return None;
                    }
                    continue;
                }
            };
            let now = *faults.borrow();
            match now {
                NetworkFault::Blackhole => {
                    self.tally.0.lost.fetch_add(count as u64, Ordering::Relaxed);
                    continue;
                }
                NetworkFault::Delay(delay) => tokio::time::sleep(delay).await,
                _ => {}
            }
            // Bytes read before a partition began go through once it is lifted.
            while faults.borrow().eq(&NetworkFault::Partition) {
                if faults.changed().await.is_err() {
                    return None;
                }
            }
            let now = *faults.borrow();
            match now {
                NetworkFault::Close => return Some((from, to, false)),
                NetworkFault::Reset => return Some((from, to, true)),
                NetworkFault::Blackhole => {
                    self.tally.0.lost.fetch_add(count as u64, Ordering::Relaxed);
                    continue;
                }
                _ => {}
            }
            if to.write_all(&buffer[..count]).await.is_err() {
                return None;
            }
            self.tally.0.carried.fetch_add(count as u64, Ordering::Relaxed);
        }
    }

    /// Ends a connection by a fault: reset (RST) or closed (FIN), both sides.
    fn cut(&self, near: TcpStream, far: Option<TcpStream>, reset: bool) {
        self.tally.0.cut.fetch_add(1, Ordering::Relaxed);
        for stream in std::iter::once(near).chain(far) {
            if reset {
                drop(stream.set_zero_linger());
            }
            drop(stream);
        }
    }
}

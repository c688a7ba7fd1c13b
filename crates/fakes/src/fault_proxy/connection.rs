//! Handles one connection through the proxy, according to the fault in force.

use super::{NetworkFault, SharedCounters};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::watch;

const BUFFER_BYTES: usize = 16 << 10;

/// How a fault ends a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ending {
    /// FIN.
    Close,
    /// RST.
    Reset,
}

impl Ending {
    fn by(fault: NetworkFault) -> Option<Ending> {
        match fault {
            NetworkFault::Close => Some(Ending::Close),
            NetworkFault::Reset => Some(Ending::Reset),
            _ => None,
        }
    }
}

/// One direction of a connection that a fault has ended.
struct EndedDirection {
    read: OwnedReadHalf,
    write: OwnedWriteHalf,
    ending: Ending,
}

/// How bytes that were read are handled.
enum ChunkAction {
    Forward,
    Discard,
    End(Ending),
}

/// A connection of the proxy.
pub(super) struct ProxiedConnection {
    upstream: SocketAddr,
    fault: watch::Receiver<NetworkFault>,
    counters: Arc<SharedCounters>,
}

impl ProxiedConnection {
    /// Creates a connection that will connect to `upstream`, with the faults from `fault`.
    pub(super) fn new(
        upstream: SocketAddr,
        fault: watch::Receiver<NetworkFault>,
        counters: Arc<SharedCounters>,
    ) -> Self {
        ProxiedConnection { upstream, fault, counters }
    }

    /// Connects to the upstream when no fault prevents it, and forwards bytes in both directions until one side or a
    /// fault ends the connection.
    pub(super) async fn run(self, client: TcpStream) {
        let mut fault = self.fault.clone();
        loop {
            let current = *fault.borrow_and_update();
            if let Some(ending) = Ending::by(current) {
                return self.end(client, ending);
            }
            match current {
                NetworkFault::Blackhole => return self.discard(client, fault).await,
                NetworkFault::Partition => {
                    if fault.changed().await.is_err() {
                        return;
                    }
                }
                _ => break,
            }
        }
        let Ok(upstream) = TcpStream::connect(self.upstream).await else {
            // The upstream refuses the connection, so the client gets a reset, as on a path without a server.
            return self.end(client, Ending::Reset);
        };
        drop(upstream.set_nodelay(true));
        self.counters.connected.fetch_add(1, Ordering::Relaxed);
        self.forward_both_ways(client, upstream).await;
    }

    async fn forward_both_ways(&self, client: TcpStream, upstream: TcpStream) {
        let (client_read, client_write) = client.into_split();
        let (upstream_read, upstream_write) = upstream.into_split();
        let to_upstream = self.forward(client_read, upstream_write);
        let to_client = self.forward(upstream_read, client_write);
        let (to_upstream, to_client) = tokio::join!(to_upstream, to_client);
        // Both directions stay open until here, so that a fault ends both at the same time.
        let ended: Vec<EndedDirection> = [to_upstream, to_client].into_iter().flatten().collect();
        if !ended.is_empty() {
            self.counters.ended_by_fault.fetch_add(1, Ordering::Relaxed);
        }
        for EndedDirection { read, write, ending } in ended {
            if ending == Ending::Reset {
                drop(write.as_ref().set_zero_linger());
                // Dropping the write half would send a FIN before the reset.
                write.forget();
            }
            drop(read);
        }
    }

    /// Forwards one direction. Returns the direction if a fault ends the connection, and `None` if it ends by itself.
    async fn forward(&self, mut read: OwnedReadHalf, mut write: OwnedWriteHalf) -> Option<EndedDirection> {
        let mut fault = self.fault.clone();
        let mut buffer = vec![0u8; BUFFER_BYTES];
        loop {
            let current = *fault.borrow_and_update();
            if let Some(ending) = Ending::by(current) {
                return Some(EndedDirection { read, write, ending });
            }
            // Nothing is read during a partition, so that the sender's buffers fill, as they do in a real partition.
            if current == NetworkFault::Partition {
                fault.changed().await.ok()?;
                continue;
            }
            let count = tokio::select! {
                received = read.read(&mut buffer) => match received {
                    Ok(0) | Err(_) => {
                        drop(write.shutdown().await);
                        return None;
                    }
                    Ok(count) => count,
                },
                changed = fault.changed() => {
                    changed.ok()?;
                    continue;
                }
            };
            match chunk_action(&mut fault).await? {
                ChunkAction::End(ending) => return Some(EndedDirection { read, write, ending }),
                ChunkAction::Discard => self.count_discarded(count),
                ChunkAction::Forward => {
                    write.write_all(&buffer[..count]).await.ok()?;
                    self.counters.bytes_forwarded.fetch_add(count as u64, Ordering::Relaxed);
                }
            }
        }
    }

    /// Discards what the client sends until the client closes or a fault ends the connection. The first bytes of the
    /// connection are lost, so it never reaches the upstream, even after the black hole is lifted.
    async fn discard(&self, mut client: TcpStream, mut fault: watch::Receiver<NetworkFault>) {
        let mut buffer = vec![0u8; BUFFER_BYTES];
        loop {
            tokio::select! {
                received = client.read(&mut buffer) => match received {
                    Ok(0) | Err(_) => return,
                    Ok(count) => self.count_discarded(count),
                },
                changed = fault.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    let current = *fault.borrow_and_update();
                    if let Some(ending) = Ending::by(current) {
                        return self.end(client, ending);
                    }
                }
            }
        }
    }

    fn count_discarded(&self, bytes: usize) {
        self.counters.bytes_discarded.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Ends a connection that has no upstream.
    fn end(&self, client: TcpStream, ending: Ending) {
        self.counters.ended_by_fault.fetch_add(1, Ordering::Relaxed);
        if ending == Ending::Reset {
            drop(client.set_zero_linger());
        }
        drop(client);
    }
}

/// Waits as long as the fault holds bytes that were read, and returns how they are handled. Returns `None` if the proxy
/// has ended.
async fn chunk_action(fault: &mut watch::Receiver<NetworkFault>) -> Option<ChunkAction> {
    let at_arrival = *fault.borrow();
    match at_arrival {
        NetworkFault::Blackhole => return Some(ChunkAction::Discard),
        NetworkFault::Delay(delay) => tokio::time::sleep(delay).await,
        _ => {}
    }
    while fault.borrow().eq(&NetworkFault::Partition) {
        fault.changed().await.ok()?;
    }
    let current = *fault.borrow();
    if let Some(ending) = Ending::by(current) {
        return Some(ChunkAction::End(ending));
    }
    if current == NetworkFault::Blackhole {
        return Some(ChunkAction::Discard);
    }
    Some(ChunkAction::Forward)
}

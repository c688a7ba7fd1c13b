//! Ends a client connection without losing an answer.
//!
//! The order is: read what has arrived; answer each request that has arrived whole; refuse a request that has arrived in
//! part, so that its client may send it again; shut down the sending side; discard what the client still sends until it
//! closes too (RFC 9112, section 9.6). A close with unread bytes would reset the connection, and an answer that the
//! client has not yet read would be lost. In a shutdown, a request that has begun to arrive has until
//! [`ClientConnections::stop_reading`] to arrive whole.

use crate::client_connection::{ClientConnection, HttpConnection};
use crate::client_connections::{ClientConnections, ClientService};
use crate::log;
use crate::request_progress::RequestStage;
use socket2::SockRef;
use std::future::poll_fn;
use std::io::{self, Read};
use std::net::Shutdown;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, Wake, Waker};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Limit on the time to send the last bytes of an answer.
const LAST_BYTES_TIMEOUT: Duration = Duration::from_millis(50);
/// Longest duration of a lingering close.
const LINGER_TIMEOUT: Duration = Duration::from_secs(5);
/// Time without received bytes after which a lingering close ends.
const LINGER_IDLE_TIMEOUT: Duration = Duration::from_secs(1);
/// Most bytes that a lingering close reads.
const MAX_LINGER_BYTES: usize = 64 << 20;
/// The answer to a request whose head has arrived in part. hyper answers no such request.
const PARTIAL_HEAD_RESPONSE: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// Returns whether the client has sent something, or has closed the connection. Asks the system, because the runtime
/// learns of it later.
pub(crate) fn has_arrived_bytes(stream: &TcpStream) -> bool {
    // A read of no bytes fails like any other if there is nothing to read.
    (&*SockRef::from(stream)).read(&mut []).is_ok()
}

/// Ends the HTTP side of a connection. In a shutdown, a request that has begun to arrive may arrive whole before.
pub(crate) async fn close(client: &ClientConnection, connection: &mut HttpConnection) -> hyper::Result<()> {
    if let Some(served) = process_arrived(client, connection).await {
        return served;
    }
    if client.progress.stage() != RequestStage::Idle {
        tokio::select! {
            biased;
            served = poll_fn(|context| connection.poll_without_shutdown(context)) => return served,
            () = reading_ends(client) => {}
        }
        if let Some(served) = process_arrived(client, connection).await {
            return served;
        }
    }
    close_at_once(client, connection).await
}

/// Ends the HTTP side of a connection on which everything that has arrived is processed. Answers a whole request, and
/// refuses one that has arrived in part.
pub(crate) async fn close_at_once(
    client: &ClientConnection,
    connection: &mut HttpConnection,
) -> hyper::Result<()> {
    match client.progress.stage() {
        RequestStage::Idle => {}
        RequestStage::ReadingHead => {
            refuse_partial_head(client).await;
            return Ok(());
        }
        RequestStage::AwaitingAnswer => client.registered.stop_receiving(),
    }
    Pin::new(&mut *connection).graceful_shutdown();
    send_last_answer(client, connection).await
}

/// Waits until no more of a request that has begun to arrive is read.
async fn reading_ends(client: &ClientConnection) {
    tokio::select! {
        () = client.registered.evicted() => {}
        () = client.connections().reduced_to(ClientService::AnswersOnly) => {}
    }
}

/// Remembers that a task was woken.
#[derive(Default)]
struct WakeFlag {
    is_woken: AtomicBool,
}

impl Wake for WakeFlag {
    fn wake(self: Arc<Self>) {
        self.is_woken.store(true, Ordering::Relaxed);
    }
}

/// Polls a connection until everything that has arrived on its socket is processed as far as it can be without a further
/// event. Returns the result if the connection has ended. The last poll finds nothing to read, and no other task runs
/// after it.
pub(crate) async fn process_arrived(
    client: &ClientConnection,
    connection: &mut HttpConnection,
) -> Option<hyper::Result<()>> {
    client.progress.set_reads_without_readiness(true);
    let mut is_settled = false;
    let served = loop {
        let flag = Arc::new(WakeFlag::default());
        let waker = Waker::from(flag.clone());
        let bytes_before = client.progress.bytes_read();
        if let Poll::Ready(served) = connection.poll_without_shutdown(&mut Context::from_waker(&waker)) {
            break Some(served);
        }
        let is_quiet = client.progress.bytes_read() == bytes_before && !flag.is_woken.load(Ordering::Relaxed);
        if is_quiet && is_settled {
            break None;
        }
        is_settled = is_quiet;
        // What the poll has begun may go on only after other tasks.
        tokio::task::yield_now().await;
    };
    client.progress.set_reads_without_readiness(false);
    served
}

/// Answers a request whose head has arrived in part.
async fn refuse_partial_head(client: &ClientConnection) {
    log!("request refused, its head is incomplete: client={}", client.registered.id());
    // Behind a part of another answer, this one could not be read.
    if !client.progress.is_write_blocked() {
        // An error here is ignored: the client has closed, or reads nothing.
        drop(timeout(LAST_BYTES_TIMEOUT, write_all(&client.stream, PARTIAL_HEAD_RESPONSE)).await);
    }
}

async fn write_all(stream: &TcpStream, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        stream.writable().await?;
        match stream.try_write(bytes) {
            Ok(count) => bytes = &bytes[count..],
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// Polls a connection that is shutting down until its last answer is sent. Each wait of a request for its answer has a
/// limit of its own.
async fn send_last_answer(client: &ClientConnection, connection: &mut HttpConnection) -> hyper::Result<()> {
    loop {
        let sent = poll_fn(|context| connection.poll_without_shutdown(context));
        match timeout(LAST_BYTES_TIMEOUT, sent).await {
            Ok(ended) => return ended,
            Err(_) if client.progress.stage() == RequestStage::AwaitingAnswer => {}
            Err(_) => return Ok(()),
        }
    }
}

/// Shuts down the sending side, so that the client reads its last answer. Then discards what the client still sends,
/// until the client has closed too, a limit is reached, or the connection is evicted.
pub(crate) async fn linger(client: &ClientConnection) {
    client.registered.on_lingering();
    // Fails if the client has closed or reset the connection. Nothing can be sent to it then.
    let shut_down = SockRef::from(&*client.stream).shutdown(Shutdown::Write);
    client.on_served();
    if shut_down.is_err() {
        return;
    }
    // An error here is ignored: the forwarder has sent everything that it owes the client.
    tokio::select! {
        _ = timeout(LINGER_TIMEOUT, discard(&client.stream, client.connections())) => {}
        () = client.registered.cut() => {}
    }
}

async fn discard(stream: &TcpStream, connections: &ClientConnections) -> io::Result<()> {
    let mut bytes_left = MAX_LINGER_BYTES;
    while bytes_left > 0
        && timeout(LINGER_IDLE_TIMEOUT, stream.readable()).await.is_ok_and(|ready| ready.is_ok())
    {
        match stream.try_read(&mut connections.discard_buffer()) {
            Ok(0) => break,
            Ok(count) => bytes_left = bytes_left.saturating_sub(count),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
        // Lets other tasks run while a client sends at full speed.
        tokio::task::yield_now().await;
    }
    Ok(())
}

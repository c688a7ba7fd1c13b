//! The server of the control address. It reads one request per connection, passes it to the supervisor's loop and
//! writes the loop's reply.

use crate::protocol::{MAX_LINE_BYTES, RejectReason, Request};
use crate::run::Event;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::timeout;

/// Connections served at once. Further connections wait to be accepted.
const MAX_CONNECTIONS: usize = 16;
/// Longest time that one connection is served, so that a slow caller does not keep out others.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after a failed accept, because the process may be out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// The reply to a request: the rest of the reply line after `200`, or the reason of the rejection.
pub type Reply = Result<String, RejectReason>;

/// Serves callers until the supervisor exits.
pub async fn serve(listener: TcpListener, events: mpsc::UnboundedSender<Event>) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else { return };
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let events = events.clone();
        spawn_local(async move {
            // The result is ignored, because after a time-out or a closed connection no caller receives a reply.
            drop(timeout(CONNECTION_TIMEOUT, serve_connection(stream, events)).await);
            drop(permit);
        });
    }
}

async fn serve_connection(
    mut stream: TcpStream,
    events: mpsc::UnboundedSender<Event>,
) -> std::io::Result<()> {
    let request = match read_line(&mut stream).await? {
        Line::Complete(line) => Request::parse(&line),
        Line::TooLong => Err(RejectReason::LineTooLong),
        Line::Closed => return Ok(()),
    };
    let reply = match request {
        Ok(request) => ask_supervisor(request, &events).await,
        Err(reason) => Err(reason),
    };
    let line = match reply {
        Ok(result) => format!("200 {result}\n"),
        Err(reason) => format!("400 {reason}\n"),
    };
    stream.write_all(line.as_bytes()).await?;
    stream.shutdown().await
}

/// The first line of a connection, as far as it was received.
enum Line {
    Complete(String),
    TooLong,
    /// The connection was closed before its first line was complete.
    Closed,
}

async fn read_line(stream: &mut TcpStream) -> std::io::Result<Line> {
    let mut received = Vec::new();
    let mut chunk = [0; MAX_LINE_BYTES];
    loop {
        if let Some(end) = received.iter().position(|byte| *byte == b'\n') {
            return Ok(Line::Complete(String::from_utf8_lossy(&received[..end]).into_owned()));
        }
        match stream.read(&mut chunk).await? {
            0 => return Ok(Line::Closed),
            _ if received.len() > MAX_LINE_BYTES => return Ok(Line::TooLong),
            count => received.extend_from_slice(&chunk[..count]),
        }
    }
}

async fn ask_supervisor(request: Request, events: &mpsc::UnboundedSender<Event>) -> Reply {
    let (reply_to, reply) = oneshot::channel();
    // If the loop has ended, `reply_to` is dropped and the caller gets `ShuttingDown`.
    let _ = events.send(Event::Request { request, reply_to });
    reply.await.unwrap_or(Err(RejectReason::ShuttingDown))
}

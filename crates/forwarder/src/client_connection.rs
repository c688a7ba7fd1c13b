//! One client connection: serves its requests and closes it without losing an answer.
//!
//! Every close lingers (RFC 9112, section 9.6): nothing more is read as a request once the close is decided on, what was
//! read whole is answered, the sending side is shut, and what the client still sends is read and dropped until it closes
//! too. A close over unread bytes would reset the connection, and an answer not yet read would be lost with it.

use crate::client_api::{ClientGateway, respond};
use crate::client_connections::{ClientConnections, EvictionSignals};
use crate::connection_limit::ConnectionId;
use crate::input::Input;
use crate::log;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::cell::Cell;
use std::convert::Infallible;
use std::future::{Future, poll_fn};
use std::io;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

/// Time for a request's head, from the connection or the last answer. Together with the time for a body, a client has its
/// answer or its close within 3 s of connecting. Longer than the 2 s for which a client may rely on an idle connection.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2_100);
/// Bytes read ahead for one client.
const MAX_READ_AHEAD_BYTES: usize = 32 << 10;
/// In a shutdown: time for the rest of a request whose first bytes have come, and to send the last bytes of an answer.
const LAST_BYTES_TIMEOUT: Duration = Duration::from_millis(50);
/// In a shutdown: time for the answer to a request that waits for the journal or the reducer, more than a client's 400 ms.
/// A request that is cut off then is withdrawn, and not accepted.
const LAST_ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// A lingering close lasts at most so long.
const LINGER_TIMEOUT: Duration = Duration::from_secs(5);
/// A lingering close ends when nothing has come for so long.
const LINGER_IDLE_TIMEOUT: Duration = Duration::from_secs(1);
/// A lingering close reads at most so much.
const MAX_LINGER_BYTES: usize = 64 << 20;

/// An open connection, registered for as long as this exists: also when its task panics.
struct ClientConnection {
    id: ConnectionId,
    connections: Rc<ClientConnections>,
    gateway: Rc<ClientGateway>,
    signals: Rc<EvictionSignals>,
    has_sent_request: Cell<bool>,
    is_awaiting_answer: Cell<bool>,
}

impl ClientConnection {
    fn new(connections: Rc<ClientConnections>, gateway: Rc<ClientGateway>) -> Rc<Self> {
        let (id, signals) = connections.on_connected();
        gateway.report(Input::ClientConnection { connected: true });
        Rc::new(ClientConnection {
            id,
            connections,
            gateway,
            signals,
            has_sent_request: Cell::new(false),
            is_awaiting_answer: Cell::new(false),
        })
    }

    async fn respond(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        self.has_sent_request.set(true);
        self.is_awaiting_answer.set(true);
        self.connections.on_request(self.id);
        let mut response = respond(&self.gateway, request, self.connections.is_shutting_down()).await;
        if self.connections.is_handing_over() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        self.is_awaiting_answer.set(false);
        self.connections.on_answered(self.id);
        response
    }

    /// Waits until the connection has to close: for another one, or in a shutdown.
    async fn close_requested(&self) {
        let mut shutting_down = self.connections.subscribe_shutdown();
        tokio::select! {
            () = self.signals.close.notified() => {}
            _ = shutting_down.wait_for(|shutting_down| *shutting_down) => if !self.has_sent_request.get() {
                // It has only just connected: its request is on its way.
                sleep(LAST_BYTES_TIMEOUT).await;
            },
        }
        // What has come by now is still read.
        tokio::task::yield_now().await;
    }

    /// Gives a connection that is shutting down its last answer.
    async fn finish(&self, connection: impl Future<Output = hyper::Result<()>>) -> hyper::Result<()> {
        let mut connection = pin!(connection);
        let answer_due = Instant::now() + LAST_ANSWER_TIMEOUT;
        loop {
            match timeout(LAST_BYTES_TIMEOUT, &mut connection).await {
                Ok(ended) => return ended,
                Err(_) if self.is_awaiting_answer.get() && Instant::now() < answer_due => {}
                Err(_) => return Ok(()),
            }
        }
    }
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        self.connections.on_closed(self.id);
        self.gateway.report(Input::ClientConnection { connected: false });
    }
}

/// Serves a connection to its end in a task of its own: an error there, a panic included, ends this connection alone.
pub(crate) fn spawn_connection(
    stream: TcpStream,
    gateway: &Rc<ClientGateway>,
    connections: &Rc<ClientConnections>,
) {
    let client = ClientConnection::new(connections.clone(), gateway.clone());
    tokio::task::spawn_local(async move {
        match stream.set_nodelay(true) {
            Ok(()) => linger(serve(stream, &client).await, &client).await,
            Err(error) => log!("client connection: cannot set TCP_NODELAY: error={error}"),
        }
    });
}

/// Serves requests until the connection has to be closed, on either side's account, and returns its socket. What has been
/// read whole by then is answered.
async fn serve(stream: TcpStream, client: &Rc<ClientConnection>) -> TcpStream {
    let service = service_fn(|request| {
        let client = client.clone();
        Box::pin(async move { Ok::<_, Infallible>(client.respond(request).await) })
    });
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        // A client that has shut its sending side still wants its answer.
        .half_close(true)
        .max_buf_size(MAX_READ_AHEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let served = tokio::select! {
        biased;
        served = poll_fn(|context| connection.poll_without_shutdown(context)) => Some(served),
        () = client.close_requested() => None,
    };
    let served = match served {
        Some(served) => served,
        None => {
            Pin::new(&mut connection).graceful_shutdown();
            client.finish(poll_fn(|context| connection.poll_without_shutdown(context))).await
        }
    };
    if let Err(error) = served
        && !error.is_incomplete_message()
        && !error.is_timeout()
    {
        log!("client connection: closed after an error: error={error}");
    }
    connection.into_parts().io.into_inner()
}

/// Closes the sending side, so that the client reads its last answer, and discards what still comes until the client has
/// closed too, or the connection is cut.
async fn linger(mut stream: TcpStream, client: &ClientConnection) {
    client.connections.on_lingering(client.id);
    // Whether the client has read its answer is its own affair from here on.
    tokio::select! {
        _ = timeout(LINGER_TIMEOUT, close_and_discard(&mut stream, &client.connections)) => {}
        () = client.signals.cut.notified() => {}
    }
}

async fn close_and_discard(stream: &mut TcpStream, connections: &ClientConnections) -> io::Result<()> {
    stream.shutdown().await?;
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
        // One that sends at full speed takes turns with the others.
        tokio::task::yield_now().await;
    }
    Ok(())
}

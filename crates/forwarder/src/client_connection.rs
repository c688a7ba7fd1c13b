//! One client connection: serves its requests and closes it without losing an answer.
//!
//! Every close is a lingering close (RFC 9112, section 9.6). Once the close is decided, no further request is read.
//! Requests that have been read whole are answered. Then the sending side is shut down, and whatever the client still
//! sends is read and discarded until the client closes too. A close with unread bytes would reset the connection, and
//! an answer that the client has not yet read would be lost.

use crate::client_api::{ClientGateway, ClientGone, respond};
use crate::client_connections::{ClientConnections, RegisteredConnection};
use crate::client_stream::{ClientStream, HeadProgress, MAX_READ_AHEAD_BYTES, RequestTurns};
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
use socket2::SockRef;
use std::cell::Cell;
use std::error::Error;
use std::future::{Future, poll_fn};
use std::io;
use std::net::Shutdown;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// Limit on the time until a request's head has arrived, from the connection's start or the last answer. Together
/// with the limit for a body, it gives a client its answer or its close within 3 s of connecting. It exceeds the 2 s
/// for which a client may rely on an idle connection.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2_100);
/// In a shutdown, limit on the time to receive the rest of a request whose first bytes have arrived, and on the time to
/// send the last bytes of an answer.
const LAST_BYTES_TIMEOUT: Duration = Duration::from_millis(50);
/// In a shutdown, limit on the time until a request that waits for the journal or the reducer is answered. It exceeds
/// the 400 ms after which a client gives up. A request without an answer by then is withdrawn and not accepted.
const LAST_ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest duration of a lingering close.
const LINGER_TIMEOUT: Duration = Duration::from_secs(5);
/// Time without received bytes after which a lingering close ends.
const LINGER_IDLE_TIMEOUT: Duration = Duration::from_secs(1);
/// Most bytes that a lingering close reads.
const MAX_LINGER_BYTES: usize = 64 << 20;

/// An open connection. It stays registered until this value is dropped, which also happens when its task panics.
struct ClientConnection {
    stream: Rc<TcpStream>,
    registered: Rc<RegisteredConnection>,
    gateway: Rc<ClientGateway>,
    opened_at: Instant,
    head: Rc<HeadProgress>,
    turns: Rc<RequestTurns>,
    has_sent_request: Cell<bool>,
    is_awaiting_answer: Cell<bool>,
}

impl ClientConnection {
    fn new(stream: TcpStream, connections: &Rc<ClientConnections>, gateway: Rc<ClientGateway>) -> Rc<Self> {
        gateway.report(Input::ClientConnection { connected: true });
        let stream = Rc::new(stream);
        Rc::new(ClientConnection {
            registered: Rc::new(connections.register(Some(stream.clone()))),
            stream,
            gateway,
            opened_at: Instant::now(),
            head: Rc::default(),
            turns: Rc::default(),
            has_sent_request: Cell::new(false),
            is_awaiting_answer: Cell::new(false),
        })
    }

    fn connections(&self) -> &ClientConnections {
        self.registered.connections()
    }

    async fn respond(&self, request: Request<Incoming>) -> Result<Response<Full<Bytes>>, ClientGone> {
        self.has_sent_request.set(true);
        self.is_awaiting_answer.set(true);
        self.head.on_parsed();
        self.turns.begin_request().await;
        let mut response = respond(&self.gateway, request, &self.registered).await?;
        if self.connections().is_handing_over() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        self.is_awaiting_answer.set(false);
        self.head.on_answered();
        self.registered.on_answered();
        Ok(response)
    }

    /// Waits until the connection has to close, to make room for another connection or in a shutdown.
    async fn close_requested(&self) {
        let mut shutting_down = self.connections().subscribe_shutdown();
        tokio::select! {
            () = self.registered.evicted() => {}
            _ = shutting_down.wait_for(|shutting_down| *shutting_down) => if !self.has_sent_request.get() {
                // The first request of a new connection may not have arrived yet.
                sleep(LAST_BYTES_TIMEOUT).await;
            },
        }
        // Yields to the runtime, so that bytes that have already arrived are still read.
        tokio::task::yield_now().await;
        if self.registered.is_evicted() {
            self.registered.stop_receiving();
        }
    }

    /// Waits until the head of the first request is overdue. Never ends once the head has arrived.
    async fn first_head_overdue(&self) {
        sleep_until(self.opened_at + HEAD_TIMEOUT).await;
        if self.has_sent_request.get() {
            std::future::pending::<()>().await;
        }
    }

    /// Polls a connection that is shutting down until its last answer is sent or a time limit has passed.
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
        self.gateway.report(Input::ClientConnection { connected: false });
    }
}

/// Spawns a task that serves a connection to its end. An error or a panic in the task ends only this connection.
pub(crate) fn spawn_connection(
    stream: TcpStream,
    gateway: &Rc<ClientGateway>,
    connections: &Rc<ClientConnections>,
) {
    let client = ClientConnection::new(stream, connections, gateway.clone());
    tokio::task::spawn_local(async move {
        if let Err(error) = client.stream.set_nodelay(true) {
            return log!("client connection: cannot set TCP_NODELAY: error={error}");
        }
        serve(&client).await;
        linger(&client).await;
    });
}

/// Serves requests until the client or the forwarder ends the connection. Requests that have been read whole by then are
/// answered, unless their client is gone.
async fn serve(client: &Rc<ClientConnection>) {
    // A connection that has sent nothing gets no buffers.
    let has_bytes = tokio::select! {
        biased;
        () = first_bytes(&client.stream) => true,
        () = client.close_requested() => false,
        () = client.first_head_overdue() => false,
    };
    if has_bytes {
        Box::pin(serve_requests(client)).await;
    }
}

/// Waits until the client has sent something, or has closed the connection.
async fn first_bytes(stream: &TcpStream) {
    // The runtime takes an accepted socket for readable until a read has shown that it is not.
    while stream.readable().await.is_ok()
        && stream.try_read(&mut []).is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    {}
}

async fn serve_requests(client: &Rc<ClientConnection>) {
    let service = service_fn(|request| {
        let client = client.clone();
        Box::pin(async move { client.respond(request).await })
    });
    let stream = ClientStream::new(
        client.stream.clone(),
        client.head.clone(),
        client.turns.clone(),
        client.registered.clone(),
    );
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        // A client that has shut down its sending side still waits for its answer.
        .half_close(true)
        .max_buf_size(MAX_READ_AHEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let served = tokio::select! {
        biased;
        served = poll_fn(|context| connection.poll_without_shutdown(context)) => Some(served),
        () = client.close_requested() => None,
        () = client.first_head_overdue() => Some(Ok(())),
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
        let cause = error.source().map_or_else(String::new, |source| format!(": {source}"));
        log!(
            "client connection: closed after an error: client={} error={error}{cause}",
            client.registered.id()
        );
    }
}

/// Shuts down the sending side, so that the client reads its last answer. Then discards what the client still sends,
/// until the client has closed too, a limit is reached, or the connection is evicted.
async fn linger(client: &ClientConnection) {
    client.registered.on_lingering();
    // An error here is ignored: the forwarder has sent everything that it owes the client.
    tokio::select! {
        _ = timeout(LINGER_TIMEOUT, close_and_discard(&client.stream, client.connections())) => {}
        () = client.registered.cut() => {}
    }
}

async fn close_and_discard(stream: &TcpStream, connections: &ClientConnections) -> io::Result<()> {
    SockRef::from(stream).shutdown(Shutdown::Write)?;
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

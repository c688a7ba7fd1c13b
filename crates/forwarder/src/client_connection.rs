//! One client connection: serves its requests until the client or the forwarder ends it.
//!
//! The module `client_close` holds what the forwarder does when it ends a connection.

use crate::client_api::{ClientGateway, ClientGone, respond};
use crate::client_close::{close, close_at_once, has_arrived_bytes, linger, process_arrived};
use crate::client_connections::{ClientConnections, ClientService, RegisteredConnection};
use crate::client_stream::{ClientStream, RequestTurns};
use crate::input::Input;
use crate::log;
use crate::request_progress::{MAX_READ_AHEAD_BYTES, RequestProgress};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::Service;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::error::Error;
use std::future::{Future, poll_fn};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// In a shutdown, limit on the time until the first bytes of a new connection have arrived.
const FIRST_BYTES_TIMEOUT: Duration = Duration::from_millis(50);

/// An open connection. It stays registered until this value is dropped, which also happens when its task panics.
pub(crate) struct ClientConnection {
    pub(crate) stream: Rc<TcpStream>,
    pub(crate) registered: Rc<RegisteredConnection>,
    pub(crate) progress: Rc<RequestProgress>,
    gateway: Rc<ClientGateway>,
    turns: Rc<RequestTurns>,
    is_served: Cell<bool>,
}

impl ClientConnection {
    fn new(stream: TcpStream, connections: &Rc<ClientConnections>, gateway: Rc<ClientGateway>) -> Rc<Self> {
        gateway.report(Input::ClientConnection { connected: true });
        let stream = Rc::new(stream);
        Rc::new(ClientConnection {
            registered: Rc::new(connections.register(Some(stream.clone()))),
            stream,
            progress: Rc::default(),
            gateway,
            turns: Rc::default(),
            is_served: Cell::new(false),
        })
    }

    pub(crate) fn connections(&self) -> &ClientConnections {
        self.registered.connections()
    }

    /// Reports, once, that nothing is owed to the client any more and that no further request is read.
    pub(crate) fn on_served(&self) {
        if !self.is_served.replace(true) {
            self.gateway.report(Input::ClientServed);
        }
    }

    async fn respond(&self, request: Request<Incoming>) -> Result<Response<Full<Bytes>>, ClientGone> {
        self.progress.on_parsed();
        self.turns.begin_request().await;
        let mut response = respond(&self.gateway, request, &self.registered).await?;
        if self.registered.is_closing() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        self.progress.on_answered();
        self.registered.on_answered();
        Ok(response)
    }

    /// Waits until the connection has to close, to make room for another connection or in a shutdown.
    async fn close_requested(&self) {
        tokio::select! {
            () = self.registered.evicted() => {}
            () = self.connections().reduced_to(ClientService::RequestsInProgress) => {
                if !self.progress.has_had_request() {
                    // The first request of a new connection may not have arrived yet.
                    let reading_stopped = self.connections().reduced_to(ClientService::AnswersOnly);
                    drop(timeout(FIRST_BYTES_TIMEOUT, reading_stopped).await);
                }
            }
        }
    }
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        self.on_served();
        self.gateway.report(Input::ClientConnection { connected: false });
    }
}

/// Answers the requests of one connection.
pub(crate) struct RequestService {
    client: Rc<ClientConnection>,
}

impl Service<Request<Incoming>> for RequestService {
    type Response = Response<Full<Bytes>>;
    type Error = ClientGone;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Self::Error>>>>;

    fn call(&self, request: Request<Incoming>) -> Self::Future {
        let client = self.client.clone();
        Box::pin(async move { client.respond(request).await })
    }
}

/// The HTTP side of a client connection.
pub(crate) type HttpConnection = http1::Connection<TokioIo<ClientStream>, RequestService>;

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

/// Serves requests until the client or the forwarder ends the connection. Requests that have arrived whole by then are
/// answered, unless their client is gone.
async fn serve(client: &Rc<ClientConnection>) {
    // A connection that has sent nothing gets no buffers.
    let has_bytes = tokio::select! {
        biased;
        () = first_bytes(&client.stream) => true,
        () = client.close_requested() => has_arrived_bytes(&client.stream),
        () = client.progress.head_overdue() => has_arrived_bytes(&client.stream),
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
    let mut connection = http_connection(client);
    let served = loop {
        tokio::select! {
            biased;
            served = poll_fn(|context| connection.poll_without_shutdown(context)) => break served,
            () = client.close_requested() => break close(client, &mut connection).await,
            () = client.progress.head_overdue() => {
                if let Some(served) = process_arrived(client, &mut connection).await {
                    break served;
                }
                // The head, or its first bytes, may have arrived in this instant.
                if client.progress.is_head_overdue() {
                    break close_at_once(client, &mut connection).await;
                }
            }
        }
    };
    if let Err(error) = served
        && !error.is_incomplete_message()
    {
        let cause = error.source().map_or_else(String::new, |source| format!(": {source}"));
        log!(
            "client connection: closed after an error: client={} error={error}{cause}",
            client.registered.id()
        );
    }
}

fn http_connection(client: &Rc<ClientConnection>) -> HttpConnection {
    let stream = ClientStream::new(
        client.stream.clone(),
        client.progress.clone(),
        client.turns.clone(),
        client.registered.clone(),
    );
    http1::Builder::new()
        // `RequestProgress::head_overdue` limits the time of a head. hyper would close with no answer.
        .header_read_timeout(None)
        // A client that has shut down its sending side still waits for its answer.
        .half_close(true)
        .max_buf_size(MAX_READ_AHEAD_BYTES)
        .serve_connection(TokioIo::new(stream), RequestService { client: client.clone() })
}

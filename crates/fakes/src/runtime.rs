//! Provides the thread on which the fake servers run, and loopback addresses for them.

use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::error::Error;
use std::future::Future;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::{Builder, Handle};
use tokio::sync::oneshot;

/// Number of values of an octet in an address from [`unused_loopback_address`].
const OCTET_VALUES: u32 = 250;
/// Pause after a connection could not be accepted, for example because of too many open files.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Returns a loopback address that no other server uses, in this process or another one. So no other process can take a
/// port of this address while its server does not listen.
pub fn unused_loopback_address() -> IpAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = (std::process::id() << 10).wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
    // Octets from 1 to 250 avoid 127.0.x.x and the broadcast address; consecutive numbers get different addresses.
    let octet = |place: u32| 1 + (number / OCTET_VALUES.pow(place) % OCTET_VALUES) as u8;
    IpAddr::V4(Ipv4Addr::new(127, octet(2), octet(1), octet(0)))
}

/// A thread with a single-threaded runtime. Dropping it ends all tasks and servers on it.
#[derive(Debug)]
pub struct ServerRuntime {
    handle: Handle,
    shutdown: Option<oneshot::Sender<()>>,
    thread: Option<thread::JoinHandle<()>>,
}

impl ServerRuntime {
    /// Starts the thread.
    pub fn new() -> Self {
        let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
        let handle = runtime.handle().clone();
        let (shutdown, until_shutdown) = oneshot::channel::<()>();
        let thread = thread::spawn(move || drop(runtime.block_on(until_shutdown)));
        ServerRuntime { handle, shutdown: Some(shutdown), thread: Some(thread) }
    }

    /// Runs a task on the thread.
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        self.handle.spawn(task);
    }

    /// Serves HTTP on this listener until the runtime ends. `answer` receives the client's address with each request;
    /// if it returns `None`, the connection is closed.
    pub(crate) fn serve_http<B, F>(
        &self,
        listener: TcpListener,
        answer: impl Fn(SocketAddr, Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    ) where
        B: Body + Send + 'static,
        B::Data: Send,
        B::Error: Into<Box<dyn Error + Send + Sync>>,
        F: Future<Output = Option<Response<B>>> + Send + 'static,
    {
        self.spawn(async move {
            loop {
                let stream = accept(&listener).await;
                let Ok(peer) = stream.peer_addr() else { continue };
                let answer = answer.clone();
                tokio::spawn(async move { serve(stream, |request| answer(peer, request)).await });
            }
        });
    }

    /// Listens at a free port of this address.
    pub fn listen(&self, address: IpAddr) -> TcpListener {
        self.listen_at(SocketAddr::new(address, 0))
    }

    /// Listens at this address and port. Panics if the port is in use.
    pub fn listen_at(&self, address: SocketAddr) -> TcpListener {
        let _inside = self.handle.enter();
        let listener = std::net::TcpListener::bind(address).expect("the address is free");
        listener.set_nonblocking(true).expect("a socket");
        TcpListener::from_std(listener).expect("a socket")
    }
}

impl Default for ServerRuntime {
    fn default() -> Self {
        ServerRuntime::new()
    }
}

impl Drop for ServerRuntime {
    fn drop(&mut self) {
        drop(self.shutdown.take());
        self.thread.take().map(thread::JoinHandle::join);
    }
}

/// Accepts the next connection. Logs an error, such as too many open files, and tries again, because a server that
/// stops accepting would look as if it were down.
pub(crate) async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                drop(stream.set_nodelay(true));
                return stream;
            }
            Err(error) => {
                eprintln!("fake server: cannot accept a connection: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves HTTP/1.1 on one connection. If `answer` returns `None`, the connection is closed, as by a server that ends.
pub(crate) async fn serve<S, B, F>(stream: S, answer: impl Fn(Request<Incoming>) -> F + Send)
where
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
    F: Future<Output = Option<Response<B>>> + Send,
{
    let service = service_fn(|request| {
        let answer = answer(request);
        async { answer.await.ok_or(ConnectionClosed) }
    });
    let connection =
        http1::Builder::new().timer(TokioTimer::new()).serve_connection(TokioIo::new(stream), service);
    drop(connection.await);
}

/// The error with which the server closes a connection without an answer.
#[derive(Debug)]
struct ConnectionClosed;

impl std::fmt::Display for ConnectionClosed {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the server closed the connection without an answer")
    }
}

impl Error for ConnectionClosed {}

/// The error of a body that never fails.
pub(crate) type Never = Infallible;

//! The thread on which stand-ins run, and addresses for them.

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

/// A loopback address that no other stand-in has, in this process or another of this run: a port that is given up for
/// a while there is not taken by somebody else.
pub fn unused_loopback_address() -> IpAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = (std::process::id() << 10).wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
    // Digits to the base of 250: neither 127.0.x.x nor the last address of all, which is for broadcasts, and no two
    // numbers that follow each other within the same address.
    let digit = |place: u32| 1 + (number / 250u32.pow(place) % 250) as u8;
    IpAddr::V4(Ipv4Addr::new(127, digit(2), digit(1), digit(0)))
}

/// A thread with a runtime; dropping it ends all that runs there.
#[derive(Debug)]
pub struct ServerRuntime {
    handle: Handle,
    end: Option<oneshot::Sender<()>>,
    thread: Option<thread::JoinHandle<()>>,
}

impl ServerRuntime {
    /// Starts the thread.
    pub fn new() -> Self {
        let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
        let handle = runtime.handle().clone();
        let (end, ended) = oneshot::channel::<()>();
        let thread = thread::spawn(move || drop(runtime.block_on(ended)));
        ServerRuntime { handle, end: Some(end), thread: Some(thread) }
    }

    /// Runs this there.
    pub fn spawn(&self, work: impl Future<Output = ()> + Send + 'static) {
        self.handle.spawn(work);
    }

    /// Serves each connection that comes there, given the other end's address with each request, for as long as the stage stands.
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

    /// Listens there, at a port that is free.
    pub fn listen(&self, address: IpAddr) -> TcpListener {
        self.listen_at(SocketAddr::new(address, 0))
    }

    /// Listens there at this address.
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
        drop(self.end.take());
        self.thread.take().map(thread::JoinHandle::join);
    }
}

/// The next connection. An error, such as too many open files, is waited out and told: a stand-in that no longer
/// listens would look like a partner that has gone.
pub(crate) async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                drop(stream.set_nodelay(true));
                return stream;
            }
            Err(error) => {
                eprintln!("stand-in: a connection could not be taken: {error}");
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
    }
}

/// Serves HTTP/1.1 on one connection.
pub(crate) async fn serve<S, B, F>(stream: S, answer: impl Fn(Request<Incoming>) -> F + Send)
where
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
    F: Future<Output = Option<Response<B>>> + Send,
{
    // No answer closes the connection, as an end that has gone away does.
    let service = service_fn(|request| {
        let answer = answer(request);
        async { answer.await.ok_or(Gone) }
    });
    let connection =
        http1::Builder::new().timer(TokioTimer::new()).serve_connection(TokioIo::new(stream), service);
    drop(connection.await);
}

/// The stand-in goes away in the middle of an exchange.
#[derive(Debug)]
struct Gone;

impl std::fmt::Display for Gone {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("gone")
    }
}

impl Error for Gone {}

/// The body of an answer that never fails.
pub(crate) type Never = Infallible;

//! The socket of a client connection, which bounds what hyper reads ahead.
//!
//! hyper enlarges its read buffer while reads fill it and while a head is incomplete, and keeps it for as long as the
//! connection. Small reads keep the buffer small. Before a head grows beyond what each connection may have, memory for
//! the largest buffer is reserved, and until then the socket is not read.

use crate::client_connections::{MemoryReservation, RegisteredConnection};
use crate::request_progress::{MAX_READ_AHEAD_BYTES, MAX_READ_BYTES, RequestProgress};
use bytes::BufMut;
use socket2::SockRef;
use std::cell::Cell;
use std::future::Future;
use std::io::{self, Read};
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Requests that a connection may begin before others have their turn, as long as its bytes do not run out.
const MAX_REQUESTS_PER_TURN: usize = 1;

/// The requests that a connection has begun since it last had to wait for bytes.
#[derive(Debug, Default)]
pub(crate) struct RequestTurns {
    requests: Cell<usize>,
}

impl RequestTurns {
    /// Begins a request. Lets the other tasks run first if the connection has had its turn.
    pub(crate) async fn begin_request(&self) {
        if self.requests.get() >= MAX_REQUESTS_PER_TURN {
            tokio::task::yield_now().await;
            self.requests.set(0);
        }
        self.requests.set(self.requests.get() + 1);
    }

    fn on_wait(&self) {
        self.requests.set(0);
    }
}

/// The socket of a client connection.
pub(crate) struct ClientStream {
    stream: Rc<TcpStream>,
    progress: Rc<RequestProgress>,
    turns: Rc<RequestTurns>,
    connection: Rc<RegisteredConnection>,
    growth: HeadGrowth,
}

/// The memory for a read buffer that has grown beyond what every connection may have.
enum HeadGrowth {
    None,
    Waiting(Pin<Box<dyn Future<Output = MemoryReservation>>>),
    /// Reserved for as long as the connection, because hyper keeps its buffer.
    Reserved {
        _reservation: MemoryReservation,
    },
}

impl ClientStream {
    pub(crate) fn new(
        stream: Rc<TcpStream>,
        progress: Rc<RequestProgress>,
        turns: Rc<RequestTurns>,
        connection: Rc<RegisteredConnection>,
    ) -> Self {
        ClientStream { stream, progress, turns, connection, growth: HeadGrowth::None }
    }

    fn poll_write_with(
        &self,
        context: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            let Poll::Ready(ready) = self.stream.poll_write_ready(context) else {
                self.progress.set_write_blocked(true);
                return Poll::Pending;
            };
            ready?;
            match write(&self.stream) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                written => {
                    self.progress.set_write_blocked(false);
                    return Poll::Ready(written);
                }
            }
        }
    }

    /// Reads what has arrived, whether or not the runtime knows of it. Returns `None` if nothing has.
    fn read_arrived(&self, buffer: &mut ReadBuf<'_>, max_bytes: usize) -> io::Result<Option<()>> {
        let before = buffer.filled().len();
        let length = buffer.remaining().min(max_bytes);
        let socket = SockRef::from(&*self.stream);
        loop {
            match (&*socket).read(buffer.initialize_unfilled_to(length)) {
                Ok(bytes) => {
                    buffer.advance(bytes);
                    self.progress.on_read(&buffer.filled()[before..]);
                    return Ok(Some(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(None),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
    }

    fn poll_grow(&mut self, context: &mut Context<'_>) -> Poll<()> {
        if matches!(self.growth, HeadGrowth::None) {
            let connection = self.connection.clone();
            self.growth =
                HeadGrowth::Waiting(Box::pin(async move { connection.reserve(MAX_READ_AHEAD_BYTES).await }));
        }
        if let HeadGrowth::Waiting(waiting) = &mut self.growth {
            let reservation = ready!(waiting.as_mut().poll(context));
            self.growth = HeadGrowth::Reserved { _reservation: reservation };
        }
        Poll::Ready(())
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut max_bytes = self.progress.free_bytes();
        if max_bytes == 0 {
            ready!(self.poll_grow(context));
            max_bytes = MAX_READ_BYTES;
        }
        if self.progress.reads_without_readiness()
            && !self.connection.is_reset()
            && self.read_arrived(buffer, max_bytes)?.is_some()
        {
            return Poll::Ready(Ok(()));
        }
        loop {
            let Poll::Ready(ready) = self.stream.poll_read_ready(context) else {
                self.turns.on_wait();
                return Poll::Pending;
            };
            ready?;
            if self.connection.is_reset() {
                return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
            }
            let before = buffer.filled().len();
            match self.stream.try_read_buf(&mut (&mut *buffer).limit(max_bytes)) {
                Ok(_) => {
                    self.progress.on_read(&buffer.filled()[before..]);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_with(context, |stream| stream.try_write(bytes))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.stream).shutdown(Shutdown::Write))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(context, |stream| stream.try_write_vectored(slices))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }
}

//! A connection to an endpoint that records the progress of the current exchange on the socket.
//!
//! hyper reports neither which bytes of a request the system has accepted nor when a response begins. Both determine
//! whether the endpoint may have executed a failed call.

use crate::connection_pool::EndpointConnectionId;
use crate::endpoint_call::Progress;
use crate::input::Input;
use crate::response_start::ResponseStart;
use crate::write_progress::WriteProgress;
use socket2::SockRef;
use std::io::{self, IoSlice, Read};
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedSender;

/// One request and its response as seen on the socket.
#[derive(Debug, Default)]
pub(crate) struct Exchange {
    pub(crate) request: WriteProgress,
    pub(crate) response: ResponseStart,
    /// Whether the endpoint has closed its side of the connection, or reading has failed.
    pub(crate) is_input_closed: bool,
    /// Whether bytes were waiting on the socket before the first byte of the request.
    pub(crate) had_pending_input: bool,
}

impl Exchange {
    /// Returns the progress of the call.
    pub(crate) fn progress(&self) -> Progress {
        let written = self.request.progress();
        let is_answered = self.response.begun_at().is_some() && written == Progress::FullyWritten;
        if is_answered { Progress::Answered } else { written }
    }
}

/// The current exchange, shared by the stream and the connection's task.
#[derive(Clone, Debug, Default)]
pub(crate) struct SharedExchange(Arc<Mutex<Exchange>>);

impl SharedExchange {
    /// Begins the exchange of a request whose body has `body_bytes` bytes.
    pub(crate) fn begin(&self, body_bytes: usize) {
        let request = WriteProgress::with_body_bytes(body_bytes);
        *self.lock() = Exchange { request, ..Exchange::default() };
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, Exchange> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A stream that records the current exchange and reports when its request is fully written.
pub(crate) struct MeteredStream {
    pub(crate) stream: TcpStream,
    pub(crate) exchange: SharedExchange,
    pub(crate) connection: EndpointConnectionId,
    pub(crate) inputs: UnboundedSender<Input>,
}

impl MeteredStream {
    /// Checks, before the first byte of a request, that the endpoint has neither closed the connection nor sent bytes
    /// that belong to no call. Such bytes would be read as the response, and an endpoint may still execute a request
    /// that is written to a connection that it has closed. Reads from the system directly, because the runtime
    /// notices both later.
    fn check_no_pending_input(&self) -> io::Result<()> {
        let socket = SockRef::from(&self.stream);
        match (&*socket).read(&mut [0]) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(()),
            Err(error) => Err(error),
            Ok(0) => Err(io::Error::new(io::ErrorKind::ConnectionAborted, "closed before the call")),
            Ok(_) => {
                self.exchange.lock().had_pending_input = true;
                Err(io::Error::new(io::ErrorKind::InvalidData, "unexpected bytes before the call"))
            }
        }
    }

    fn on_written(&self, bytes: &[u8]) {
        let is_whole = {
            let request = &mut self.exchange.lock().request;
            let before = request.progress();
            request.on_written(bytes);
            before != request.progress()
        };
        if is_whole {
            // The channel is closed only when the forwarder ends.
            let _ = self.inputs.send(Input::CallWritten { connection: self.connection });
        }
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let had_room = buffer.remaining() > 0;
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        let bytes = &buffer.filled()[before..];
        let mut exchange = self.exchange.lock();
        exchange.response.on_read(bytes);
        exchange.is_input_closed |= match &result {
            Poll::Ready(Ok(())) => had_room && bytes.is_empty(),
            Poll::Ready(Err(_)) => true,
            Poll::Pending => false,
        };
        drop(exchange);
        result
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if !self.exchange.lock().request.has_begun() {
            self.check_no_pending_input()?;
        }
        let result = Pin::new(&mut self.stream).poll_write(context, bytes);
        if let Poll::Ready(Ok(count)) = result {
            self.on_written(&bytes[..count]);
        }
        result
    }

    // Without vectored writes hyper copies each body into a buffer that it keeps for as long as the connection.
    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        if !self.exchange.lock().request.has_begun() {
            self.check_no_pending_input()?;
        }
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        if let Poll::Ready(Ok(count)) = result {
            let mut left = count;
            for slice in slices {
                let written = left.min(slice.len());
                self.on_written(&slice[..written]);
                left -= written;
            }
        }
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

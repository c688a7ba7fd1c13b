//! Drives a connection to an endpoint: reads and writes its socket while it is polled, and tells how the connection
//! ended.

use crate::endpoint_call::Cause;
use crate::metered_stream::{MeteredStream, SharedExchange};
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};

type HttpConnection = http1::Connection<TokioIo<MeteredStream>, Full<Bytes>>;

/// A future that is ready once the connection has ended, each time that it is polled.
pub(crate) struct ConnectionDriver {
    connection: Pin<Box<HttpConnection>>,
    exchange: SharedExchange,
    end: Option<Cause>,
}

impl ConnectionDriver {
    pub(crate) fn new(connection: HttpConnection, exchange: SharedExchange) -> Self {
        ConnectionDriver { connection: Box::pin(connection), exchange, end: None }
    }

    /// Returns whether the connection is open.
    pub(crate) fn is_open(&self) -> bool {
        self.end.is_none()
    }

    /// Returns why the connection has ended; `None` while it is open.
    pub(crate) fn end(&self) -> Option<&Cause> {
        self.end.as_ref()
    }

    fn cause_of_end(&self, result: hyper::Result<()>) -> Cause {
        match result {
            Ok(()) => Cause::ConnectionFailed("closed".to_owned()),
            // The error of a call goes to the call. Without a call, hyper ends an open connection only because of
            // bytes that no call waits for.
            Err(_) if !self.exchange.lock().is_input_closed => Cause::SurplusBytes,
            Err(error) => Cause::ConnectionFailed(error.to_string()),
        }
    }
}

impl Future for ConnectionDriver {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        if self.end.is_some() {
            return Poll::Ready(());
        }
        let Poll::Ready(result) = self.connection.as_mut().poll(context) else { return Poll::Pending };
        self.end = Some(self.cause_of_end(result));
        Poll::Ready(())
    }
}

//! A connection to an endpoint: one task connects, carries one call at a time and reports to the reducer.
//!
//! The task reports [`Input::ConnectionUp`] once, [`Input::CallWritten`] and [`Input::CallAnswered`] for each call, and
//! [`Input::ConnectionClosed`] last. The last report also ends a call that has no answer. A call that arrives too late to
//! be sent gets [`Input::CallExpired`] instead, and the connection stays open.

use crate::connection_driver::ConnectionDriver;
use crate::connection_pool::EndpointConnectionId;
use crate::endpoint_call::{Cause, EndpointCall, EndpointCallError, EndpointReply, Progress};
use crate::endpoint_exchange::exchange;
use crate::input::Input;
use crate::metered_stream::{MeteredStream, SharedExchange};
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use std::future::{Future, poll_fn};
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::time::{Instant, Sleep, sleep_until, timeout, timeout_at};

/// Longest head of a response, and most bytes that are read ahead.
const MAX_HEAD_BYTES: usize = 32 << 10;
/// Limit on the time from the first byte of a response to its last. Endpoints write a whole response at once.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Limit on the time to receive the rest of a response that has begun when its call times out or is cancelled. The
/// response is still used, because it may report a delivery or a delay before the next attempt.
const LAST_BYTES_TIMEOUT: Duration = Duration::from_millis(20);

/// A call for a connection.
#[derive(Clone, Debug)]
pub struct ScheduledCall {
    /// The call.
    pub call: EndpointCall,
    /// Time until which the connection waits for the response.
    pub deadline: Instant,
    /// Time from which the call must not be written any more.
    pub send_by: Instant,
}

/// Reports, when it is dropped, that a connection is closed. The report is also sent when the connection's task panics,
/// because otherwise its call would never end.
struct CloseReport {
    connection: EndpointConnectionId,
    inputs: UnboundedSender<Input>,
    error: EndpointCallError,
}

impl Drop for CloseReport {
    fn drop(&mut self) {
        let error = self.error.clone();
        // The channel is closed only when the forwarder ends.
        let _ = self.inputs.send(Input::ConnectionClosed { connection: self.connection, error });
    }
}

fn connection_failed(progress: Progress, reason: impl ToString) -> EndpointCallError {
    EndpointCallError { progress, cause: Cause::ConnectionFailed(reason.to_string()) }
}

fn cancelled(progress: Progress) -> EndpointCallError {
    EndpointCallError { progress, cause: Cause::Cancelled }
}

/// Runs one connection until it is closed. Gives up connecting at `connect_deadline`. Closing the channel of `calls`
/// closes the connection.
pub async fn run(
    connection: EndpointConnectionId,
    address: SocketAddr,
    connect_deadline: Instant,
    mut calls: UnboundedReceiver<ScheduledCall>,
    inputs: UnboundedSender<Input>,
) {
    let error = connection_failed(Progress::NotConnected, "the connection's task panicked");
    // Declared first and therefore dropped last, so that the socket is closed before the report is sent.
    let mut report = CloseReport { connection, inputs: inputs.clone(), error };
    let stream = tokio::select! {
        connected = connect(address, connect_deadline) => connected,
        _ = calls.recv() => Err(cancelled(Progress::NotConnected)),
    };
    let stream = match stream {
        Ok(stream) => stream,
        Err(error) => {
            report.error = error;
            return;
        }
    };
    let exchange = SharedExchange::default();
    let stream = MeteredStream { stream, exchange: exchange.clone(), connection, inputs: inputs.clone() };
    let handshake = http1::Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake(TokioIo::new(stream));
    let (sender, driver) = match handshake.await {
        Ok((sender, connection)) => (sender, ConnectionDriver::new(connection, exchange.clone())),
        Err(error) => {
            report.error = connection_failed(Progress::NotConnected, error);
            return;
        }
    };
    let _ = inputs.send(Input::ConnectionUp { connection });
    let mut http = HttpConnection { id: connection, address, sender, driver, exchange };
    report.error = http.carry_calls(&mut calls, &inputs, &mut report.error).await;
}

async fn connect(address: SocketAddr, deadline: Instant) -> Result<TcpStream, EndpointCallError> {
    let connected = timeout_at(deadline, TcpStream::connect(address)).await;
    let stream = match connected {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return Err(connection_failed(Progress::NotConnected, error)),
        Err(_) => {
            return Err(EndpointCallError { progress: Progress::NotConnected, cause: Cause::TimedOut });
        }
    };
    stream.set_nodelay(true).map_err(|error| connection_failed(Progress::NotConnected, error))?;
    Ok(stream)
}

/// An established connection.
struct HttpConnection {
    id: EndpointConnectionId,
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    driver: ConnectionDriver,
    exchange: SharedExchange,
}

impl HttpConnection {
    /// Carries calls until the connection ends, and returns the reason. Sets `if_panicked` to the error to report if
    /// the task panics during a call.
    async fn carry_calls(
        &mut self,
        calls: &mut UnboundedReceiver<ScheduledCall>,
        inputs: &UnboundedSender<Input>,
        if_panicked: &mut EndpointCallError,
    ) -> EndpointCallError {
        loop {
            let scheduled = match self.next_call(calls).await {
                Ok(scheduled) => scheduled,
                Err(error) => return error,
            };
            let body = scheduled.call.body();
            // Checked as late as possible: the forwarder may have been paused since the reducer checked it.
            if Instant::now() >= scheduled.send_by {
                let _ = inputs.send(Input::CallExpired { connection: self.id });
                continue;
            }
            self.exchange.begin(body.len());
            *if_panicked = connection_failed(Progress::FullyWritten, "the connection's task panicked");
            match self.carry(&scheduled, body, calls).await {
                Ok(Answered { reply, close_cause }) => {
                    let reusable = close_cause.is_none();
                    let _ = inputs.send(Input::CallAnswered { connection: self.id, reply, reusable });
                    if let Some(cause) = close_cause {
                        return EndpointCallError { progress: Progress::Answered, cause };
                    }
                }
                Err(error) => return error,
            }
        }
    }

    async fn next_call(
        &mut self,
        calls: &mut UnboundedReceiver<ScheduledCall>,
    ) -> Result<ScheduledCall, EndpointCallError> {
        tokio::select! {
            biased;
            () = &mut self.driver => {
                let cause = self.driver.end().cloned().unwrap_or(Cause::Cancelled);
                Err(EndpointCallError { progress: Progress::NotFullyWritten, cause })
            }
            scheduled = calls.recv() => scheduled.ok_or(cancelled(Progress::NotFullyWritten)),
        }
    }

    /// Carries one call until it is answered or has failed.
    async fn carry(
        &mut self,
        scheduled: &ScheduledCall,
        body: Bytes,
        calls: &mut UnboundedReceiver<ScheduledCall>,
    ) -> Result<Answered, EndpointCallError> {
        let ScheduledCall { call, deadline, .. } = scheduled;
        let response = exchange(&mut self.sender, self.address, call, body);
        let end = drive(response, &mut self.driver, calls, *deadline, &self.exchange).await;
        // For a single message, the status line alone tells whether it is delivered.
        let is_delivered =
            !call.is_bulk && !end.is_mismatched() && self.exchange.lock().response.confirms_delivery();
        match end {
            ExchangeEnd::Finished { response: Ok(reply), keeps_connection } => {
                let reusable = keeps_connection && self.is_reusable(*deadline).await;
                Ok(Answered { reply, close_cause: (!reusable).then(|| self.close_cause()) })
            }
            ExchangeEnd::Finished { response: Err(_), .. } | ExchangeEnd::Stopped(_) if is_delivered => {
                let reply = EndpointReply { status: 200, ..EndpointReply::default() };
                let reason = "invalid response after its status line".to_owned();
                Ok(Answered { reply, close_cause: Some(Cause::InvalidResponse(reason)) })
            }
            ExchangeEnd::Finished { response: Err(cause), .. } | ExchangeEnd::Stopped(cause) => {
                let exchange = self.exchange.lock();
                let cause = if exchange.had_pending_input { Cause::SurplusBytes } else { cause };
                Err(EndpointCallError { progress: exchange.progress(), cause })
            }
        }
    }

    async fn is_reusable(&mut self, deadline: Instant) -> bool {
        tokio::select! {
            biased;
            ready = self.sender.ready() => ready.is_ok(),
            () = &mut self.driver => false,
            () = sleep_until(deadline) => false,
        }
    }

    /// Returns why the connection closes after a response that was read.
    fn close_cause(&self) -> Cause {
        match self.driver.end() {
            Some(Cause::SurplusBytes) => Cause::SurplusBytes,
            _ => Cause::ConnectionFailed("closed after its response".to_owned()),
        }
    }
}

/// The answer to a call.
struct Answered {
    reply: EndpointReply,
    /// Why the connection cannot carry another call; `None` if it can.
    close_cause: Option<Cause>,
}

enum ExchangeEnd {
    /// The response has been read or cannot be read.
    Finished {
        response: Result<EndpointReply, Cause>,
        /// Whether the connection was open when the response was read, and the call had not been stopped before.
        keeps_connection: bool,
    },
    Stopped(Cause),
}

impl ExchangeEnd {
    fn is_mismatched(&self) -> bool {
        matches!(self, ExchangeEnd::Finished { response: Err(Cause::MismatchedResponse), .. })
    }
}

/// Drives an exchange until it is finished, cancelled by closing the channel, or timed out.
async fn drive(
    response: impl Future<Output = Result<EndpointReply, Cause>>,
    driver: &mut ConnectionDriver,
    calls: &mut UnboundedReceiver<ScheduledCall>,
    deadline: Instant,
    exchange: &SharedExchange,
) -> ExchangeEnd {
    let mut response = pin!(response);
    let mut time_out = pin!(sleep_until(deadline));
    let cause = loop {
        tokio::select! {
            biased;
            response = &mut response => {
                return ExchangeEnd::Finished { response, keeps_connection: driver.is_open() };
            }
            // The bytes that arrived before the close are still to be read.
            () = &mut *driver, if driver.is_open() => {}
            _ = calls.recv() => break Cause::Cancelled,
            // The time-out is polled last, so that it takes account of bytes that the driver has just read.
            cause = poll_fn(|context| poll_time_out(context, time_out.as_mut(), deadline, exchange)) => {
                break cause;
            }
        }
    };
    match receive_last_bytes(response, driver, exchange).await {
        Some(response @ Ok(_)) => ExchangeEnd::Finished { response, keeps_connection: false },
        Some(Err(_)) | None => ExchangeEnd::Stopped(cause),
    }
}

/// Times out at the deadline, or [`RESPONSE_TIMEOUT`] after the beginning of the response if that is earlier.
fn poll_time_out(
    context: &mut Context<'_>,
    mut time_out: Pin<&mut Sleep>,
    deadline: Instant,
    exchange: &SharedExchange,
) -> Poll<Cause> {
    let begun_at = exchange.lock().response.begun_at();
    let response_due = begun_at.map(|at| at + RESPONSE_TIMEOUT).filter(|due| *due < deadline);
    if let Some(due) = response_due
        && time_out.deadline() != due
    {
        time_out.as_mut().reset(due);
    }
    time_out.poll(context).map(|()| match response_due {
        Some(_) => Cause::InvalidResponse("the response is incomplete".to_owned()),
        None => Cause::TimedOut,
    })
}

/// Returns the response to a call that has timed out or is cancelled, if it has arrived completely by now. A response
/// that has begun gets [`LAST_BYTES_TIMEOUT`] for the rest.
async fn receive_last_bytes(
    mut response: Pin<&mut impl Future<Output = Result<EndpointReply, Cause>>>,
    driver: &mut ConnectionDriver,
    exchange: &SharedExchange,
) -> Option<Result<EndpointReply, Cause>> {
    let mut rest = pin!(async {
        loop {
            tokio::select! {
                biased;
                response = &mut response => return response,
                () = &mut *driver, if driver.is_open() => {}
            }
        }
    });
    // The runtime notices bytes that have already arrived when the task yields.
    let response = tokio::select! {
        biased;
        response = &mut rest => Some(response),
        () = tokio::task::yield_now() => None,
    };
    let has_begun = exchange.lock().response.begun_at().is_some();
    match response {
        None if has_begun => timeout(LAST_BYTES_TIMEOUT, rest).await.ok(),
        response => response,
    }
}

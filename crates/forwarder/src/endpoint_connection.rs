//! Connections to next hops on sockets: one task each, which dials, writes one call at a time and reports.

use super::connection_pool::EndpointConnectionId;
use super::endpoint_call::{Cause, EndpointCall, EndpointCallError, EndpointReply, Progress};
use super::write_progress::{HEAD_END, WriteProgress};
use crate::input::{IDEMPOTENCY_KEY, Input};
use crate::retry_after::{header_text, partner_wait_ms};
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HOST, HeaderMap};
use hyper::{Request, Response, body::Incoming};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use std::future::{Future, poll_fn};
use std::io::{self, Read};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::time::{Instant, sleep_until, timeout, timeout_at};

/// Largest answer that is read; ends of twenty messages take up a hundredth of it.
const LARGEST_ANSWER: usize = 256 << 10;
/// Largest head of an answer, and what is read ahead.
const LARGEST_HEAD: usize = 32 << 10;
/// An answer that has begun and is not whole by then never will be: it is written in one go.
const ANSWER_TIME: Duration = Duration::from_millis(500);
/// An answer that has begun when its call's time is up, or when the call is called off, may bring its last bytes: in the
/// same turn they are there, and what they say binds (a wait that is told, a delivery).
const LAST_BYTES: Duration = Duration::from_millis(20);
/// As much of an answer is looked at for its first line; what comes in front of it is short.
const FIRST_LINES: usize = 4 << 10;

/// A call for a connection, and until when it waits.
pub type Order = (EndpointCall, Instant);

/// What has come of an answer: its first bytes, and when they came. Provisional answers in front do not count.
#[derive(Debug, Default)]
struct Seen {
    start: Vec<u8>,
    begun: Option<Instant>,
}

impl Seen {
    fn take(&mut self, bytes: &[u8]) {
        let room = FIRST_LINES - self.start.len();
        self.start.extend_from_slice(&bytes[..bytes.len().min(room)]);
        if self.begun.is_none() && !self.answer().is_empty() {
            self.begun = Some(Instant::now());
        }
    }

    /// The answer itself, without provisional ones in front that are whole.
    fn answer(&self) -> &[u8] {
        let mut rest = &self.start[..];
        while matches!(rest, [b'H', b'T', b'T', b'P', b'/', b'1', b'.', _, b' ', b'1', ..])
            && let Some(end) = rest.windows(HEAD_END.len()).position(|four| four == HEAD_END)
        {
            rest = &rest[end + HEAD_END.len()..];
        }
        rest
    }

    /// Whether the first line is whole and says 200, whatever follows.
    fn says_delivered(&self) -> bool {
        let answer = self.answer();
        let whole = answer.contains(&b'\n');
        whole
            && matches!(
                answer,
                [
                    b'H',
                    b'T',
                    b'T',
                    b'P',
                    b'/',
                    b'1',
                    b'.',
                    b'0' | b'1',
                    b' ',
                    b'2',
                    b'0',
                    b'0',
                    b' ' | b'\r' | b'\n',
                    ..
                ]
            )
    }
}

/// One exchange as the socket has seen it.
#[derive(Debug, Default)]
struct Meter {
    written: WriteProgress,
    seen: Seen,
}

/// A stream that keeps count of what the request's bytes have come to, and sees the answer begin.
struct Metered {
    stream: TcpStream,
    meter: Arc<Mutex<Meter>>,
    /// Told when a request's last byte has gone.
    link: EndpointConnectionId,
    inputs: UnboundedSender<Input>,
}

impl Metered {
    /// Before the first byte of a call: a next hop that has closed, or said something that nobody asked for, is not
    /// written to. What it said would be read as the answer, and what is written to a closed connection may have run. The
    /// system is asked itself: the runtime hears of it a turn later.
    fn check_quiet(&self) -> io::Result<()> {
        let socket = SockRef::from(&self.stream);
        match (&*socket).read(&mut [0]) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(()),
            Err(error) => Err(error),
            Ok(0) => Err(io::Error::new(io::ErrorKind::ConnectionAborted, "closed before its call")),
            Ok(_) => Err(io::Error::new(io::ErrorKind::InvalidData, "it spoke before its call")),
        }
    }
}

fn lock(meter: &Mutex<Meter>) -> MutexGuard<'_, Meter> {
    meter.lock().unwrap_or_else(PoisonError::into_inner)
}

impl AsyncRead for Metered {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let done = Pin::new(&mut self.stream).poll_read(context, buffer);
        lock(&self.meter).seen.take(&buffer.filled()[before..]);
        done
    }
}

impl AsyncWrite for Metered {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if !lock(&self.meter).written.has_begun() {
            self.check_quiet()?;
        }
        let done = Pin::new(&mut self.stream).poll_write(context, bytes);
        if let Poll::Ready(Ok(count)) = done {
            let whole = {
                let written = &mut lock(&self.meter).written;
                let before = written.progress();
                written.on_written(&bytes[..count]);
                before != written.progress()
            };
            if whole {
                // The receiver is gone only when the forwarder ends.
                let _ = self.inputs.send(Input::CallWritten { connection: self.link });
            }
        }
        done
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// Says that a connection is closed when its task ends, also in a panic, which must not hold a call for ever.
struct Closing {
    link: EndpointConnectionId,
    inputs: UnboundedSender<Input>,
    error: EndpointCallError,
}

impl Drop for Closing {
    fn drop(&mut self) {
        // The receiver is gone only when the forwarder ends.
        let _ =
            self.inputs.send(Input::ConnectionClosed { connection: self.link, error: self.error.clone() });
    }
}

fn broken(progress: Progress, why: impl ToString) -> EndpointCallError {
    EndpointCallError { progress, cause: Cause::ConnectionFailed(why.to_string()) }
}

/// One connection from its dial to its end. Closing the channel of orders closes it.
pub async fn run(
    link: EndpointConnectionId,
    address: SocketAddr,
    until: Instant,
    mut orders: UnboundedReceiver<Order>,
    inputs: UnboundedSender<Input>,
) {
    let error = broken(Progress::NotConnected, "the connection's task panicked");
    // First made, last dropped: by its word the socket is closed.
    let mut closing = Closing { link, inputs: inputs.clone(), error };
    closing.error = serve(link, address, until, &mut orders, &inputs, &mut closing.error).await;
}

async fn serve(
    link: EndpointConnectionId,
    address: SocketAddr,
    until: Instant,
    orders: &mut UnboundedReceiver<Order>,
    inputs: &UnboundedSender<Input>,
    if_panicked: &mut EndpointCallError,
) -> EndpointCallError {
    let called_off = |progress| EndpointCallError { progress, cause: Cause::Cancelled };
    let dialled = tokio::select! {
        dialled = timeout_at(until, TcpStream::connect(address)) => dialled,
        _ = orders.recv() => return called_off(Progress::NotConnected),
    };
    let stream = match dialled {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return broken(Progress::NotConnected, error),
        Err(_) => return EndpointCallError { progress: Progress::NotConnected, cause: Cause::TimedOut },
    };
    if let Err(error) = stream.set_nodelay(true) {
        return broken(Progress::NotConnected, error);
    }
    let meter = Arc::new(Mutex::new(Meter::default()));
    let stream = Metered { stream, meter: meter.clone(), link, inputs: inputs.clone() };
    let handshake = http1::Builder::new().max_buf_size(LARGEST_HEAD).handshake(TokioIo::new(stream));
    let (mut sender, connection) = match handshake.await {
        Ok(pair) => pair,
        Err(error) => return broken(Progress::NotConnected, error),
    };
    let mut connection = Box::pin(connection);
    let _ = inputs.send(Input::ConnectionUp { connection: link });
    loop {
        let (call, due) = tokio::select! {
            biased;
            ended = &mut connection => {
                let why = ended.err().map_or("closed".to_owned(), |error| error.to_string());
                return broken(Progress::NotFullyWritten, why);
            }
            order = orders.recv() => match order {
                Some(order) => order,
                None => return called_off(Progress::NotFullyWritten),
            },
        };
        let body = call.body();
        *lock(&meter) = Meter { written: WriteProgress::with_body_bytes(body.len()), ..Meter::default() };
        *if_panicked = broken(Progress::FullyWritten, "the connection's task panicked");
        let answer = exchange(&mut sender, address, &call, body);
        let driven = drive(answer, &mut connection, orders, due, &meter).await;
        // Its first line says 200: for a single message that is all there is to say, whatever came after it.
        let delivered = !call.is_bulk && lock(&meter).seen.says_delivered();
        match driven {
            Driven::Answered(Ok(reply), open) => {
                let reusable = open && is_free(&mut sender, &mut connection, due).await;
                let _ = inputs.send(Input::CallAnswered { connection: link, reply, reusable });
                if !reusable {
                    return broken(Progress::Answered, "closed after its answer");
                }
            }
            Driven::Answered(Err(_), _) | Driven::Ended(_) if delivered => {
                let reply = EndpointReply { status: 200, ..EndpointReply::default() };
                let _ = inputs.send(Input::CallAnswered { connection: link, reply, reusable: false });
                return broken(Progress::Answered, "spoilt after its first line");
            }
            Driven::Answered(Err(cause), _) | Driven::Ended(cause) => {
                let meter = lock(&meter);
                let written = meter.written.progress();
                let answered = meter.seen.begun.is_some() && written == Progress::FullyWritten;
                return EndpointCallError {
                    progress: if answered { Progress::Answered } else { written },
                    cause,
                };
            }
        }
    }
}

enum Driven {
    /// The exchange is over; the flag says whether the connection is still there.
    Answered(Result<EndpointReply, Cause>, bool),
    Ended(Cause),
}

/// Lets a call go on until it is answered, fails, is called off or its time, or that of its answer, is up.
async fn drive(
    answer: impl Future<Output = Result<EndpointReply, Cause>>,
    connection: &mut (impl Future<Output = hyper::Result<()>> + Unpin),
    orders: &mut UnboundedReceiver<Order>,
    due: Instant,
    meter: &Mutex<Meter>,
) -> Driven {
    let mut answer = std::pin::pin!(answer);
    let mut sleep = std::pin::pin!(sleep_until(due));
    let mut open = true;
    let cause = loop {
        tokio::select! {
            biased;
            done = &mut answer => return Driven::Answered(done, open),
            // What came before the close is still to be taken out of the exchange.
            _ = &mut *connection, if open => open = false,
            _ = orders.recv() => break Cause::Cancelled,
            cause = poll_fn(|context| {
                // Looked at last: what the connection has just read counts.
                let ends = lock(meter).seen.begun.map(|begun| begun + ANSWER_TIME).filter(|ends| *ends < due);
                if let Some(ends) = ends && sleep.deadline() != ends {
                    sleep.as_mut().reset(ends);
                }
                let unended = || Cause::InvalidResponse("its answer does not end".to_owned());
                sleep.as_mut().poll(context).map(|()| if ends.is_some() { unended() } else { Cause::TimedOut })
            }) => break cause,
        }
    };
    let mut last = std::pin::pin!(async {
        loop {
            tokio::select! {
                biased;
                done = &mut answer => return done,
                _ = &mut *connection, if open => open = false,
            }
        }
    });
    // What has come by now counts; the runtime hears of it with its next turn.
    let ended = tokio::select! {
        biased;
        done = &mut last => Some(done),
        () = tokio::task::yield_now() => None,
    };
    let ended = match ended {
        None if lock(meter).seen.begun.is_some() => timeout(LAST_BYTES, last).await.ok(),
        ended => ended,
    };
    match ended {
        Some(done @ Ok(_)) => Driven::Answered(done, false),
        Some(Err(_)) | None => Driven::Ended(cause),
    }
}

async fn is_free(
    sender: &mut SendRequest<Full<Bytes>>,
    connection: &mut (impl Future<Output = hyper::Result<()>> + Unpin),
    due: Instant,
) -> bool {
    tokio::select! {
        biased;
        ready = sender.ready() => ready.is_ok(),
        _ = connection => false,
        () = sleep_until(due) => false,
    }
}

async fn exchange(
    sender: &mut SendRequest<Full<Bytes>>,
    address: SocketAddr,
    call: &EndpointCall,
    body: Bytes,
) -> Result<EndpointReply, Cause> {
    let mut request = Request::post(call.path())
        .header(HOST, address.to_string())
        .header("X-Remaining", format!("{:.3}", call.time_left.max(0) as f64 / 1e6));
    request = match &call.messages[..] {
        [part] if !call.is_bulk => {
            let request = request.header("X-Txn", &part.id);
            match &part.idempotency_key {
                Some(key) => request.header(IDEMPOTENCY_KEY, key),
                None => request,
            }
        }
        _ => request.header(hyper::header::CONTENT_TYPE, "application/json"),
    };
    let request = request.body(Full::new(body));
    let request = request.map_err(|e| Cause::ConnectionFailed(e.to_string()))?;
    let answer = sender.send_request(request).await.map_err(|error| {
        let why = error.to_string();
        if error.is_parse() { Cause::InvalidResponse(why) } else { Cause::ConnectionFailed(why) }
    })?;
    let (mut reply, body) = head(answer, call.is_bulk);
    reply.body = read(body).await.map_err(Cause::InvalidResponse)?;
    if reply.status < 200 || !reply.is_readable() {
        return Err(Cause::InvalidResponse("its answer says nothing".to_owned()));
    }
    Ok(reply)
}

async fn read(mut body: Incoming) -> Result<Bytes, String> {
    let mut all = BytesMut::new();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame.map_err(|e| e.to_string())?.into_data() {
            if all.len() + data.len() > LARGEST_ANSWER {
                return Err("its answer is too long".to_owned());
            }
            all.extend_from_slice(&data);
        }
    }
    Ok(all.freeze())
}

fn head(answer: Response<Incoming>, bulk: bool) -> (EndpointReply, Incoming) {
    let (parts, body) = answer.into_parts();
    let reply = EndpointReply {
        status: parts.status.as_u16(),
        retry_after_ms: partner_wait_ms(&parts.headers),
        line_busy: header_text(&parts.headers, "X-Line-Busy") == Some("1"),
        reported_limit: report(&parts.headers, "x1"),
        reported_remaining: report(&parts.headers, "x0"),
        is_bulk: bulk,
        body: Bytes::new(),
    };
    (reply, body)
}

/// What is no number, or none that can be counted with, is passed over.
fn number(text: &str) -> Option<f64> {
    text.trim().parse().ok().filter(|number: &f64| number.is_finite() && *number >= 0.0)
}

fn report(headers: &HeaderMap, field: &str) -> Option<f64> {
    let pairs = header_text(headers, "X-Pressure")?.split(',').filter_map(|pair| pair.split_once('='));
    pairs.filter(|(name, _)| name.trim() == field).find_map(|(_, value)| number(value))
}

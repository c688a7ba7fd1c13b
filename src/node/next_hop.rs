//! Connections to next hops on sockets: one task each, which dials, writes one call at a time and reports.

use super::hop_call::{Call, Cause, HopError, Progress, Reply};
use super::pool::LinkId;
use super::reducer::Input;
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HOST, HeaderMap};
use hyper::{Request, Response, body::Incoming};
use hyper_util::rt::TokioIo;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::time::{Instant, sleep_until, timeout_at};

/// Largest answer that is read; ends of twenty messages take up a hundredth of it.
const LARGEST_ANSWER: usize = 256 << 10;

/// A call for a connection, and until when it waits.
pub type Order = (Call, Instant);

/// How much of a request has been written: its head ends with an empty line, and its body's length is known.
#[derive(Debug, Default)]
struct Written {
    head_end: usize,
    body_left: usize,
}

const HEAD_END: &[u8] = b"\r\n\r\n";

impl Written {
    fn expect(&mut self, body: usize) {
        *self = Written { head_end: 0, body_left: body };
    }

    fn take(&mut self, bytes: &[u8]) {
        for (place, byte) in bytes.iter().enumerate() {
            if self.head_end == HEAD_END.len() {
                self.body_left = self.body_left.saturating_sub(bytes.len() - place);
                return;
            }
            self.head_end = match *byte {
                b if b == HEAD_END[self.head_end] => self.head_end + 1,
                b'\r' => 1,
                _ => 0,
            };
        }
    }

    fn progress(&self) -> Progress {
        if self.head_end == HEAD_END.len() && self.body_left == 0 {
            Progress::FullyWritten
        } else {
            Progress::NotFullyWritten
        }
    }
}

/// A stream that keeps count of what the request's bytes have come to.
struct Metered {
    stream: TcpStream,
    written: Arc<Mutex<Written>>,
}

fn lock(written: &Mutex<Written>) -> MutexGuard<'_, Written> {
    written.lock().unwrap_or_else(PoisonError::into_inner)
}

impl AsyncRead for Metered {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for Metered {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let done = Pin::new(&mut self.stream).poll_write(context, bytes);
        if let Poll::Ready(Ok(count)) = done {
            lock(&self.written).take(&bytes[..count]);
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
    link: LinkId,
    inputs: UnboundedSender<Input>,
    error: HopError,
}

impl Drop for Closing {
    fn drop(&mut self) {
        // The receiver is gone only when the forwarder ends.
        let _ = self.inputs.send(Input::LinkClosed { link: self.link, error: self.error.clone() });
    }
}

fn broken(progress: Progress, why: impl ToString) -> HopError {
    HopError { progress, cause: Cause::Broken(why.to_string()) }
}

/// One connection from its dial to its end. Closing the channel of orders closes it.
pub async fn run(
    link: LinkId,
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
    link: LinkId,
    address: SocketAddr,
    until: Instant,
    orders: &mut UnboundedReceiver<Order>,
    inputs: &UnboundedSender<Input>,
    if_panicked: &mut HopError,
) -> HopError {
    let called_off = |progress| HopError { progress, cause: Cause::CalledOff };
    let dialled = tokio::select! {
        dialled = timeout_at(until, TcpStream::connect(address)) => dialled,
        _ = orders.recv() => return called_off(Progress::NotConnected),
    };
    let stream = match dialled {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return broken(Progress::NotConnected, error),
        Err(_) => return HopError { progress: Progress::NotConnected, cause: Cause::TimedOut },
    };
    if let Err(error) = stream.set_nodelay(true) {
        return broken(Progress::NotConnected, error);
    }
    let written = Arc::new(Mutex::new(Written::default()));
    let stream = Metered { stream, written: written.clone() };
    let (mut sender, connection) = match http1::handshake(TokioIo::new(stream)).await {
        Ok(pair) => pair,
        Err(error) => return broken(Progress::NotConnected, error),
    };
    let mut connection = Box::pin(connection);
    let _ = inputs.send(Input::LinkUp { link });
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
        lock(&written).expect(body.len());
        *if_panicked = broken(Progress::FullyWritten, "the connection's task panicked");
        let answer = exchange(&mut sender, address, &call, body);
        match drive(answer, &mut connection, orders, due).await {
            Driven::Answered(Ok(reply), open) => {
                let reusable = open && is_free(&mut sender, &mut connection, due).await;
                let _ = inputs.send(Input::Answered { link, reply, reusable });
                if !reusable {
                    return broken(Progress::Answered, "closed after its answer");
                }
            }
            Driven::Answered(Err(failure), _) => {
                let progress = lock(&written).progress();
                let progress = if failure.answered { Progress::Answered } else { progress };
                return broken(progress, failure.why);
            }
            Driven::Ended(cause) => return HopError { progress: lock(&written).progress(), cause },
        }
    }
}

enum Driven {
    /// The exchange is over; the flag says whether the connection is still there.
    Answered(Result<Reply, Failure>, bool),
    Ended(Cause),
}

/// Lets a call go on until it is answered, fails, is called off or its time is up.
async fn drive(
    answer: impl Future<Output = Result<Reply, Failure>>,
    connection: &mut (impl Future<Output = hyper::Result<()>> + Unpin),
    orders: &mut UnboundedReceiver<Order>,
    due: Instant,
) -> Driven {
    let mut answer = std::pin::pin!(answer);
    let mut open = true;
    loop {
        tokio::select! {
            biased;
            done = &mut answer => return Driven::Answered(done, open),
            // What came before the close is still to be taken out of the exchange.
            _ = &mut *connection, if open => open = false,
            _ = orders.recv() => return Driven::Ended(Cause::CalledOff),
            () = sleep_until(due) => return Driven::Ended(Cause::TimedOut),
        }
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

/// Why an exchange failed.
struct Failure {
    answered: bool,
    why: String,
}

async fn exchange(
    sender: &mut SendRequest<Full<Bytes>>,
    address: SocketAddr,
    call: &Call,
    body: Bytes,
) -> Result<Reply, Failure> {
    let mut request = Request::post(call.path())
        .header(HOST, address.to_string())
        .header("X-Remaining", format!("{:.3}", call.remaining.max(0) as f64 / 1e6));
    request = match &call.parts[..] {
        [part] if !call.bulk => request.header("X-Txn", &part.txn),
        _ => request.header(hyper::header::CONTENT_TYPE, "application/json"),
    };
    let request = request.body(Full::new(body));
    let failed = |answered| move |why: String| Failure { answered, why };
    let request = request.map_err(|e| failed(false)(e.to_string()))?;
    let answer = sender.send_request(request).await.map_err(|e| failed(false)(e.to_string()))?;
    let (mut reply, body) = head(answer, call.bulk);
    match read(body).await {
        Ok(body) => reply.body = body,
        // One message: its first line said all. Several: without the whole answer nothing is known.
        Err(_) if !call.bulk => {}
        Err(why) => return Err(failed(true)(why)),
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

fn head(answer: Response<Incoming>, bulk: bool) -> (Reply, Incoming) {
    let (parts, body) = answer.into_parts();
    let reply = Reply {
        status: parts.status.as_u16(),
        wait_ms: text(&parts.headers, "X-Come-Back-Ms").map_or(0, milliseconds),
        line_busy: text(&parts.headers, "X-Line-Busy") == Some("1"),
        limit: report(&parts.headers, "x1"),
        left: report(&parts.headers, "x0"),
        bulk,
        body: Bytes::new(),
    };
    (reply, body)
}

/// Whole or decimal; a wait that is not kept for want of a digit is a broken rule.
fn milliseconds(text: &str) -> u64 {
    text.trim().parse::<f64>().map_or(0, |wait| wait.ceil() as u64)
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn report(headers: &HeaderMap, field: &str) -> Option<f64> {
    let pairs = text(headers, "X-Pressure")?.split(',').filter_map(|pair| pair.split_once('='));
    pairs.filter(|(name, _)| name.trim() == field).find_map(|(_, value)| value.trim().parse().ok())
}

#[cfg(test)]
mod tests {
    use super::*;
    use quickcheck::{Gen, QuickCheck};

    // Guards against a wait that is passed over because of the form of its number.
    #[test]
    fn a_wait_is_read_whole_or_decimal() {
        let cases = [("250", 250), (" 250.2 ", 251), ("0", 0), ("-5", 0), ("soon", 0), ("NaN", 0), ("", 0)];
        assert!(cases.iter().all(|(text, wait)| milliseconds(text) == *wait));
    }

    // Guards against a call taken for unwritten though its last byte went out, or the other way round,
    // however the writes were cut.
    #[test]
    fn a_request_is_written_with_its_last_byte() {
        fn keep(body: Vec<u8>, cuts: Vec<u8>) -> bool {
            let mut request = b"POST /inbox HTTP/1.1\r\nx-txn: a\r\n\r\n".to_vec();
            request.extend_from_slice(&body);
            let mut written = Written::default();
            written.expect(body.len());
            let (mut rest, mut cuts) = (&request[..], cuts.into_iter().cycle());
            while !rest.is_empty() {
                assert_eq!(written.progress(), Progress::NotFullyWritten);
                let (now, later) = rest.split_at(usize::from(cuts.next().unwrap_or(3)).clamp(1, rest.len()));
                written.take(now);
                rest = later;
            }
            written.progress() == Progress::FullyWritten
        }
        let chance = Gen::from_size_and_seed(100, 1);
        QuickCheck::new().tests(200).rng(chance).quickcheck(keep as fn(Vec<u8>, Vec<u8>) -> bool);
    }
}

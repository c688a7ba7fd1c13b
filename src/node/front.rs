//! The front: the platform's protocol on the sender side. The core knows nothing of it; another front would
//! hand in the same [`Handed`] messages and give the same [`DoorAnswer`]s in its own words.

use super::reducer::{DoorAnswer, Handed, Input, Ticket};
use crate::interface::Micros;
use crate::log;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderMap, HeaderValue, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{Semaphore, oneshot, watch};
use tokio::time::{Instant, sleep, timeout};

/// Largest body that the protocol allows.
const LARGEST_BODY: usize = 64 << 10;
/// Longest id, class or tenant that is taken.
const LONGEST_NAME: usize = 256;
/// A client that has not sent its head, or then its body, by then is let go.
const HEAD_TIME: Duration = Duration::from_secs(60);
const BODY_TIME: Duration = Duration::from_secs(5);
/// Bytes read ahead for one client.
const READ_AHEAD: usize = 32 << 10;

/// What the connections of the sender side are told together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Notice {
    /// Go on.
    Open,
    /// Connections are short: an idle one closes. The number makes each notice new.
    Crowded(u64),
    /// The forwarder ends: each closes when its request is answered.
    Ending,
}

/// The door between the sender side's connections and the reducer.
pub struct Door {
    inputs: UnboundedSender<Input>,
    waiting: RefCell<HashMap<Ticket, oneshot::Sender<DoorAnswer>>>,
    next: Cell<Ticket>,
}

impl Door {
    /// A door that hands in to the reducer behind `inputs`.
    pub fn new(inputs: UnboundedSender<Input>) -> Rc<Self> {
        Rc::new(Door { inputs, waiting: RefCell::default(), next: Cell::new(0) })
    }

    /// Answers a request that waits; one that is gone needs no answer.
    pub fn answer(&self, ticket: Ticket, answer: DoorAnswer) {
        if let Some(waiting) = self.waiting.borrow_mut().remove(&ticket) {
            let _ = waiting.send(answer);
        }
    }

    async fn hand_in(&self, message: Handed) -> DoorAnswer {
        let ticket = self.next.get();
        self.next.set(ticket + 1);
        let (sender, receiver) = oneshot::channel();
        self.waiting.borrow_mut().insert(ticket, sender);
        let _guard = Waiting { door: self, ticket };
        self.tell(Input::Handed { ticket, message });
        receiver.await.unwrap_or(DoorAnswer::Failed)
    }

    fn tell(&self, input: Input) {
        // The receiver is gone only when the forwarder ends.
        let _ = self.inputs.send(input);
    }
}

/// A request that waits. Dropped unanswered, its client has closed the connection.
struct Waiting<'a> {
    door: &'a Door,
    ticket: Ticket,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if self.door.waiting.borrow_mut().remove(&self.ticket).is_some() {
            self.door.tell(Input::Withdrawn { ticket: self.ticket });
        }
    }
}

/// Counts a connection as long as it lasts, also when its task panics.
struct Joined(Rc<Door>);

impl Joined {
    fn new(door: Rc<Door>) -> Self {
        door.tell(Input::Sender { joined: true });
        Joined(door)
    }
}

impl Drop for Joined {
    fn drop(&mut self) {
        self.0.tell(Input::Sender { joined: false });
    }
}

/// Takes connections, `most` at once, for as long as it is polled. Runs in a `LocalSet`.
pub async fn listen(listener: TcpListener, door: Rc<Door>, most: usize, notices: Rc<watch::Sender<Notice>>) {
    let room = Arc::new(Semaphore::new(most));
    for number in 0.. {
        if room.available_permits() == 0 {
            notices.send_if_modified(|notice| {
                let open = *notice != Notice::Ending;
                *notice = if open { Notice::Crowded(number) } else { *notice };
                open
            });
        }
        let Ok(permit) = room.clone().acquire_owned().await else { return };
        match listener.accept().await {
            Ok((stream, _)) => {
                let (door, notices) = (door.clone(), notices.subscribe());
                tokio::task::spawn_local(async move {
                    let _counted = (permit, Joined::new(door.clone()));
                    attend(stream, door, notices).await;
                });
            }
            Err(error) => {
                log!("sender side: a connection could not be taken: {error}");
                sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

/// Serves one client's connection to its end. What goes wrong here, a panic included, ends this one alone.
async fn attend(stream: TcpStream, door: Rc<Door>, notices: watch::Receiver<Notice>) {
    if let Err(error) = stream.set_nodelay(true) {
        log!("sender side: {error}");
        return;
    }
    let busy = Rc::new(Cell::new(false));
    let service = service_fn(|request| {
        let (door, busy, ending) = (door.clone(), busy.clone(), *notices.borrow() == Notice::Ending);
        async move {
            busy.set(true);
            let response = respond(&door, request, ending).await;
            busy.set(false);
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIME)
        // A client that has ended its sending still wants its answer.
        .half_close(true)
        .max_buf_size(READ_AHEAD)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let mut news = notices.clone();
    loop {
        tokio::select! {
            ended = &mut connection => {
                if let Err(error) = ended
                    && !error.is_incomplete_message()
                    && !error.is_timeout()
                {
                    log!("sender side: {error}");
                }
                return;
            }
            changed = news.changed() => {
                let notice = *news.borrow_and_update();
                if changed.is_err() || notice == Notice::Ending || !busy.get() {
                    connection.as_mut().graceful_shutdown();
                    if let Err(error) = connection.await {
                        log!("sender side: {error}");
                    }
                    return;
                }
            }
        }
    }
}

/// Why a request is not taken: the status and a few words.
#[derive(Debug, PartialEq)]
struct Fault(StatusCode, &'static str);

fn plain(status: StatusCode, words: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from_static(words.as_bytes())));
    *response.status_mut() = status;
    response
}

async fn respond(door: &Door, request: Request<Incoming>, ending: bool) -> Response<Full<Bytes>> {
    if request.uri().path() == "/healthz" {
        return match (request.method(), ending) {
            (&Method::GET | &Method::HEAD, false) => plain(StatusCode::OK, "ready\n"),
            (&Method::GET | &Method::HEAD, true) => plain(StatusCode::SERVICE_UNAVAILABLE, "ending\n"),
            _ => plain(StatusCode::METHOD_NOT_ALLOWED, "GET only\n"),
        };
    }
    match take(request).await {
        Ok(message) => tell(door.hand_in(message).await),
        Err(Fault(status, words)) => plain(status, words),
    }
}

/// Reads a message out of a request.
async fn take(request: Request<Incoming>) -> Result<Handed, Fault> {
    let came = Instant::now();
    if request.method() != Method::POST {
        return Err(Fault(StatusCode::METHOD_NOT_ALLOWED, "POST only\n"));
    }
    if request.body().size_hint().lower() > LARGEST_BODY as u64 {
        return Err(TOO_LARGE);
    }
    let (parts, body) = request.into_parts();
    let class = parts.uri.path().trim_start_matches('/').split('/').next().unwrap_or_default();
    let mut message = read_head(class, &parts.headers)?;
    let body = timeout(BODY_TIME, Limited::new(body, LARGEST_BODY).collect()).await;
    let body = body.map_err(|_| Fault(StatusCode::REQUEST_TIMEOUT, "the body did not come\n"))?;
    let body = body.map_err(|error| {
        let large = error.is::<LengthLimitError>();
        if large { TOO_LARGE } else { Fault(StatusCode::BAD_REQUEST, "the body could not be read\n") }
    })?;
    message.body = body.to_bytes();
    // The time to deliver it counts from when the client sent it.
    message.time_left -= came.elapsed().as_micros() as Micros;
    Ok(message)
}

const TOO_LARGE: Fault = Fault(StatusCode::PAYLOAD_TOO_LARGE, "the body is over 64 KiB\n");

fn bad(words: &'static str) -> Fault {
    Fault(StatusCode::BAD_REQUEST, words)
}

/// A message without its body yet.
fn read_head(class: &str, headers: &HeaderMap) -> Result<Handed, Fault> {
    let name = |header: &str| {
        let text = headers.get(header).and_then(|value| value.to_str().ok()).unwrap_or_default().trim();
        (!text.is_empty() && text.len() <= LONGEST_NAME).then(|| text.to_owned())
    };
    let txn = name("X-Txn").ok_or(bad("X-Txn: missing or malformed\n"))?;
    let org = name("X-Org").ok_or(bad("X-Org: missing or malformed\n"))?;
    let remaining = name("X-Remaining").ok_or(bad("X-Remaining: missing or malformed\n"))?;
    let remaining = remaining.parse().ok().filter(|seconds: &f64| seconds.is_finite() && *seconds >= 0.0);
    let remaining = remaining.ok_or(bad("X-Remaining: not seconds\n"))?;
    let consignee = name("X-Consignee").ok_or(bad("X-Consignee: missing or malformed\n"))?;
    let dest = consignee.split([',', ';', ' ']).find_map(|pair| pair.trim().strip_prefix("dest="));
    let dest =
        dest.and_then(|number| number.parse().ok()).ok_or(bad("X-Consignee: no dest=NUMBER in it\n"))?;
    Ok(Handed {
        txn,
        class: class.to_owned(),
        org,
        dest,
        // A year at most: longer than any class allows, short of any overflow.
        time_left: (remaining.min(31_536_000.0) * 1e6) as Micros,
        repeat: headers.get("X-Resent").is_some_and(|value| value == "1"),
        body: Bytes::new(),
    })
}

fn tell(answer: DoorAnswer) -> Response<Full<Bytes>> {
    let mut response = match answer {
        DoorAnswer::TakenOn => plain(StatusCode::ACCEPTED, ""),
        DoorAnswer::Deferred(_) => plain(StatusCode::SERVICE_UNAVAILABLE, "deferred\n"),
        DoorAnswer::Failed => plain(StatusCode::INTERNAL_SERVER_ERROR, "failed\n"),
        DoorAnswer::UnknownClass => plain(StatusCode::NOT_FOUND, "there is no such class\n"),
        DoorAnswer::UnknownDestination => {
            plain(StatusCode::UNPROCESSABLE_ENTITY, "there is no such destination\n")
        }
    };
    if let DoorAnswer::Deferred(pause @ 1..) = answer
        && let Ok(seconds) = HeaderValue::from_str(&format!("{:.3}", pause as f64 / 1e6))
    {
        response.headers_mut().insert(RETRY_AFTER, seconds);
    }
    response
}

#[cfg(test)]
mod tests {
    use super::*;

    fn headers(pairs: &[(&'static str, &'static str)]) -> HeaderMap {
        let good =
            [("X-Txn", "9b1f"), ("X-Org", "acme"), ("X-Remaining", "0.480"), ("X-Consignee", "dest=7")];
        let mut headers = HeaderMap::new();
        for (name, value) in good.iter().chain(pairs) {
            headers.insert(*name, HeaderValue::from_static(value));
        }
        headers
    }

    // Guards against a panic or a message half understood where a header is missing, empty or no number.
    #[test]
    fn malformed_headers_are_named() {
        let good = read_head("status", &headers(&[("X-Resent", "again")])).expect("well formed");
        assert_eq!((good.dest, good.time_left, good.repeat), (7, 480_000, false));
        assert!(read_head("status", &headers(&[("X-Resent", "1")])).expect("well formed").repeat);
        for (name, value, words) in [
            ("X-Txn", "", "X-Txn"),
            ("X-Org", " ", "X-Org"),
            ("X-Remaining", "soon", "X-Remaining"),
            ("X-Remaining", "NaN", "X-Remaining"),
            ("X-Remaining", "-1", "X-Remaining"),
            ("X-Consignee", "dest=-7", "X-Consignee"),
            ("X-Consignee", "7", "X-Consignee"),
        ] {
            let Fault(status, said) = read_head("status", &headers(&[(name, value)])).expect_err(value);
            assert!(status == StatusCode::BAD_REQUEST && said.starts_with(words), "{name}: {value}: {said}");
        }
        let mut none = headers(&[]);
        none.remove("X-Txn");
        assert!(read_head("status", &none).is_err());
        let far = read_head("status", &headers(&[("X-Remaining", "1e300")])).expect("a long time");
        assert!(far.time_left > 0);
    }

    // Guards against a refusal that does not say when to come back.
    #[test]
    fn a_deferred_client_is_told_when_to_come_back() {
        let response = tell(DoorAnswer::Deferred(1_250_000));
        assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(response.headers()[RETRY_AFTER], "1.250");
        assert!(!tell(DoorAnswer::Deferred(0)).headers().contains_key(RETRY_AFTER));
    }
}

//! The HTTP API for clients: the platform's protocol on the sender side. The core knows nothing of it; another API
//! would submit the same [`Submission`]s and map the same [`SubmitAnswer`]s to its own responses.

use crate::input::{IDEMPOTENCY_KEY, Input, RequestId, Submission, SubmitAnswer};
use crate::ownership::ReceivedMark;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HeaderMap, HeaderValue, RETRY_AFTER, TRANSFER_ENCODING};
use hyper::{Method, Request, Response, StatusCode};
use orchidyoke_core::interface::Micros;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::ops::RangeInclusive;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout};

/// Largest body that the protocol allows.
const LARGEST_BODY: usize = 64 << 10;
/// Longest id, class or tenant that is taken.
const LONGEST_NAME: usize = 256;
/// What a client can mean by the time that a message has left, in seconds: a day is beyond any class.
const LONGEST_LIFE: RangeInclusive<f64> = 0.0..=86_400.0;
/// A body that has not come by then does not come: a client itself gives up 400 ms after its request.
const BODY_TIME: Duration = Duration::from_millis(600);

/// Connects the requests of clients with the reducer.
pub struct ClientGateway {
    inputs: UnboundedSender<Input>,
    waiting: RefCell<HashMap<RequestId, oneshot::Sender<SubmitAnswer>>>,
    next: Cell<RequestId>,
}

impl ClientGateway {
    /// A gateway to the reducer behind `inputs`.
    pub fn new(inputs: UnboundedSender<Input>) -> Rc<Self> {
        Rc::new(ClientGateway { inputs, waiting: RefCell::default(), next: Cell::new(0) })
    }

    /// Answers a request that waits; one that is gone needs no answer.
    pub fn answer(&self, ticket: RequestId, answer: SubmitAnswer) {
        if let Some(waiting) = self.waiting.borrow_mut().remove(&ticket) {
            let _ = waiting.send(answer);
        }
    }

    async fn submit(&self, message: Submission) -> SubmitAnswer {
        let ticket = self.next.get();
        self.next.set(ticket + 1);
        let (sender, receiver) = oneshot::channel();
        self.waiting.borrow_mut().insert(ticket, sender);
        let _guard = Waiting { gateway: self, ticket };
        self.tell(Input::Submitted { request: ticket, message });
        receiver.await.unwrap_or(SubmitAnswer::Failed)
    }

    /// Reports to the reducer.
    pub fn tell(&self, input: Input) {
        // The receiver is gone only when the forwarder ends.
        let _ = self.inputs.send(input);
    }
}

/// A request that waits. Dropped unanswered, its client has closed the connection.
struct Waiting<'a> {
    gateway: &'a ClientGateway,
    ticket: RequestId,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if self.gateway.waiting.borrow_mut().remove(&self.ticket).is_some() {
            self.gateway.tell(Input::Withdrawn { request: self.ticket });
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

/// Answers one request. An answer with `Connection: close` is the last: its client does not keep to the protocol.
pub async fn respond(
    gateway: &ClientGateway,
    request: Request<Incoming>,
    ending: bool,
) -> Response<Full<Bytes>> {
    if request.headers().contains_key(TRANSFER_ENCODING) {
        // Beside a Content-Length it may hide another request in the body, and the library keeps only one of them.
        return refuse(Fault(StatusCode::LENGTH_REQUIRED, "Content-Length alone says where a body ends\n"));
    }
    if request.uri().path() == "/healthz" {
        return match (request.method(), ending) {
            (&Method::GET | &Method::HEAD, false) => plain(StatusCode::OK, "ready\n"),
            (&Method::GET | &Method::HEAD, true) => plain(StatusCode::SERVICE_UNAVAILABLE, "ending\n"),
            _ => plain(StatusCode::METHOD_NOT_ALLOWED, "GET only\n"),
        };
    }
    match take(request).await {
        Ok(message) => tell(gateway.submit(message).await),
        Err(fault) => refuse(fault),
    }
}

fn refuse(Fault(status, words): Fault) -> Response<Full<Bytes>> {
    let mut response = plain(status, words);
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

/// Reads a message out of a request.
async fn take(request: Request<Incoming>) -> Result<Submission, Fault> {
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
    // A slice of what was read ahead would hold all of that in memory as long as the message is held.
    message.body = Bytes::copy_from_slice(&body.to_bytes());
    // The time to deliver it counts from when the client sent it.
    message.time_left -= came.elapsed().as_micros() as Micros;
    Ok(message)
}

const TOO_LARGE: Fault = Fault(StatusCode::PAYLOAD_TOO_LARGE, "the body is over 64 KiB\n");

fn bad(words: &'static str) -> Fault {
    Fault(StatusCode::BAD_REQUEST, words)
}

/// A header that is there once, or none. Of two that differ another reader may take the other; the same once more says
/// nothing new, but only of what has no other meaning twice.
fn only<'a>(headers: &'a HeaderMap, name: &str, same_again: bool) -> Result<Option<&'a HeaderValue>, ()> {
    let mut values = headers.get_all(name).iter();
    let Some(first) = values.next() else { return Ok(None) };
    if values.all(|other| same_again && other == first) { Ok(Some(first)) } else { Err(()) }
}

/// A message without its body yet. Whether its class needs a key, and the deployment tenants, the reducer knows.
fn read_head(class: &str, headers: &HeaderMap) -> Result<Submission, Fault> {
    let name = |header: &str| {
        let only = only(headers, header, false).ok().flatten();
        let text = only.and_then(|value| value.to_str().ok()).unwrap_or_default().trim();
        (!text.is_empty() && text.len() <= LONGEST_NAME).then(|| text.to_owned())
    };
    let txn = name("X-Txn").ok_or(bad("X-Txn: missing or malformed\n"))?;
    let org = name("X-Org");
    if org.is_none() && headers.contains_key("X-Org") {
        return Err(bad("X-Org: malformed\n"));
    }
    // Passed on as it came: it is read here only as far as it has to be one key that a header can carry again.
    let key = only(headers, IDEMPOTENCY_KEY, true).map_err(|()| bad("Idempotency-Key: two that differ\n"))?;
    let key = key.map(|key| key.to_str().ok().filter(|key| !key.is_empty() && key.len() <= LONGEST_NAME));
    let key = key.map(|key| key.ok_or(bad("Idempotency-Key: malformed\n"))).transpose()?.map(str::to_owned);
    let remaining = name("X-Remaining").ok_or(bad("X-Remaining: missing or malformed\n"))?;
    let remaining = remaining.parse().ok().filter(|seconds| LONGEST_LIFE.contains(seconds));
    let remaining = remaining.ok_or(bad("X-Remaining: not seconds\n"))?;
    let consignee = name("X-Consignee").ok_or(bad("X-Consignee: missing or malformed\n"))?;
    let dest = consignee.split([',', ';', ' ']).find_map(|pair| pair.trim().strip_prefix("dest="));
    let dest = dest.filter(|number| number.bytes().all(|byte| byte.is_ascii_digit()));
    let dest =
        dest.and_then(|number| number.parse().ok()).ok_or(bad("X-Consignee: no dest=NUMBER in it\n"))?;
    Ok(Submission {
        id: txn,
        class: class.to_owned(),
        tenant: org,
        idempotency_key: key,
        destination: dest,
        time_left: (remaining * 1e6) as Micros,
        is_retry: headers.get("X-Resent").is_some_and(|value| value == "1"),
        handover_mark: ReceivedMark::from_headers(headers),
        body: Bytes::new(),
    })
}

fn tell(answer: SubmitAnswer) -> Response<Full<Bytes>> {
    let mut response = match answer {
        SubmitAnswer::Accepted => plain(StatusCode::ACCEPTED, ""),
        SubmitAnswer::Rejected(_) => plain(StatusCode::SERVICE_UNAVAILABLE, "deferred\n"),
        SubmitAnswer::Failed => plain(StatusCode::INTERNAL_SERVER_ERROR, "failed\n"),
        SubmitAnswer::Incomplete(words) => plain(StatusCode::BAD_REQUEST, words),
        SubmitAnswer::UnknownClass => plain(StatusCode::NOT_FOUND, "there is no such class\n"),
        SubmitAnswer::UnknownDestination => {
            plain(StatusCode::UNPROCESSABLE_ENTITY, "there is no such destination\n")
        }
    };
    if let SubmitAnswer::Rejected(pause @ 1..) = answer
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
        assert_eq!((good.destination, good.time_left, good.is_retry), (7, 480_000, false));
        assert!(read_head("status", &headers(&[("X-Resent", "1")])).expect("well formed").is_retry);
        for (name, value, words) in [
            ("X-Txn", "", "X-Txn"),
            ("X-Org", " ", "X-Org"),
            ("X-Remaining", "soon", "X-Remaining"),
            ("X-Remaining", "NaN", "X-Remaining"),
            ("X-Remaining", "-1", "X-Remaining"),
            ("X-Remaining", "99999999999999999999999", "X-Remaining"),
            ("X-Remaining", "inf", "X-Remaining"),
            ("X-Consignee", "dest=-7", "X-Consignee"),
            ("X-Consignee", "dest=+7", "X-Consignee"),
            ("X-Consignee", "7", "X-Consignee"),
            ("Idempotency-Key", "", "Idempotency-Key"),
        ] {
            let Fault(status, said) = read_head("status", &headers(&[(name, value)])).expect_err(value);
            assert!(status == StatusCode::BAD_REQUEST && said.starts_with(words), "{name}: {value}: {said}");
        }
        let mut none = headers(&[]);
        none.remove("X-Txn");
        assert!(read_head("status", &none).is_err());
        let mut two = headers(&[]);
        two.append("X-Txn", HeaderValue::from_static("9b1e"));
        assert!(read_head("status", &two).is_err(), "which of the two ids is it?");
    }

    // Guards against a key that is changed on its way, or chosen from two, and against a header that a deployment
    // without tenants does not have.
    #[test]
    fn a_key_is_taken_as_it_came_and_a_tenant_may_be_absent() {
        let key = |pairs: &[(&'static str, &'static str)]| {
            let mut headers = headers(&[]);
            headers.remove("X-Org");
            for (name, value) in pairs {
                headers.append(*name, HeaderValue::from_static(value));
            }
            read_head("pedidos", &headers).map(|handed| (handed.tenant, handed.idempotency_key))
        };
        assert_eq!(key(&[]), Ok((None, None)));
        let odd = "\"5c0F , 1\"";
        assert_eq!(key(&[("Idempotency-Key", odd)]), Ok((None, Some(odd.to_owned()))));
        let twice = key(&[("Idempotency-Key", "a"), ("idempotency-key", "a")]);
        assert_eq!(twice, Ok((None, Some("a".to_owned()))));
        let two = key(&[("Idempotency-Key", "a"), ("Idempotency-Key", "b")]);
        assert!(two.is_err_and(|fault| fault.1.starts_with("Idempotency-Key")));
    }

    // Guards against a refusal that does not say when to come back.
    #[test]
    fn a_deferred_client_is_told_when_to_come_back() {
        let response = tell(SubmitAnswer::Rejected(1_250_000));
        assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(response.headers()[RETRY_AFTER], "1.250");
        assert!(!tell(SubmitAnswer::Rejected(0)).headers().contains_key(RETRY_AFTER));
    }
}

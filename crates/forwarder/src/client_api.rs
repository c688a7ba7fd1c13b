//! The HTTP API for clients: reads a request into a [`Submission`] and writes the reducer's [`SubmitAnswer`] as a
//! response.
//!
//! Each client connection uses this module. Nothing else in the forwarder depends on the protocol. Another API would
//! submit the same values and map the same answers to its own responses.

mod reading_order;
mod request_body;

use crate::client_connections::{MemoryReservation, RegisteredConnection};
use crate::input::{IDEMPOTENCY_KEY, Input, RequestId, Submission, SubmitAnswer};
use crate::ownership::ReceivedMark;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HeaderMap, HeaderValue, RETRY_AFTER, TRANSFER_ENCODING};
use hyper::{Method, Request, Response, StatusCode};
use orchidyoke_core::interface::{DestinationId, Micros};
use orchidyoke_journal::IdReservations;
use reading_order::{ReadingOrder, Turn};
use request_body::{MAX_BODY_BYTES, read_body};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::ops::RangeInclusive;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout};

/// Time from a request's head after which its id is reserved among the processes, because its body is still arriving.
const RESERVE_AFTER: Duration = Duration::from_millis(1);
/// Longest id, tenant or other header value that is accepted, in bytes.
const MAX_FIELD_BYTES: usize = 256;
/// Accepted time left to deliver a message, in seconds. No class allows as much as a day.
const TIME_LEFT_SECONDS: RangeInclusive<f64> = 0.0..=86_400.0;

/// Passes client requests to the reducer and its answers back.
pub struct ClientGateway {
    inputs: UnboundedSender<Input>,
    waiting: RefCell<HashMap<RequestId, oneshot::Sender<SubmitAnswer>>>,
    next_request: Cell<RequestId>,
    reading_order: Rc<ReadingOrder>,
}

impl ClientGateway {
    /// Returns a gateway to the reducer that receives `inputs`.
    pub fn new(inputs: UnboundedSender<Input>) -> Rc<Self> {
        ClientGateway::with_reservations(inputs, None)
    }

    /// Returns a gateway as [`ClientGateway::new`] does, which reserves the ids of requests among the processes of a
    /// folder.
    pub fn with_reservations(
        inputs: UnboundedSender<Input>,
        reservations: Option<Rc<IdReservations>>,
    ) -> Rc<Self> {
        Rc::new(ClientGateway {
            inputs,
            waiting: RefCell::default(),
            next_request: Cell::new(0),
            reading_order: Rc::new(ReadingOrder::shared(reservations)),
        })
    }

    /// Answers a waiting request. Does nothing if its client has closed the connection.
    pub fn answer(&self, request: RequestId, answer: SubmitAnswer) {
        if let Some(waiting) = self.waiting.borrow_mut().remove(&request) {
            let _ = waiting.send(answer);
        }
    }

    /// Submits a message when it is its turn. The turn ends with that: from then on the reducer knows the message's id.
    /// Other processes know it once it is answered, so the reservation among them ends then. A message whose answer is
    /// overdue as its connection has to close is withdrawn and refused: the reducer has not accepted it by then, and
    /// learns of the withdrawal before its next round.
    async fn submit(
        &self,
        mut message: Submission,
        mut turn: Turn,
        connection: &RegisteredConnection,
    ) -> Result<SubmitAnswer, ClientGone> {
        let read_at = Instant::now();
        let mut answer_overdue = pin!(connection.answer_overdue());
        let is_first = tokio::select! {
            biased;
            waited = turn.wait() => waited.is_ok(),
            () = answer_overdue.as_mut() => false,
        };
        if !is_first {
            return Ok(SubmitAnswer::IdInUse);
        }
        if connection.is_reset() {
            return Err(ClientGone);
        }
        message.time_left -= read_at.elapsed().as_micros() as Micros;
        let request = self.next_request.get();
        self.next_request.set(request + 1);
        let (sender, receiver) = oneshot::channel();
        self.waiting.borrow_mut().insert(request, sender);
        let _guard = WaitingRequest { gateway: self, request };
        self.report(Input::Submitted { request, message });
        let _reservation = turn.take_reservation();
        drop(turn);
        Ok(tokio::select! {
            biased;
            answer = receiver => answer.unwrap_or(SubmitAnswer::Failed),
            () = answer_overdue => SubmitAnswer::Rejected(0),
        })
    }

    /// Sends an input to the reducer.
    pub fn report(&self, input: Input) {
        // The channel is closed only when the forwarder ends.
        let _ = self.inputs.send(input);
    }
}

/// A request that waits for its answer. A drop before the answer means that the client has closed the connection; the
/// reducer then receives [`Input::Withdrawn`].
struct WaitingRequest<'a> {
    gateway: &'a ClientGateway,
    request: RequestId,
}

impl Drop for WaitingRequest<'_> {
    fn drop(&mut self) {
        if self.gateway.waiting.borrow_mut().remove(&self.request).is_some() {
            self.gateway.report(Input::Withdrawn { request: self.request });
        }
    }
}

/// The response to a request that violates the protocol.
#[derive(Debug, PartialEq)]
struct RequestError {
    status: StatusCode,
    text: &'static str,
}

impl RequestError {
    const BODY_TOO_LARGE: RequestError =
        RequestError { status: StatusCode::PAYLOAD_TOO_LARGE, text: "the body is over 64 KiB\n" };

    const ENDING: RequestError = RequestError { status: StatusCode::SERVICE_UNAVAILABLE, text: "ending\n" };

    const INCOMPLETE_BODY: RequestError =
        RequestError { status: StatusCode::REQUEST_TIMEOUT, text: "the body did not come\n" };

    fn bad_request(text: &'static str) -> Self {
        RequestError { status: StatusCode::BAD_REQUEST, text }
    }

    /// Builds the response, which also closes the connection, because its client does not follow the protocol.
    fn into_response(self) -> Response<Full<Bytes>> {
        let mut response = plain_response(self.status, self.text);
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        response
    }
}

fn plain_response(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}

/// The reason why a request has no response: its client has reset the connection.
#[derive(Debug, Error)]
#[error("the client has reset the connection")]
pub struct ClientGone;

/// Answers one request of a connection: submits its message to the reducer, or reports the health of the process. In a
/// shutdown, `/healthz` answers that the process accepts no more clients.
///
/// # Errors
///
/// The client has reset the connection before the message was submitted, so that it is not submitted.
pub async fn respond(
    gateway: &ClientGateway,
    request: Request<Incoming>,
    connection: &RegisteredConnection,
) -> Result<Response<Full<Bytes>>, ClientGone> {
    if request.headers().contains_key(TRANSFER_ENCODING) {
        // A request with both Transfer-Encoding and Content-Length can smuggle another request in its body, and hyper
        // keeps only one of the two headers.
        let text = "Content-Length alone says where a body ends\n";
        return Ok(RequestError { status: StatusCode::LENGTH_REQUIRED, text }.into_response());
    }
    if request.uri().path() == "/healthz" {
        return Ok(health_response(request.method(), connection.connections().is_shutting_down()));
    }
    Ok(match read_request(gateway, request, connection).await {
        // The memory stays reserved until the answer. From then on an accepted message counts against the journal's space.
        Ok(ReceivedRequest { message, turn, _memory }) => {
            submit_response(gateway.submit(message, turn, connection).await?)
        }
        Err(error) => error.into_response(),
    })
}

fn health_response(method: &Method, is_shutting_down: bool) -> Response<Full<Bytes>> {
    match (method, is_shutting_down) {
        (&Method::GET | &Method::HEAD, false) => plain_response(StatusCode::OK, "ready\n"),
        (&Method::GET | &Method::HEAD, true) => plain_response(StatusCode::SERVICE_UNAVAILABLE, "ending\n"),
        _ => plain_response(StatusCode::METHOD_NOT_ALLOWED, "GET only\n"),
    }
}

/// A request that has been read whole.
struct ReceivedRequest {
    message: Submission,
    turn: Turn,
    /// The memory that holds its body; `None` if the body is small.
    _memory: Option<MemoryReservation>,
}

/// Reads a message. Its turn among the requests with the same id is taken when its head has been read.
async fn read_request(
    gateway: &ClientGateway,
    request: Request<Incoming>,
    connection: &RegisteredConnection,
) -> Result<ReceivedRequest, RequestError> {
    let received_at = Instant::now();
    if request.method() != Method::POST {
        return Err(RequestError { status: StatusCode::METHOD_NOT_ALLOWED, text: "POST only\n" });
    }
    if request.body().size_hint().lower() > MAX_BODY_BYTES as u64 {
        return Err(RequestError::BODY_TOO_LARGE);
    }
    let (mut message, body) = parse_request(request)?;
    let mut turn = gateway.reading_order.register(&message.id);
    let mut reading = pin!(read_body(body, connection));
    let received = match timeout(RESERVE_AFTER, reading.as_mut()).await {
        Ok(received) => received?,
        Err(_) => {
            turn.reserve_while_arriving();
            reading.await?
        }
    };
    message.body = received.bytes;
    // The time left counts from the start of the request, not from the end of its body.
    message.time_left -= received_at.elapsed().as_micros() as Micros;
    Ok(ReceivedRequest { message, turn, _memory: received.memory })
}

/// Parses the head of a message. The head is dropped, because its fields would keep the read buffer in memory for as long
/// as the body is arriving.
fn parse_request(request: Request<Incoming>) -> Result<(Submission, Incoming), RequestError> {
    let (parts, body) = request.into_parts();
    let class = parts.uri.path().trim_start_matches('/').split('/').next().unwrap_or_default();
    Ok((parse_head(class, &parts.headers)?, body))
}

/// Reads the headers of a message and leaves its body empty. The reducer checks whether the class needs an
/// idempotency key and whether the deployment needs a tenant.
fn parse_head(class: &str, headers: &HeaderMap) -> Result<Submission, RequestError> {
    let id = text_field(headers, "X-Txn");
    let id = id.ok_or(RequestError::bad_request("X-Txn: missing or malformed\n"))?;
    let tenant = text_field(headers, "X-Org");
    if tenant.is_none() && headers.contains_key("X-Org") {
        return Err(RequestError::bad_request("X-Org: malformed\n"));
    }
    let idempotency_key = parse_idempotency_key(headers)?;
    let time_left = parse_time_left(headers)?;
    let destination = parse_destination(headers)?;
    Ok(Submission {
        id,
        class: class.to_owned(),
        tenant,
        idempotency_key,
        destination,
        time_left,
        is_retry: headers.get("X-Resent").is_some_and(|value| value == "1"),
        handover_mark: ReceivedMark::from_headers(headers),
        body: Bytes::new(),
    })
}

/// Returns the idempotency key as received; endpoints get it unchanged.
fn parse_idempotency_key(headers: &HeaderMap) -> Result<Option<String>, RequestError> {
    let key = single_value(headers, IDEMPOTENCY_KEY, Repetition::AllowedIfEqual);
    let key = key.map_err(|_| RequestError::bad_request("Idempotency-Key: two that differ\n"))?;
    let Some(key) = key else { return Ok(None) };
    let text = key.to_str().ok().filter(|text| !text.is_empty() && text.len() <= MAX_FIELD_BYTES);
    let text = text.ok_or(RequestError::bad_request("Idempotency-Key: malformed\n"))?;
    Ok(Some(text.to_owned()))
}

fn parse_time_left(headers: &HeaderMap) -> Result<Micros, RequestError> {
    let text = text_field(headers, "X-Remaining");
    let text = text.ok_or(RequestError::bad_request("X-Remaining: missing or malformed\n"))?;
    let seconds = text.parse().ok().filter(|seconds| TIME_LEFT_SECONDS.contains(seconds));
    let seconds: f64 = seconds.ok_or(RequestError::bad_request("X-Remaining: not seconds\n"))?;
    Ok((seconds * 1e6) as Micros)
}

/// Returns the number after `dest=` in the pairs of `X-Consignee`.
fn parse_destination(headers: &HeaderMap) -> Result<DestinationId, RequestError> {
    let consignee = text_field(headers, "X-Consignee");
    let consignee = consignee.ok_or(RequestError::bad_request("X-Consignee: missing or malformed\n"))?;
    let number = consignee.split([',', ';', ' ']).find_map(|pair| pair.trim().strip_prefix("dest="));
    let number = number.filter(|number| number.bytes().all(|byte| byte.is_ascii_digit()));
    let number = number.and_then(|number| number.parse().ok());
    number.ok_or(RequestError::bad_request("X-Consignee: no dest=NUMBER in it\n"))
}

/// Returns a header's text without surrounding blanks. Returns `None` if the header is absent, empty, too long, not
/// text or present twice.
fn text_field(headers: &HeaderMap, name: &str) -> Option<String> {
    let value = single_value(headers, name, Repetition::Forbidden).ok().flatten()?;
    let text = value.to_str().unwrap_or_default().trim();
    (!text.is_empty() && text.len() <= MAX_FIELD_BYTES).then(|| text.to_owned())
}

/// Whether a header may occur more than once.
#[derive(Clone, Copy, PartialEq)]
enum Repetition {
    Forbidden,
    /// Accepts repeated headers whose values are equal.
    AllowedIfEqual,
}

/// The error for a header that occurs more than once, so that another reader could use a different one of its values.
struct AmbiguousHeader;

fn single_value<'a>(
    headers: &'a HeaderMap,
    name: &str,
    repetition: Repetition,
) -> Result<Option<&'a HeaderValue>, AmbiguousHeader> {
    let mut values = headers.get_all(name).iter();
    let Some(first) = values.next() else { return Ok(None) };
    let is_unambiguous = values.all(|other| repetition == Repetition::AllowedIfEqual && other == first);
    if is_unambiguous { Ok(Some(first)) } else { Err(AmbiguousHeader) }
}

fn submit_response(answer: SubmitAnswer) -> Response<Full<Bytes>> {
    match answer {
        SubmitAnswer::Accepted => plain_response(StatusCode::ACCEPTED, ""),
        SubmitAnswer::Rejected(retry_after) => rejected_response(retry_after),
        SubmitAnswer::IdInUse => plain_response(StatusCode::SERVICE_UNAVAILABLE, "the id is in use\n"),
        SubmitAnswer::Failed => plain_response(StatusCode::INTERNAL_SERVER_ERROR, "failed\n"),
        SubmitAnswer::Incomplete(text) => plain_response(StatusCode::BAD_REQUEST, text),
        SubmitAnswer::UnknownClass => plain_response(StatusCode::NOT_FOUND, "there is no such class\n"),
        SubmitAnswer::UnknownDestination => {
            plain_response(StatusCode::UNPROCESSABLE_ENTITY, "there is no such destination\n")
        }
    }
}

/// Builds a rejection, with `Retry-After` in decimal seconds unless `retry_after` is 0.
fn rejected_response(retry_after: Micros) -> Response<Full<Bytes>> {
    let mut response = plain_response(StatusCode::SERVICE_UNAVAILABLE, "deferred\n");
    if retry_after >= 1
        && let Ok(seconds) = HeaderValue::from_str(&format!("{:.3}", retry_after as f64 / 1e6))
    {
        response.headers_mut().insert(RETRY_AFTER, seconds);
    }
    response
}

#[cfg(test)]
mod tests;

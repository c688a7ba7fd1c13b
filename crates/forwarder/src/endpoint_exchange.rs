//! One call to an endpoint as an HTTP exchange: builds the request and reads the response.

use crate::endpoint_call::{Cause, EndpointCall, EndpointReply};
use crate::input::IDEMPOTENCY_KEY;
use crate::retry_after::{come_back_ms, header_text};
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::header::{CONTENT_TYPE, HOST, HeaderMap};
use hyper::http::response::Parts;
use hyper::{Request, http};
use std::net::SocketAddr;

/// Longest body of a response, in bytes. The results of twenty messages take about a hundredth of it.
const MAX_RESPONSE_BYTES: usize = 256 << 10;

/// Sends a call with this body and reads the response.
pub(crate) async fn exchange(
    sender: &mut SendRequest<Full<Bytes>>,
    address: SocketAddr,
    call: &EndpointCall,
    body: Bytes,
) -> Result<EndpointReply, Cause> {
    let request = request(address, call, body);
    let request = request.map_err(|error| Cause::ConnectionFailed(error.to_string()))?;
    let response = sender.send_request(request).await.map_err(|error| {
        let reason = error.to_string();
        if error.is_parse() { Cause::InvalidResponse(reason) } else { Cause::ConnectionFailed(reason) }
    })?;
    let (head, body) = response.into_parts();
    let body = read_body(body).await.map_err(Cause::InvalidResponse)?;
    let reply = reply(&head, call.is_bulk, body);
    if reply.status < 200 || !reply.is_readable() {
        return Err(Cause::InvalidResponse("the response cannot be read".to_owned()));
    }
    if reply.names_other_messages(call) {
        return Err(Cause::MismatchedResponse);
    }
    Ok(reply)
}

fn request(
    address: SocketAddr,
    call: &EndpointCall,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, http::Error> {
    let mut request = Request::post(call.path())
        .header(HOST, address.to_string())
        .header("X-Remaining", format!("{:.3}", call.time_left.max(0) as f64 / 1e6));
    match &call.messages[..] {
        [message] if !call.is_bulk => {
            request = request.header("X-Txn", &message.id);
            if let Some(key) = &message.idempotency_key {
                request = request.header(IDEMPOTENCY_KEY, key);
            }
        }
        _ => request = request.header(CONTENT_TYPE, "application/json"),
    }
    request.body(Full::new(body))
}

async fn read_body(mut body: Incoming) -> Result<Bytes, String> {
    let mut all = BytesMut::new();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame.map_err(|error| error.to_string())?.into_data() {
            if all.len() + data.len() > MAX_RESPONSE_BYTES {
                return Err(format!("the response is longer than {MAX_RESPONSE_BYTES} bytes"));
            }
            all.extend_from_slice(&data);
        }
    }
    Ok(all.freeze())
}

fn reply(head: &Parts, is_bulk: bool, body: Bytes) -> EndpointReply {
    EndpointReply {
        status: head.status.as_u16(),
        retry_after_ms: come_back_ms(&head.headers),
        line_busy: header_text(&head.headers, "X-Line-Busy") == Some("1"),
        reported_limit: pressure_value(&head.headers, "x1"),
        reported_remaining: pressure_value(&head.headers, "x0"),
        is_bulk,
        body,
    }
}

/// Returns a number from the pairs in `X-Pressure`. A number that is negative or not finite counts as absent.
fn pressure_value(headers: &HeaderMap, field: &str) -> Option<f64> {
    let pairs = header_text(headers, "X-Pressure")?.split(',').filter_map(|pair| pair.split_once('='));
    pairs.filter(|(name, _)| name.trim() == field).find_map(|(_, value)| non_negative_number(value))
}

fn non_negative_number(text: &str) -> Option<f64> {
    text.trim().parse().ok().filter(|number: &f64| number.is_finite() && *number >= 0.0)
}

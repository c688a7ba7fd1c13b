//! Reads calls from the forwarder and renders responses, without an HTTP library, so that every byte is known.

use serde_json::{Value, json};
use tokio::io::AsyncReadExt;
use tokio::net::tcp::OwnedReadHalf;

/// The beginning of each response.
pub(super) const STATUS_LINE_START: &str = "HTTP/1.1 ";
const HEAD_END: &[u8] = b"\r\n\r\n";

/// A request with one message or several.
pub(super) struct Request {
    pub(super) is_bulk: bool,
    pub(super) message_ids: Vec<String>,
}

/// The state of a message in a bulk response.
#[derive(Clone, Copy, Debug)]
pub(super) enum BulkState {
    Accepted,
    Deferred,
    Fault,
}

impl BulkState {
    pub(super) fn execution(self) -> super::Execution {
        match self {
            BulkState::Accepted => super::Execution::Executed,
            BulkState::Deferred => super::Execution::NotExecuted,
            BulkState::Fault => super::Execution::Unknown,
        }
    }

    fn name(self) -> &'static str {
        match self {
            BulkState::Accepted => "accepted",
            BulkState::Deferred => "deferred",
            BulkState::Fault => "fault",
        }
    }
}

/// A response as bytes.
pub(super) struct Response {
    pub(super) status: u16,
    pub(super) bytes: Vec<u8>,
}

impl Response {
    /// Returns a response without a body.
    pub(super) fn with_status(status: u16) -> Self {
        Response::new(status, "", "")
    }

    /// Returns a rejection that asks for a delay before the next call.
    pub(super) fn retry_after(milliseconds: u64) -> Self {
        Response::new(429, &format!("X-Come-Back-Ms: {milliseconds}\r\n"), "")
    }

    /// Returns the response to a bulk call, with the state of each message.
    pub(super) fn bulk(ids: &[String], states: &[BulkState]) -> Self {
        let results = ids.iter().zip(states).map(|(id, state)| json!({"id": id, "state": state.name()}));
        Response::new(200, "", &Value::from_iter(results).to_string())
    }

    fn new(status: u16, headers: &str, body: &str) -> Self {
        let length = body.len();
        let text =
            format!("{STATUS_LINE_START}{status} Status\r\n{headers}Content-Length: {length}\r\n\r\n{body}");
        Response { status, bytes: text.into_bytes() }
    }
}

/// Reads the next request. `buffer` holds the bytes that were read and not used yet. Returns `None` when the connection
/// has ended.
pub(super) async fn read_request(reader: &mut OwnedReadHalf, buffer: &mut Vec<u8>) -> Option<Request> {
    let head_length = loop {
        if let Some(end) = buffer.windows(HEAD_END.len()).position(|window| window == HEAD_END) {
            break end + HEAD_END.len();
        }
        read_more(reader, buffer).await?;
    };
    let head = String::from_utf8_lossy(&buffer[..head_length]).into_owned();
    let body_length: usize = header(&head, "content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    while buffer.len() < head_length + body_length {
        read_more(reader, buffer).await?;
    }
    let body: Vec<u8> = buffer.drain(..head_length + body_length).skip(head_length).collect();
    let is_bulk = head.starts_with("POST /inbox/bulk ");
    let message_ids =
        if is_bulk { bulk_ids(&body) } else { vec![header(&head, "x-txn").unwrap_or_default().to_owned()] };
    Some(Request { is_bulk, message_ids })
}

/// Waits until the peer closes the connection or its sending side. Keeps the bytes that arrive before.
pub(super) async fn wait_for_close(reader: &mut OwnedReadHalf, buffer: &mut Vec<u8>) {
    while read_more(reader, buffer).await.is_some() {}
}

async fn read_more(reader: &mut OwnedReadHalf, buffer: &mut Vec<u8>) -> Option<()> {
    let count = reader.read_buf(buffer).await.ok()?;
    (count > 0).then_some(())
}

fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let lines = head.lines().filter_map(|line| line.split_once(':'));
    lines.filter(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.trim()).next()
}

fn bulk_ids(body: &[u8]) -> Vec<String> {
    let items: Vec<Value> = serde_json::from_slice(body).unwrap_or_default();
    items.iter().filter_map(|item| Some(item["id"].as_str()?.to_owned())).collect()
}

//! One client: sends requests on one connection, in one or two parts, until the forwarder closes the connection.

use fastrand::Rng;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// Longest wait for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// Shortest and longest pause between the two parts of a request, in milliseconds.
const PART_PAUSE_MS: std::ops::Range<u64> = 5..340;
/// Longest pause between two requests, in milliseconds.
const MAX_REQUEST_PAUSE_MS: u64 = 120;
/// Largest body.
const MAX_BODY_BYTES: usize = 64 << 10;
/// Time for which the messages may be delivered, in seconds.
pub(super) const MESSAGE_LIFETIME_S: u64 = 6;

/// How a request ended, as its client saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// It was answered with this status.
    Status(u16),
    /// The connection was closed before its last part was written.
    ClosedBeforeLastPart,
    /// The connection was closed after its last part was written, with no answer.
    ClosedWithoutAnswer,
    /// Nothing came within the time-out.
    Silent,
}

/// One request.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// The id of its message.
    pub message_id: String,
    /// Whether its message may be sent only once.
    pub is_order: bool,
    /// Whether it was sent in two parts.
    pub is_cut: bool,
    /// When the write of its last byte had returned; `None` if it was not written.
    pub complete_at: Option<Instant>,
    /// How it ended.
    pub end: RequestEnd,
    /// When its client saw that.
    pub ended_at: Instant,
}

/// When a client begins its last request, and when the last byte of that is written.
#[derive(Clone, Copy, Debug)]
pub(super) struct LastRequest {
    pub begins_at: Instant,
    pub completes_at: Instant,
}

/// Which requests a client sends.
#[derive(Clone, Copy, Debug)]
pub(super) enum ClientPlan {
    /// One request after another, and a last one in two parts at these times.
    UntilLastRequest(LastRequest),
    /// One request after another until this time. Then the client closes its connection.
    Until(Instant),
    /// Only one request, on a connection that is made at its beginning.
    Only(LastRequest),
}

/// The parameters of a client.
#[derive(Clone, Debug)]
pub(super) struct Client {
    pub name: String,
    pub seed: u64,
    pub address: SocketAddr,
    pub plan: ClientPlan,
    /// Whether its bodies may have up to 64 KiB.
    pub has_large_bodies: bool,
    /// Whether it connects again when the forwarder has closed its connection.
    pub reconnects: bool,
}

impl Client {
    /// Sends requests until the plan is over, or the forwarder cannot be reached. Returns what became of each.
    pub fn run(self) -> Vec<RequestRecord> {
        let mut records = Vec::new();
        let mut random = Rng::with_seed(self.seed);
        if let ClientPlan::Only(request) = self.plan {
            sleep_until(request.begins_at);
        }
        let Some(mut stream) = self.connect() else { return records };
        for number in 0.. {
            let now = Instant::now();
            let last_request = match self.plan {
                ClientPlan::Only(request) => Some(request),
                ClientPlan::UntilLastRequest(request) => {
                    (now + Duration::from_millis(PART_PAUSE_MS.end) > request.begins_at).then_some(request)
                }
                ClientPlan::Until(end) if now >= end => return records,
                ClientPlan::Until(_) => None,
            };
            let record = self.send(&mut stream, &mut random, number, last_request);
            let is_answered = matches!(record.end, RequestEnd::Status(_));
            records.push(record);
            let is_over = last_request.is_some_and(|request| Instant::now() > request.completes_at);
            if is_over || (!is_answered && !self.reconnects) {
                return records;
            }
            if last_request.is_none() {
                thread::sleep(Duration::from_millis(random.u64(..MAX_REQUEST_PAUSE_MS)));
            }
            if self.reconnects && !is_quiet(&stream) {
                let Some(next) = self.connect() else { return records };
                stream = next;
            }
        }
        records
    }

    fn connect(&self) -> Option<TcpStream> {
        let stream = TcpStream::connect(self.address).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(ANSWER_TIMEOUT)).ok()?;
        Some(stream)
    }

    fn send(
        &self,
        stream: &mut TcpStream,
        random: &mut Rng,
        number: usize,
        last_request: Option<LastRequest>,
    ) -> RequestRecord {
        let is_order = random.bool();
        let message_id = format!("{}-{number}", self.name);
        let text = self.request(random, &message_id, is_order);
        let cut_at = random.usize(1..text.len());
        let is_cut = last_request.is_some() || random.bool();
        let (first, rest) = text.split_at(if is_cut { cut_at } else { 0 });
        if let Some(LastRequest { begins_at, .. }) = last_request {
            sleep_until(begins_at);
        }
        let mut written = stream.write_all(first);
        if let Some(LastRequest { completes_at, .. }) = last_request {
            sleep_until(completes_at);
        } else if is_cut {
            thread::sleep(Duration::from_millis(random.u64(PART_PAUSE_MS)));
        }
        let mut complete_at = None;
        // An answer that is there already ends the request before its last part.
        if written.is_ok() && is_quiet(stream) {
            written = stream.write_all(rest);
            complete_at = written.is_ok().then(Instant::now);
        }
        let end = match read_status(stream) {
            StatusRead::Status(status) => RequestEnd::Status(status),
            StatusRead::Silent => RequestEnd::Silent,
            StatusRead::Closed if complete_at.is_some() => RequestEnd::ClosedWithoutAnswer,
            StatusRead::Closed => RequestEnd::ClosedBeforeLastPart,
        };
        RequestRecord { message_id, is_order, is_cut, complete_at, end, ended_at: Instant::now() }
    }

    fn request(&self, random: &mut Rng, message_id: &str, is_order: bool) -> Vec<u8> {
        let class = if is_order { "orders" } else { "status" };
        let bytes =
            if self.has_large_bodies { random.usize(1..=MAX_BODY_BYTES) } else { random.usize(1..300) };
        let head = format!(
            "POST /{class} HTTP/1.1\r\nHost: x\r\nX-Txn: {message_id}\r\nX-Org: acme\r\n\
             X-Remaining: {MESSAGE_LIFETIME_S}.0\r\nX-Consignee: dest=2\r\nContent-Length: {bytes}\r\n\r\n"
        );
        [head.into_bytes(), vec![b'x'; bytes]].concat()
    }
}

fn sleep_until(instant: Instant) {
    thread::sleep(instant.saturating_duration_since(Instant::now()));
}

/// Returns whether the connection is open and nothing has come on it.
fn is_quiet(stream: &TcpStream) -> bool {
    let peeked = stream.set_nonblocking(true).and_then(|()| stream.peek(&mut [0]));
    let is_quiet = peeked.is_err_and(|error| error.kind() == ErrorKind::WouldBlock);
    stream.set_nonblocking(false).is_ok() && is_quiet
}

enum StatusRead {
    Status(u16),
    Closed,
    Silent,
}

/// Reads one answer with its body.
fn read_status(stream: &mut TcpStream) -> StatusRead {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => head.push(byte[0]),
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                return StatusRead::Silent;
            }
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Ok(_) | Err(_) => return StatusRead::Closed,
        }
    }
    let text = String::from_utf8_lossy(&head).to_lowercase();
    let length = text.lines().find_map(|line| line.strip_prefix("content-length: ")?.parse().ok());
    if stream.read_exact(&mut vec![0; length.unwrap_or(0)]).is_err() {
        return StatusRead::Closed;
    }
    text.split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok())
        .map_or(StatusRead::Closed, StatusRead::Status)
}

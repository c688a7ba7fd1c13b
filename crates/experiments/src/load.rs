//! Open-loop client load. Every message has a planned send time that does not depend on the answers to earlier
//! messages, and its latency is measured from that time. A slow forwarder therefore does not slow its clients down.

use crate::error::ExperimentError;
use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand_distr::{Distribution, Exp};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::error::Error;
use std::net::SocketAddr;
use std::rc::Rc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::task::{JoinSet, LocalSet, spawn_local};
use tokio::time::{sleep_until, timeout};

/// Time after which a client gives up waiting for an answer.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(400);
const MAX_LATENCY_US: u64 = 60_000_000;
/// Significant digits of recorded latencies.
const LATENCY_DIGITS: u8 = 3;

/// A message to send.
#[derive(Clone, Debug)]
pub struct PlannedMessage {
    /// Send time, counted from the start of the load.
    pub send_at: Duration,
    /// Class of the message.
    pub class: &'static str,
    /// Id of the message, sent in `X-Txn`.
    pub message_id: String,
    /// Number of the destination, sent in `X-Consignee`.
    pub destination: u64,
}

/// Returns the messages of a Poisson process with `rate` messages per second over `length`. The classes take turns.
pub fn poisson_plan(
    seed: u64,
    rate: f64,
    length: Duration,
    classes: &[&'static str],
    destination: u64,
) -> Vec<PlannedMessage> {
    let mut rng = StdRng::seed_from_u64(seed);
    let gaps_s = Exp::new(rate).expect("a rate above 0");
    let mut send_at = Duration::ZERO;
    let mut messages = Vec::new();
    loop {
        send_at += Duration::from_secs_f64(gaps_s.sample(&mut rng));
        if send_at >= length {
            return messages;
        }
        let number = messages.len();
        let class = classes[number % classes.len()];
        messages.push(PlannedMessage { send_at, class, message_id: format!("{seed}-{number}"), destination });
    }
}

/// The forwarder's answers to a load.
#[derive(Debug)]
pub struct LoadResult {
    /// Ids of messages answered 200 or 202.
    pub accepted: BTreeSet<String>,
    /// Number of messages answered 429 or 503.
    pub rejected: usize,
    /// Number of messages with another answer, or without an answer in time.
    pub failed: usize,
    /// Time from the planned send time of a message to its answer or time-out, in microseconds.
    pub latency: Histogram<u64>,
}

impl LoadResult {
    fn new() -> Self {
        let latency = Histogram::new_with_max(MAX_LATENCY_US, LATENCY_DIGITS).expect("bounds");
        LoadResult { accepted: BTreeSet::new(), rejected: 0, failed: 0, latency }
    }

    /// Returns the number of all messages, regardless of the answer.
    pub fn submitted(&self) -> usize {
        self.accepted.len() + self.rejected + self.failed
    }

    fn record(&mut self, answered: Answered) {
        match answered.status {
            200 | 202 => drop(self.accepted.insert(answered.message_id)),
            429 | 503 => self.rejected += 1,
            _ => self.failed += 1,
        }
        self.latency.saturating_record(answered.latency.as_micros() as u64);
    }
}

/// A message that was answered or timed out.
struct Answered {
    message_id: String,
    /// Status code, or 0 if there was no answer.
    status: u16,
    latency: Duration,
}

/// Open connections that no message uses.
type IdleConnections = Rc<RefCell<Vec<SendRequest<Full<Bytes>>>>>;

async fn connect(address: SocketAddr) -> Result<SendRequest<Full<Bytes>>, Box<dyn Error>> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    spawn_local(async { drop(connection.await) });
    Ok(sender)
}

fn take_usable(idle: &IdleConnections) -> Option<SendRequest<Full<Bytes>>> {
    loop {
        let sender = idle.borrow_mut().pop()?;
        if !sender.is_closed() && sender.is_ready() {
            return Some(sender);
        }
    }
}

/// Sends a message on an idle connection or a new one, and returns the status code.
async fn submit(
    address: SocketAddr,
    idle: IdleConnections,
    message: &PlannedMessage,
) -> Result<u16, Box<dyn Error>> {
    let mut sender = match take_usable(&idle) {
        Some(sender) => sender,
        None => connect(address).await?,
    };
    let request = Request::post(format!("/{}", message.class))
        .header("Host", "forwarder")
        .header("X-Txn", &message.message_id)
        .header("X-Org", "acme")
        .header("Idempotency-Key", format!("key of {}", message.message_id))
        .header("X-Remaining", "12.0")
        .header("X-Consignee", format!("dest={}", message.destination))
        .body(Full::new(Bytes::from(format!("body of {}", message.message_id))))?;
    let answer = sender.send_request(request).await?;
    let status = answer.status().as_u16();
    answer.into_body().collect().await?;
    idle.borrow_mut().push(sender);
    Ok(status)
}

async fn submit_when_due(
    address: SocketAddr,
    idle: IdleConnections,
    start: Instant,
    message: PlannedMessage,
) -> Answered {
    let due = start + message.send_at;
    sleep_until(due.into()).await;
    let status = timeout(CLIENT_TIMEOUT, submit(address, idle, &message)).await;
    let status = status.ok().and_then(Result::ok).unwrap_or(0);
    Answered { message_id: message.message_id, status, latency: due.elapsed() }
}

async fn submit_all(address: SocketAddr, start: Instant, messages: Vec<PlannedMessage>) -> LoadResult {
    let idle = IdleConnections::default();
    let mut submissions = JoinSet::new();
    for message in messages {
        submissions.spawn_local(submit_when_due(address, idle.clone(), start, message));
    }
    let mut result = LoadResult::new();
    while let Some(Ok(answered)) = submissions.join_next().await {
        result.record(answered);
    }
    result
}

/// Clients that send messages on a separate thread.
pub struct Load(JoinHandle<LoadResult>);

impl Load {
    /// Starts a thread that sends all messages to a forwarder. Their send times count from `start`.
    pub fn start(forwarder: SocketAddr, start: Instant, messages: Vec<PlannedMessage>) -> Self {
        Load(thread::spawn(move || {
            let runtime =
                tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
            runtime.block_on(LocalSet::new().run_until(submit_all(forwarder, start, messages)))
        }))
    }

    /// Waits until every message is answered or timed out.
    pub fn join(self) -> Result<LoadResult, ExperimentError> {
        self.0.join().map_err(|_| ExperimentError::ThreadPanicked("the client load"))
    }
}

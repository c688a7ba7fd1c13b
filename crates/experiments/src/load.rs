//! Open-loop client load: every message has its time, whatever became of those before it, and its latency counts from
//! then, so that a slow forwarder does not slow its clients down.

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

/// A client gives up after this time without an answer.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(400);
const MAX_LATENCY_US: u64 = 60_000_000;
/// Digits to which latencies are recorded.
const LATENCY_DIGITS: u8 = 3;

/// A message to be submitted.
#[derive(Clone, Debug)]
pub struct PlannedMessage {
    /// When, from the start of the load.
    pub send_at: Duration,
    /// Its class.
    pub class: &'static str,
    /// Its id.
    pub message_id: String,
    /// Its destination.
    pub destination: u64,
}

/// Messages of a Poisson process of `rate` a second over `length`, of the classes in turn.
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

/// What the forwarder answered.
#[derive(Debug)]
pub struct LoadResult {
    /// Ids of messages answered 200 or 202.
    pub accepted: BTreeSet<String>,
    /// Messages answered 429 or 503.
    pub rejected: usize,
    /// Messages with another answer, or none in time.
    pub failed: usize,
    /// From a message's time to its answer, in microseconds.
    pub latency: Histogram<u64>,
}

impl LoadResult {
    fn new() -> Self {
        let latency = Histogram::new_with_max(MAX_LATENCY_US, LATENCY_DIGITS).expect("bounds");
        LoadResult { accepted: BTreeSet::new(), rejected: 0, failed: 0, latency }
    }

    /// All messages, whatever the answer.
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

/// A message after its answer or its time-out.
struct Answered {
    message_id: String,
    /// 0 where there was no answer.
    status: u16,
    latency: Duration,
}

/// Connections that no message uses at the moment.
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

/// Submits a message on an idle connection or a new one, and gives the status.
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

async fn submit_at_its_time(
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
        submissions.spawn_local(submit_at_its_time(address, idle.clone(), start, message));
    }
    let mut result = LoadResult::new();
    while let Some(Ok(answered)) = submissions.join_next().await {
        result.record(answered);
    }
    result
}

/// Clients that submit messages on a thread of their own.
pub struct Load(JoinHandle<LoadResult>);

impl Load {
    /// Submits all messages to a forwarder, their times counted from `start`.
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

//! Open-loop load: each message has the moment at which it is meant to be sent, whatever became of those before it,
//! and its latency counts from then.

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

/// A client gives up after this time.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(400);
/// The latencies told apart, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;

/// A message that is to be handed in.
#[derive(Clone, Debug)]
pub struct PlannedMessage {
    pub send_at: Duration,
    pub class: &'static str,
    pub message_id: String,
    pub destination: u64,
}

/// Messages as a Poisson process; classes by turns.
pub fn poisson_plan(
    seed: u64,
    rate: f64,
    span: Duration,
    classes: &[&'static str],
    destination: u64,
) -> Vec<PlannedMessage> {
    let mut rng = StdRng::seed_from_u64(seed);
    let gaps = Exp::new(rate).expect("a rate above 0");
    let (mut at, mut all) = (Duration::ZERO, Vec::new());
    loop {
        at += Duration::from_secs_f64(gaps.sample(&mut rng));
        if at >= span {
            return all;
        }
        let class = classes[all.len() % classes.len()];
        all.push(PlannedMessage {
            send_at: at,
            class,
            message_id: format!("{seed}-{}", all.len()),
            destination,
        });
    }
}

/// What became of the messages at the door.
#[derive(Debug)]
pub struct LoadResult {
    /// Taken on, with 202 or 200.
    pub accepted: BTreeSet<String>,
    /// Deferred or refused.
    pub rejected: usize,
    /// With no answer in time, or another one.
    pub failed: usize,
    /// From the intended moment to the answer.
    pub latency: Histogram<u64>,
}

type Idle = Rc<RefCell<Vec<SendRequest<Full<Bytes>>>>>;

async fn connect(address: SocketAddr) -> Result<SendRequest<Full<Bytes>>, Box<dyn Error>> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    spawn_local(async { drop(connection.await) });
    Ok(sender)
}

async fn submit(address: SocketAddr, idle: Idle, message: &PlannedMessage) -> Result<u16, Box<dyn Error>> {
    let kept = loop {
        match idle.borrow_mut().pop() {
            Some(sender) if sender.is_closed() || !sender.is_ready() => {}
            other => break other,
        }
    };
    let mut sender = match kept {
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

/// Hands in all of them on a thread of its own.
pub fn start(address: SocketAddr, start: Instant, messages: Vec<PlannedMessage>) -> JoinHandle<LoadResult> {
    thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        runtime.block_on(LocalSet::new().run_until(async move {
            let (idle, mut out) = (Idle::default(), JoinSet::new());
            for message in messages {
                let idle = idle.clone();
                out.spawn_local(async move {
                    let due = start + message.send_at;
                    sleep_until(due.into()).await;
                    let status = timeout(CLIENT_TIMEOUT, submit(address, idle, &message)).await;
                    (message.message_id, status.ok().and_then(Result::ok).unwrap_or(0), due.elapsed())
                });
            }
            let latency = Histogram::new_with_max(MAX_LATENCY_US, 3).expect("bounds");
            let mut handed = LoadResult { accepted: BTreeSet::new(), rejected: 0, failed: 0, latency };
            while let Some(Ok((txn, status, took))) = out.join_next().await {
                match status {
                    200 | 202 => drop(handed.accepted.insert(txn)),
                    429 | 503 => handed.rejected += 1,
                    _ => handed.failed += 1,
                }
                handed.latency.saturating_record(took.as_micros() as u64);
            }
            handed
        }))
    })
}

//! One client of a crowd. It connects, sends what its behavior says, waits for its answer or close, and connects again.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// Time from connecting within which every client is owed an error or a close.
const END_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause between two connections of a client.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);
/// Length that the head of an incomplete request announces, the longest that is allowed.
const ANNOUNCED_BYTES: usize = 64 << 10;
/// Bytes of the body that an incomplete request sends.
const HALF_BODY_BYTES: usize = 32 << 10;
/// Bytes of a whole body.
const WHOLE_BODY_BYTES: usize = 65_000;
/// Bytes of a head that does not end.
const ENDLESS_HEAD_BYTES: usize = 31_000;
/// Bytes of each field of that head.
const LONG_FIELD_BYTES: usize = 500;
/// Fields of a head with more fields than any request needs.
const MANY_FIELDS: usize = 6_000;
/// Short fields of a head that is still accepted.
const SHORT_FIELDS: usize = 90;
/// Pause between two bytes of a client that writes slowly.
const TRICKLE_INTERVAL: Duration = Duration::from_millis(20);
/// Requests that a pipelining client sends at once.
const PIPELINE_BATCH: usize = 50;

/// What a client of the crowd sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrowdBehavior {
    /// Nothing.
    Silent,
    /// A request of 64 KiB that stops half way through its body.
    HalfBody,
    /// The same, with 90 short fields in its head.
    HalfBodyShortFields,
    /// The same, followed by the rest at one byte in 20 ms.
    TrickledBody,
    /// A head of 31 KB that never ends.
    EndlessHead,
    /// A whole head of 6,000 fields.
    ManyFields,
    /// Sound requests with bodies of 65,000 bytes, one at a time.
    WholeBodies,
    /// Small sound requests, sent without waiting for their answers.
    PipelinedSound,
    /// Small requests for a class that does not exist, sent without waiting for their answers.
    PipelinedUnsound,
}

/// The end of one connection.
enum ConnectionEnd {
    Answered,
    Closed,
    /// Neither an answer nor a close came within [`END_TIMEOUT`].
    Open,
}

/// What the clients of a crowd have in common.
#[derive(Debug)]
pub(super) struct CrowdState {
    pub(super) address: Arc<Mutex<SocketAddr>>,
    pub(super) is_over: Arc<AtomicBool>,
    /// Connections that had neither an answer nor a close in time.
    pub(super) left_open: AtomicUsize,
    /// Connections that were made.
    pub(super) connections: AtomicUsize,
    /// Ids of sound messages that were answered 202.
    pub(super) accepted: Mutex<Vec<String>>,
}

impl CrowdState {
    fn is_over(&self) -> bool {
        self.is_over.load(Ordering::Relaxed)
    }
}

/// Runs one client until the crowd is over. `name` is unique among all clients.
pub(super) async fn run(state: Arc<CrowdState>, behavior: CrowdBehavior, name: String) {
    for number in 0.. {
        if state.is_over() {
            return;
        }
        let address = *state.address.lock().unwrap_or_else(PoisonError::into_inner);
        let connected = timeout(END_TIMEOUT, TcpStream::connect(address)).await;
        if let Ok(Ok(stream)) = connected {
            state.connections.fetch_add(1, Ordering::Relaxed);
            drop(stream.set_nodelay(true));
            let end = serve_connection(&state, stream, behavior, &format!("{name}-{number}")).await;
            if matches!(end, ConnectionEnd::Open) && !state.is_over() {
                state.left_open.fetch_add(1, Ordering::Relaxed);
            }
        }
        sleep(RECONNECT_DELAY).await;
    }
}

async fn serve_connection(
    state: &CrowdState,
    stream: TcpStream,
    behavior: CrowdBehavior,
    name: &str,
) -> ConnectionEnd {
    match behavior {
        CrowdBehavior::WholeBodies => send_whole_bodies(state, stream, name).await,
        CrowdBehavior::PipelinedSound => pipeline(state, stream, name, "status").await,
        CrowdBehavior::PipelinedUnsound => pipeline(state, stream, name, "no-such-class").await,
        _ => send_incomplete(stream, behavior, name).await,
    }
}

/// Sends what the behavior says, and waits for the end.
async fn send_incomplete(mut stream: TcpStream, behavior: CrowdBehavior, name: &str) -> ConnectionEnd {
    let deadline = Instant::now() + END_TIMEOUT;
    let text = incomplete_request(behavior, name);
    let (mut receiver, mut sender) = stream.split();
    let writing = async {
        if sender.write_all(&text).await.is_err() {
            return;
        }
        while behavior == CrowdBehavior::TrickledBody && sender.write_all(b"x").await.is_ok() {
            sleep(TRICKLE_INTERVAL).await;
        }
        std::future::pending::<()>().await;
    };
    let mut chunk = [0; 512];
    let reading = async {
        match receiver.read(&mut chunk).await {
            Ok(0) | Err(_) => ConnectionEnd::Closed,
            Ok(_) => ConnectionEnd::Answered,
        }
    };
    let end = async {
        tokio::select! {
            end = reading => end,
            () = writing => ConnectionEnd::Closed,
        }
    };
    timeout_at(deadline, end).await.unwrap_or(ConnectionEnd::Open)
}

fn incomplete_request(behavior: CrowdBehavior, name: &str) -> Vec<u8> {
    let fields = |count: usize| (0..count).map(|number| format!("f{number}: 1\r\n")).collect::<String>();
    let half_body = |fields: &str| {
        let mut text = head("status", name, fields, ANNOUNCED_BYTES);
        text.resize(text.len() + HALF_BODY_BYTES, b'x');
        text
    };
    match behavior {
        CrowdBehavior::HalfBody | CrowdBehavior::TrickledBody => half_body(""),
        CrowdBehavior::HalfBodyShortFields => half_body(&fields(SHORT_FIELDS)),
        CrowdBehavior::EndlessHead => {
            let mut text = b"POST /status HTTP/1.1\r\nHost: x\r\n".to_vec();
            while text.len() < ENDLESS_HEAD_BYTES {
                text.extend_from_slice(format!("Filler: {}\r\n", "x".repeat(LONG_FIELD_BYTES)).as_bytes());
            }
            text
        }
        CrowdBehavior::ManyFields => head("status", name, &"a:\r\n".repeat(MANY_FIELDS), 0),
        _ => Vec::new(),
    }
}

/// Returns the head of a request for destination 1.
fn head(class: &str, id: &str, fields: &str, content_length: usize) -> Vec<u8> {
    format!(
        "POST /{class} HTTP/1.1\r\nHost: x\r\nX-Txn: {id}\r\nX-Org: acme\r\nX-Remaining: 4.0\r\n\
         X-Consignee: dest=1\r\n{fields}Content-Length: {content_length}\r\n\r\n"
    )
    .into_bytes()
}

async fn send_whole_bodies(state: &CrowdState, mut stream: TcpStream, name: &str) -> ConnectionEnd {
    for number in 0.. {
        if state.is_over() {
            break;
        }
        let id = format!("{name}-{number}");
        let mut text = head("status", &id, "", WHOLE_BODY_BYTES);
        text.resize(text.len() + WHOLE_BODY_BYTES, b'x');
        let exchange = async {
            stream.write_all(&text).await.ok()?;
            read_status(&mut stream).await
        };
        match timeout(END_TIMEOUT, exchange).await {
            Ok(Some(202)) => state.accepted.lock().unwrap_or_else(PoisonError::into_inner).push(id),
            Ok(Some(_)) => {}
            Ok(None) => return ConnectionEnd::Closed,
            Err(_) => return ConnectionEnd::Open,
        }
    }
    ConnectionEnd::Answered
}

/// Reads the next answer and returns its status; `None` if the connection ends before it.
pub(super) async fn read_status(stream: &mut (impl tokio::io::AsyncRead + Unpin)) -> Option<u16> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let text = String::from_utf8_lossy(&head).to_lowercase();
    let length = text.lines().find_map(|line| line.strip_prefix("content-length: ")?.parse().ok());
    stream.read_exact(&mut vec![0; length.unwrap_or(0)]).await.ok()?;
    text.split(' ').nth(1)?.parse().ok()
}

/// Sends requests at full speed on one connection, and reads the answers beside that.
async fn pipeline(state: &CrowdState, stream: TcpStream, name: &str, class: &str) -> ConnectionEnd {
    let (receiver, mut sender) = stream.into_split();
    let writing = async {
        for batch in 0.. {
            let requests = (0..PIPELINE_BATCH)
                .flat_map(|number| head(class, &format!("{name}-{batch}-{number}"), "", 0));
            let text: Vec<u8> = requests.collect();
            if state.is_over() || sender.write_all(&text).await.is_err() {
                return;
            }
        }
    };
    let reading = async {
        let mut receiver = tokio::io::BufReader::new(receiver);
        for number in 0.. {
            match read_status(&mut receiver).await {
                Some(202) => {
                    let id = format!("{name}-{}-{}", number / PIPELINE_BATCH, number % PIPELINE_BATCH);
                    state.accepted.lock().unwrap_or_else(PoisonError::into_inner).push(id);
                }
                Some(_) => {}
                None => return,
            }
        }
    };
    tokio::select! {
        () = writing => {}
        () = reading => {}
    }
    ConnectionEnd::Answered
}

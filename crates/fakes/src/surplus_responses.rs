//! Fake endpoints that send more bytes than they owe: copies of their responses, pieces of them, or other surplus
//! bytes, at once or some time after the response. HTTP/1.1 matches responses to requests only by their order on a
//! connection (RFC 9112, section 9.2), so a client can take such bytes for the response to its next request.

mod audit;
mod http;
mod scenario;

pub use audit::{ViolatedRule, Violation};
pub use scenario::{Restart, Scenario, ScenarioReport};

use crate::runtime::{ServerRuntime, accept, unused_loopback_address};
use http::{Request, read_request};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::time::sleep;

/// Shortest time that an endpoint takes for a call.
const MIN_SERVICE_TIME: Duration = Duration::from_millis(20);
/// Longest time that an endpoint takes for a call.
const MAX_SERVICE_TIME: Duration = Duration::from_millis(160);
/// The wait of a response with status 429, in milliseconds.
const RETRY_AFTER_MS: u64 = 150;

/// Which responses the endpoints give.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ResponseMix {
    /// Seven in ten deliver, the others reject (503, or 429 with a wait) or fail (500).
    #[default]
    Mixed,
    /// All deliver.
    Delivered,
}

/// What is sent in addition to a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SurplusForm {
    /// The whole response once more.
    Copy,
    /// The first bytes of the response, which end within its head.
    CutCopy,
    /// An interim response (RFC 9110, section 15.2).
    InterimResponse,
    /// Bytes beyond the length that the response states.
    BodyBytes,
}

/// A fault in which some responses are followed by surplus bytes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SurplusFault {
    /// What is sent.
    pub form: SurplusForm,
    /// The time after the response. At zero, the bytes are in the same write.
    pub delay: Duration,
    /// The share of the responses that are followed by surplus bytes, from 0 to 1.
    pub share: f64,
    /// The only status whose responses are affected; `None` for all.
    pub only_status: Option<u16>,
}

/// Whether an endpoint has executed a message of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Execution {
    /// The message was executed.
    Executed,
    /// The message was not executed, and the caller was told so.
    NotExecuted,
    /// The caller cannot know whether the message was executed.
    Unknown,
}

/// A message in a call that an endpoint has received.
#[derive(Clone, Debug)]
pub struct ReceivedMessage {
    /// The message's id.
    pub id: String,
    /// What the response says about the message. [`Execution::Unknown`] until the response is written.
    pub execution: Execution,
}

/// A call that an endpoint has received.
#[derive(Clone, Debug)]
pub struct ReceivedCall {
    /// When its last byte was received.
    pub received_at: Instant,
    /// When its response was written or its connection ended; `None` before that.
    pub ended_at: Option<Instant>,
    /// The status of its response; `None` if none was written.
    pub status: Option<u16>,
    /// Its messages.
    pub messages: Vec<ReceivedMessage>,
}

/// What the endpoints have seen and sent.
#[derive(Clone, Debug, Default)]
pub struct EndpointRecords {
    /// All calls so far, in the order in which they were received.
    pub calls: Vec<ReceivedCall>,
    /// Number of connections accepted.
    pub connections: usize,
    /// Number of open connections.
    pub open_connections: usize,
    /// Highest number of connections that were open at once.
    pub max_open_connections: usize,
    /// Number of responses that were followed by surplus bytes.
    pub surpluses: usize,
}

impl EndpointRecords {
    /// Returns when the response was written that delivered a message; `None` if none was.
    fn delivered_at(&self, id: &str) -> Option<Instant> {
        let delivers =
            |message: &ReceivedMessage| message.id == id && message.execution == Execution::Executed;
        self.calls.iter().find(|call| call.messages.iter().any(delivers))?.ended_at
    }
}

#[derive(Debug)]
struct State {
    random: fastrand::Rng,
    responses: ResponseMix,
    fault: Option<SurplusFault>,
    records: EndpointRecords,
}

impl State {
    /// Draws a response to a request, and what is said about each of its messages.
    fn draw_response(&mut self, request: &Request) -> (http::Response, Vec<Execution>) {
        let draw = if self.responses == ResponseMix::Delivered { 0.0 } else { self.random.f64() };
        let count = request.message_ids.len();
        if draw < 0.70 && request.is_bulk {
            let states: Vec<_> = (0..count).map(|_| self.draw_bulk_state()).collect();
            let executions = states.iter().map(|state| state.execution()).collect();
            return (http::Response::bulk(&request.message_ids, &states), executions);
        }
        let (response, execution) = match draw {
            draw if draw < 0.70 => (http::Response::with_status(200), Execution::Executed),
            draw if draw < 0.90 => (http::Response::with_status(503), Execution::NotExecuted),
            draw if draw < 0.95 => (http::Response::retry_after(RETRY_AFTER_MS), Execution::NotExecuted),
            _ => (http::Response::with_status(500), Execution::Unknown),
        };
        (response, vec![execution; count])
    }

    fn draw_bulk_state(&mut self) -> http::BulkState {
        if self.responses == ResponseMix::Delivered {
            return http::BulkState::Accepted;
        }
        match self.random.f64() {
            draw if draw < 0.80 => http::BulkState::Accepted,
            draw if draw < 0.95 => http::BulkState::Deferred,
            _ => http::BulkState::Fault,
        }
    }

    fn draw_service_time(&mut self) -> Duration {
        let span = MAX_SERVICE_TIME - MIN_SERVICE_TIME;
        MIN_SERVICE_TIME + span.mul_f64(self.random.f64())
    }

    /// Draws whether a response with this status is followed by surplus bytes.
    fn draw_fault(&mut self, status: u16) -> Option<SurplusFault> {
        let fault = self.fault.filter(|fault| fault.only_status.is_none_or(|only| only == status))?;
        let is_affected = self.random.f64() < fault.share;
        self.records.surpluses += usize::from(is_affected);
        is_affected.then_some(fault)
    }
}

/// Endpoints with a common fault. They stop when the last handle is dropped.
#[derive(Clone, Debug)]
pub struct SurplusEndpoints {
    state: Arc<Mutex<State>>,
    runtime: Arc<ServerRuntime>,
}

impl SurplusEndpoints {
    /// Starts without endpoints and without a fault. The seed determines the draws of responses and faults.
    pub fn start(seed: u64, responses: ResponseMix) -> Self {
        let random = fastrand::Rng::with_seed(seed);
        let state = State { random, responses, fault: None, records: EndpointRecords::default() };
        SurplusEndpoints { state: Arc::new(Mutex::new(state)), runtime: Arc::new(ServerRuntime::new()) }
    }

    /// Opens one more endpoint and returns its address.
    pub fn open_endpoint(&self) -> SocketAddr {
        let listener = self.runtime.listen(unused_loopback_address());
        let address = listener.local_addr().expect("a socket");
        let state = self.state.clone();
        self.runtime.spawn(async move {
            loop {
                let stream = accept(&listener).await;
                tokio::spawn(serve_connection(state.clone(), stream));
            }
        });
        address
    }

    /// Sets the fault of all endpoints from now on.
    pub fn set_fault(&self, fault: Option<SurplusFault>) {
        lock(&self.state).fault = fault;
    }

    /// Returns what the endpoints have seen and sent so far.
    pub fn records(&self) -> EndpointRecords {
        lock(&self.state).records.clone()
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn serve_connection(state: Arc<Mutex<State>>, stream: TcpStream) {
    {
        let records = &mut lock(&state).records;
        records.connections += 1;
        records.open_connections += 1;
        records.max_open_connections = records.max_open_connections.max(records.open_connections);
    }
    let (mut reader, writer) = stream.into_split();
    let writer = Arc::new(tokio::sync::Mutex::new(writer));
    let mut buffer = Vec::new();
    while let Some(request) = read_request(&mut reader, &mut buffer).await {
        let call = receive(&state, &request);
        let service_time = lock(&state).draw_service_time();
        let is_open = tokio::select! {
            () = sleep(service_time) => true,
            () = http::wait_for_close(&mut reader, &mut buffer) => false,
        };
        if !is_open || !respond(&state, &request, call, &writer).await {
            lock(&state).records.calls[call].ended_at = Some(Instant::now());
            break;
        }
    }
    lock(&state).records.open_connections -= 1;
}

/// Records a call, and returns its index among all calls.
fn receive(state: &Mutex<State>, request: &Request) -> usize {
    let message = |id: &String| ReceivedMessage { id: id.clone(), execution: Execution::Unknown };
    let calls = &mut lock(state).records.calls;
    calls.push(ReceivedCall {
        received_at: Instant::now(),
        ended_at: None,
        status: None,
        messages: request.message_ids.iter().map(message).collect(),
    });
    calls.len() - 1
}

/// Writes the response to a call, and the surplus bytes that follow it. Returns whether the response was written.
async fn respond(
    state: &Mutex<State>,
    request: &Request,
    call: usize,
    writer: &Arc<tokio::sync::Mutex<OwnedWriteHalf>>,
) -> bool {
    let (response, executions) = lock(state).draw_response(request);
    let fault = lock(state).draw_fault(response.status);
    let mut bytes = response.bytes.clone();
    if let Some(fault) = fault.filter(|fault| fault.delay.is_zero()) {
        bytes.extend(surplus_bytes(fault.form, &response.bytes));
    }
    // Recorded before the write, because the caller may act on the response before this task runs again.
    {
        let recorded = &mut lock(state).records.calls[call];
        recorded.ended_at = Some(Instant::now());
        recorded.status = Some(response.status);
        for (message, execution) in recorded.messages.iter_mut().zip(executions) {
            message.execution = execution;
        }
    }
    if writer.lock().await.write_all(&bytes).await.is_err() {
        return false;
    }
    if let Some(fault) = fault.filter(|fault| !fault.delay.is_zero()) {
        tokio::spawn(send_later(writer.clone(), fault, response.bytes));
    }
    true
}

async fn send_later(writer: Arc<tokio::sync::Mutex<OwnedWriteHalf>>, fault: SurplusFault, response: Vec<u8>) {
    sleep(fault.delay).await;
    // The caller may have closed the connection.
    drop(writer.lock().await.write_all(&surplus_bytes(fault.form, &response)).await);
}

fn surplus_bytes(form: SurplusForm, response: &[u8]) -> Vec<u8> {
    match form {
        SurplusForm::Copy => response.to_vec(),
        SurplusForm::CutCopy => response[..http::STATUS_LINE_START.len() + 2].to_vec(),
        SurplusForm::InterimResponse => b"HTTP/1.1 100 Continue\r\n\r\n".to_vec(),
        SurplusForm::BodyBytes => b"surplus".to_vec(),
    }
}

//! Runs one real forwarder under client load against endpoints that send surplus bytes, with restarts if asked for.

use super::audit::{AcceptedMessage, Violation, audit};
use super::{ResponseMix, SurplusEndpoints, SurplusFault};
use crate::forwarder::{ForwarderConfig, ForwarderProcess, endpoint_entry};
use crate::{DiscoveryServer, TemporaryFolder};
use serde_json::Value;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

const ENDPOINTS: u64 = 8;
/// Time that each message has, in seconds.
const MESSAGE_LIFETIME_S: u64 = 4;
/// Time after the last deadline in which a notification may still arrive.
const NOTIFICATION_MARGIN: Duration = Duration::from_millis(1_500);
/// Time from SIGTERM to SIGKILL.
const TERMINATION_GRACE: Duration = Duration::from_millis(3_700);
/// Time from SIGKILL to the next start.
const RESTART_DELAY: Duration = Duration::from_millis(600);
/// Time for which a client waits for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);
/// Pause of a client that cannot connect.
const RECONNECT_DELAY: Duration = Duration::from_millis(20);

/// How the forwarder is restarted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Restart {
    /// SIGTERM, and SIGKILL at the end of the grace period.
    Terminate,
    /// SIGKILL.
    Kill,
}

/// The parameters of a run.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Seed of all random choices of clients and endpoints.
    pub seed: u64,
    /// Which responses the endpoints give.
    pub responses: ResponseMix,
    /// The fault of the endpoints; `None` for none.
    pub fault: Option<SurplusFault>,
    /// Time from the start of the load to the fault.
    pub fault_after: Duration,
    /// Time for which the clients send.
    pub load_time: Duration,
    /// Number of clients. Each has one connection and one request at a time.
    pub clients: u64,
    /// Pause of a client after each answer.
    pub client_pause: Duration,
    /// Restarts, spread evenly over the load.
    pub restarts: Vec<Restart>,
}

/// The result of a run.
#[derive(Clone, Debug)]
pub struct ScenarioReport {
    /// Messages that the forwarder accepted.
    pub accepted: usize,
    /// Messages that were delivered.
    pub delivered: usize,
    /// Requests that were written whole and whose connection ended without an answer.
    pub unanswered: usize,
    /// Calls that the endpoints received.
    pub calls: usize,
    /// Connections that the endpoints accepted.
    pub connections: usize,
    /// Highest number of connections that were open at once.
    pub max_open_connections: usize,
    /// Responses that were followed by surplus bytes.
    pub surpluses: usize,
    /// Mean time from acceptance to the response that delivers a message, in milliseconds.
    pub mean_delivery_ms: f64,
    /// All violations of the rules on duplicates and lost messages.
    pub violations: Vec<Violation>,
}

/// The outcome of one request of a client.
enum RequestEnd {
    Answered(u16),
    /// The request was written and the connection ended or stayed silent.
    Unanswered,
    /// The forwarder closed the connection before the request was written.
    NotWritten,
}

#[derive(Debug, Default)]
struct ClientReport {
    accepted: Vec<(AcceptedMessage, Instant)>,
    unanswered: usize,
}

impl Scenario {
    /// Returns a run of ten seconds with about a hundred messages a second, without restarts.
    pub fn new(seed: u64, fault: Option<SurplusFault>) -> Self {
        Scenario {
            seed,
            responses: ResponseMix::Mixed,
            fault,
            fault_after: Duration::ZERO,
            load_time: Duration::from_secs(10),
            clients: 8,
            client_pause: Duration::from_millis(72),
            restarts: Vec::new(),
        }
    }

    /// Runs the forwarder `program`. `name` must be unique within this process.
    pub fn run(&self, program: &Path, name: &str) -> ScenarioReport {
        let endpoints = SurplusEndpoints::start(self.seed, self.responses);
        let discovery = DiscoveryServer::start("");
        let folder = folder_with_config(name, &endpoints, &discovery);
        let mut forwarder = ForwarderProcess::start(program, &folder, &[]);
        let address = Arc::new(Mutex::new(forwarder.address));
        let is_over = Arc::new(AtomicBool::new(false));
        let clients: Vec<_> = (0..self.clients)
            .map(|client| {
                let (scenario, address, is_over) = (self.clone(), address.clone(), is_over.clone());
                thread::spawn(move || scenario.submit_until(client, &address, &is_over))
            })
            .collect();
        let until = Instant::now() + self.load_time;
        thread::sleep(self.fault_after);
        endpoints.set_fault(self.fault);
        for (number, restart) in self.restarts.iter().enumerate() {
            let interval = self.load_time / (self.restarts.len() as u32 + 1);
            sleep_until(until - self.load_time + interval * (number as u32 + 1));
            forwarder = restart_forwarder(forwarder, *restart, program, &folder, &address);
        }
        sleep_until(until);
        is_over.store(true, Ordering::Relaxed);
        let reports: Vec<_> =
            clients.into_iter().map(|client| client.join().expect("a client ends")).collect();
        thread::sleep(Duration::from_secs(MESSAGE_LIFETIME_S) + NOTIFICATION_MARGIN);
        let report = summarize(&reports, &endpoints, &discovery);
        forwarder.kill();
        report
    }

    fn submit_until(&self, client: u64, address: &Mutex<SocketAddr>, is_over: &AtomicBool) -> ClientReport {
        let mut random = fastrand::Rng::with_seed(self.seed << 8 | client);
        let mut report = ClientReport::default();
        let mut connection = None;
        for number in 0.. {
            if is_over.load(Ordering::Relaxed) {
                break;
            }
            let id = format!("c{client}-{number}");
            let is_repeatable = random.bool();
            let class = if is_repeatable { "status" } else { "orders" };
            let request = request(class, &id, random.u64(1..=ENDPOINTS));
            match send(&mut connection, address, &request) {
                RequestEnd::Answered(202) => {
                    report.accepted.push((AcceptedMessage { id, is_repeatable }, Instant::now()));
                }
                RequestEnd::Answered(_) => {}
                RequestEnd::Unanswered => {
                    connection = None;
                    report.unanswered += 1;
                }
                RequestEnd::NotWritten => {
                    connection = None;
                    thread::sleep(RECONNECT_DELAY);
                }
            }
            thread::sleep(self.client_pause);
        }
        report
    }
}

fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

fn folder_with_config(
    name: &str,
    endpoints: &SurplusEndpoints,
    discovery: &DiscoveryServer,
) -> TemporaryFolder {
    let mut config = ForwarderConfig::new(discovery.address());
    let entry = |number: u64| {
        let mut entry = endpoint_entry(&format!("s-{number}"), endpoints.open_endpoint(), number);
        // Every second destination takes bulk calls.
        entry["model"] = Value::from(if number.is_multiple_of(2) { "many" } else { "one" });
        entry
    };
    config.endpoints = (1..=ENDPOINTS).map(entry).collect();
    let folder = TemporaryFolder::new(name);
    folder.write("config.json", &config.text());
    folder
}

fn restart_forwarder(
    forwarder: ForwarderProcess,
    restart: Restart,
    program: &Path,
    folder: &TemporaryFolder,
    address: &Mutex<SocketAddr>,
) -> ForwarderProcess {
    if restart == Restart::Terminate {
        forwarder.signal("TERM");
        thread::sleep(TERMINATION_GRACE);
    }
    forwarder.kill();
    thread::sleep(RESTART_DELAY);
    let forwarder = ForwarderProcess::start(program, folder, &[]);
    *address.lock().unwrap_or_else(PoisonError::into_inner) = forwarder.address;
    forwarder
}

fn request(class: &str, id: &str, destination: u64) -> String {
    format!(
        "POST /{class} HTTP/1.1\r\nHost: x\r\nX-Txn: {id}\r\nX-Org: acme\r\nX-Remaining: {MESSAGE_LIFETIME_S}.0\r\n\
         X-Consignee: dest={destination}\r\nContent-Length: 4\r\n\r\nbody"
    )
}

/// Sends a request on the client's connection, which is opened if there is none.
fn send(connection: &mut Option<TcpStream>, address: &Mutex<SocketAddr>, request: &str) -> RequestEnd {
    let address = *address.lock().unwrap_or_else(PoisonError::into_inner);
    let stream = match connection.take().map_or_else(|| connect(address), Ok) {
        Ok(stream) => connection.insert(stream),
        Err(_) => return RequestEnd::NotWritten,
    };
    if stream.write_all(request.as_bytes()).is_err() {
        return RequestEnd::NotWritten;
    }
    match read_status(stream) {
        Some(status) => RequestEnd::Answered(status),
        None => RequestEnd::Unanswered,
    }
}

fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, ANSWER_TIMEOUT)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
    Ok(stream)
}

/// Reads the head of an answer, which has no body, and returns its status. Returns `None` if there is no whole answer.
fn read_status(stream: &mut TcpStream) -> Option<u16> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).ok()?;
        head.push(byte[0]);
    }
    let text = String::from_utf8_lossy(&head).to_lowercase();
    let length = text.lines().find_map(|line| line.strip_prefix("content-length: ")?.parse().ok());
    stream.read_exact(&mut vec![0; length.unwrap_or(0)]).ok()?;
    text.split(' ').nth(1)?.parse().ok()
}

fn summarize(
    reports: &[ClientReport],
    endpoints: &SurplusEndpoints,
    discovery: &DiscoveryServer,
) -> ScenarioReport {
    let records = endpoints.records();
    let accepted: Vec<_> = reports.iter().flat_map(|report| report.accepted.clone()).collect();
    let messages: Vec<_> = accepted.iter().map(|(message, _)| message.clone()).collect();
    let (delivered, violations) = audit(&messages, &records, &discovery.notifications());
    let delivery_times: Vec<_> =
        accepted.iter().filter_map(|(message, at)| Some(records.delivered_at(&message.id)? - *at)).collect();
    let total: Duration = delivery_times.iter().sum();
    ScenarioReport {
        accepted: messages.len(),
        delivered,
        unanswered: reports.iter().map(|report| report.unanswered).sum(),
        calls: records.calls.len(),
        connections: records.connections,
        max_open_connections: records.max_open_connections,
        surpluses: records.surpluses,
        mean_delivery_ms: total.as_secs_f64() * 1e3 / delivery_times.len().max(1) as f64,
        violations,
    }
}

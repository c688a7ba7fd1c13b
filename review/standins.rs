//! Stand-ins for the review's cases: the platform's agent (discovery and notices), endpoints and clients, all on loopback
//! addresses, and the forwarder as a separate process started with the deploy file's command. Standard library only.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn dup2(from: i32, to: i32) -> i32;
    fn prctl(option: i32, argument: u64) -> i32;
}

/// Option of `prctl`: the signal that a process gets when the one that started it has ended in any way.
const PR_SET_PDEATHSIG: i32 = 1;

pub fn signal(pid: i32, signal: i32) {
    unsafe { kill(pid, signal) };
}

pub fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Waits until an instant, precisely: sleeps first and then yields.
pub fn sleep_until(at: Instant) {
    loop {
        let now = Instant::now();
        if now >= at {
            return;
        }
        let left = at - now;
        if left > ms(2) { thread::sleep(left - ms(1)) } else { thread::yield_now() }
    }
}

pub fn with_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Ends the run with the exit code 2: the case could not run.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("cannot run: {why}");
    end(2)
}

/// Processes to kill at the end of the run, however it ends.
static CHILDREN: Mutex<Vec<i32>> = Mutex::new(Vec::new());
/// The folder to remove at the end of the run.
static FOLDER: Mutex<Option<PathBuf>> = Mutex::new(None);

pub fn end(code: i32) -> ! {
    for pid in CHILDREN.lock().unwrap().drain(..) {
        unsafe { kill(pid, SIGKILL) };
    }
    if let Some(folder) = FOLDER.lock().unwrap().take() {
        let _ = fs::remove_dir_all(folder);
    }
    std::process::exit(code)
}

/// Ends the run with the exit code 2 if it takes too long, or if a thread of the test itself panics.
pub fn guard(limit: Duration) {
    std::panic::set_hook(Box::new(|info| {
        eprintln!("the test itself failed: {info}");
        end(2)
    }));
    thread::spawn(move || {
        thread::sleep(limit);
        cannot_run("the run took too long")
    });
}

/// The record of a run: what was sent, answered and run, with the time since its start.
pub struct Log {
    file: Mutex<File>,
    start: Instant,
}

impl Log {
    pub fn create(path: &Path) -> Arc<Log> {
        let file = File::create(path).unwrap_or_else(|error| cannot_run(&format!("record.txt: {error}")));
        Arc::new(Log { file: Mutex::new(file), start: Instant::now() })
    }

    pub fn line(&self, text: impl AsRef<str>) {
        self.line_at(Instant::now(), text);
    }

    pub fn line_at(&self, at: Instant, text: impl AsRef<str>) {
        let at = at.saturating_duration_since(self.start).as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:9.4} {}", text.as_ref());
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}

/// A folder of the run, removed at its end.
pub fn temporary_folder() -> PathBuf {
    let folder = std::env::temp_dir().join(format!("orchidyoke-review-{}", std::process::id()));
    fs::create_dir_all(&folder).unwrap_or_else(|error| cannot_run(&error.to_string()));
    *FOLDER.lock().unwrap() = Some(folder.clone());
    folder
}

/// An unused port at a loopback address. It is not 127.0.0.1, so that no outgoing connection takes the port meanwhile.
pub fn free_address(host: &str) -> SocketAddr {
    let listener = TcpListener::bind(format!("{host}:0")).unwrap_or_else(|error| cannot_run(&error.to_string()));
    listener.local_addr().unwrap()
}

// ---------------------------------------------------------------------------------------------------------------------
// HTTP

pub struct Request {
    pub line: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
    /// When its first and its last byte were read.
    pub first_byte_at: Instant,
    pub last_byte_at: Instant,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// Reads one message with a head and a body of `Content-Length` bytes. `rest` holds bytes that were read ahead.
pub fn read_message(stream: &mut TcpStream, rest: &mut Vec<u8>) -> io::Result<Option<Request>> {
    let mut first_byte_at = (!rest.is_empty()).then(Instant::now);
    let mut chunk = [0; 16 << 10];
    loop {
        if let Some(end) = rest.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&rest[..end]).into_owned();
            let mut lines = head.split("\r\n");
            let line = lines.next().unwrap_or_default().to_owned();
            let headers: BTreeMap<String, String> = lines
                .filter_map(|line| line.split_once(':'))
                .map(|(name, value)| (name.trim().to_lowercase(), value.trim().to_owned()))
                .collect();
            let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
            if rest.len() >= end + 4 + length {
                let body = rest[end + 4..end + 4 + length].to_vec();
                rest.drain(..end + 4 + length);
                let now = Instant::now();
                return Ok(Some(Request {
                    line,
                    headers,
                    body,
                    first_byte_at: first_byte_at.unwrap_or(now),
                    last_byte_at: now,
                }));
            }
        }
        let count = stream.read(&mut chunk)?;
        if count == 0 {
            return if rest.is_empty() { Ok(None) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
        }
        first_byte_at.get_or_insert_with(Instant::now);
        rest.extend_from_slice(&chunk[..count]);
    }
}

/// The answer to a client's request: the status, or how the connection ended without one.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Status(u16),
    /// The connection was ended or reset with no answer.
    Ended(String),
    /// No answer within the time that a client waits.
    None,
}

/// Reads the answer to a request.
pub fn read_answer(stream: &mut TcpStream, limit: Duration) -> Answer {
    let _ = stream.set_read_timeout(Some(limit));
    match read_message(stream, &mut Vec::new()) {
        Ok(Some(answer)) => {
            let status = answer.line.split(' ').nth(1).and_then(|status| status.parse().ok());
            status.map_or(Answer::Ended(format!("not an answer: {}", answer.line)), Answer::Status)
        }
        Ok(None) => Answer::Ended("closed".to_owned()),
        Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => Answer::None,
        Err(error) => Answer::Ended(error.to_string()),
    }
}

/// A message as a client hands it in.
#[derive(Clone, Debug)]
pub struct Message {
    pub id: String,
    pub class: &'static str,
    /// `None` at a site without tenants.
    pub tenant: Option<&'static str>,
    pub key: Option<String>,
    pub destination: u64,
    pub remaining: f64,
    pub body: String,
}

impl Message {
    pub fn request(&self) -> Vec<u8> {
        let Message { id, class, destination, remaining, body, .. } = self;
        let key = self.key.as_ref().map_or(String::new(), |key| format!("Idempotency-Key: {key}\r\n"));
        let tenant = self.tenant.map_or(String::new(), |tenant| format!("X-Org: {tenant}\r\n"));
        format!(
            "POST /{class} HTTP/1.1\r\nHost: forwarder\r\nX-Txn: {id}\r\nX-Remaining: {remaining:.3}\r\n\
             {tenant}{key}Content-Length: {}\r\nX-Consignee: dest={destination}\r\n\r\n{body}",
            body.len()
        )
        .into_bytes()
    }
}

pub fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Hands a message in on a connection of its own, as a client does, and returns the answer.
pub fn hand_in(address: SocketAddr, message: &Message) -> Answer {
    let sent = connect(address).and_then(|mut stream| stream.write_all(&message.request()).map(|()| stream));
    match sent {
        Ok(mut stream) => read_answer(&mut stream, ms(400)),
        Err(error) => Answer::Ended(error.to_string()),
    }
}

/// A fresh message id of 16 hex digits.
pub fn new_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let mut number = NEXT.fetch_add(1, Ordering::Relaxed).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    number ^= u64::from(std::process::id()) << 20;
    format!("{:016x}", number ^ (number >> 29))
}

// ---------------------------------------------------------------------------------------------------------------------
// Endpoints

/// A call as an endpoint received it, whole.
pub struct Call {
    pub request: Request,
    /// Number of the connection that it came on.
    pub connection: u64,
}

impl Call {
    pub fn id(&self) -> &str {
        self.request.header("x-txn")
    }

    pub fn body(&self) -> String {
        String::from_utf8_lossy(&self.request.body).into_owned()
    }
}

/// What an endpoint does with a call.
pub enum Reply {
    /// Answers with this status and further headers, after a time.
    Status(u16, String, Duration),
    /// Says nothing, and leaves the connection open until the forwarder ends it.
    Hang,
    /// Ends the connection without an answer, after a time.
    Close(Duration),
    /// Whatever the function does on the connection. It returns whether the connection goes on.
    Run(Box<dyn FnOnce(&mut TcpStream) -> bool>),
}

pub fn ok() -> Reply {
    Reply::Status(200, String::new(), Duration::ZERO)
}

pub struct Endpoint {
    pub address: SocketAddr,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    running: Arc<AtomicBool>,
}

impl Endpoint {
    /// Starts an endpoint at a free port of `host`. `on_connection` is called for each connection as it comes up, and
    /// `on_call` for each call as its last byte has come.
    pub fn start(
        host: &str,
        on_connection: impl Fn(u64) + Send + Sync + 'static,
        on_call: impl Fn(&Call) -> Reply + Send + Sync + 'static,
    ) -> Endpoint {
        let listener = TcpListener::bind(format!("{host}:0")).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let address = listener.local_addr().unwrap();
        let connections = Arc::new(Mutex::new(Vec::new()));
        let running = Arc::new(AtomicBool::new(true));
        let on_call = Arc::new(on_call);
        let (held, accepts) = (connections.clone(), running.clone());
        thread::spawn(move || {
            for (number, stream) in listener.incoming().enumerate() {
                let Ok(stream) = stream else { continue };
                if !accepts.load(Ordering::SeqCst) {
                    return;
                }
                on_connection(number as u64);
                let _ = stream.set_nodelay(true);
                held.lock().unwrap().extend(stream.try_clone());
                let on_call = on_call.clone();
                thread::spawn(move || serve_calls(stream, number as u64, &*on_call));
            }
        });
        Endpoint { address, connections, running }
    }

    /// Ends the endpoint as the death of its process does: connections are reset or closed, new ones refused.
    pub fn stop(&self) {
        self.running.store(false, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address);
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }
}

fn serve_calls(mut stream: TcpStream, connection: u64, on_call: &dyn Fn(&Call) -> Reply) {
    let mut rest = Vec::new();
    while let Ok(Some(request)) = read_message(&mut stream, &mut rest) {
        match on_call(&Call { request, connection }) {
            Reply::Status(status, headers, after) => {
                thread::sleep(after);
                let answer = format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: 0\r\n\r\n");
                if stream.write_all(answer.as_bytes()).is_err() {
                    return;
                }
            }
            Reply::Hang => {
                // Until the forwarder gives the call up.
                let _ = stream.read(&mut [0]);
                return;
            }
            Reply::Close(after) => {
                thread::sleep(after);
                let _ = stream.shutdown(Shutdown::Both);
                return;
            }
            Reply::Run(function) => {
                if !function(&mut stream) {
                    return;
                }
            }
        }
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// The platform's agent

/// An entry of discovery's list.
#[derive(Clone, Debug)]
pub struct Entry {
    pub uid: String,
    pub address: SocketAddr,
    pub zone: &'static str,
    pub kind: &'static str,
    pub destination: u64,
    pub state: &'static str,
}

impl Entry {
    pub fn json(&self) -> String {
        let Entry { uid, address, zone, kind, destination, state } = self;
        format!(
            "{{\"uid\":\"{uid}\",\"endpoint\":\"{address}\",\"az\":\"{zone}\",\"model\":\"{kind}\",\"pod_group\":{destination},\
             \"state\":\"{state}\",\"capacity_hint\":1000.0,\"boot_ms\":0}}"
        )
    }
}

pub fn list_json(version: u64, is_whole: bool, entries: &[Entry]) -> String {
    let entries: Vec<String> = entries.iter().map(Entry::json).collect();
    format!("{{\"rev\":{version},\"all\":{is_whole},\"targets\":[{}]}}", entries.join(","))
}

/// A notice that the agent received.
#[derive(Clone, Debug)]
pub struct Notice {
    pub id: String,
    pub state: String,
    pub at: Instant,
}

struct AgentState {
    version: u64,
    entries: Vec<Entry>,
    /// All changes, each with the version that it made.
    changes: Vec<(u64, Entry)>,
    /// While discovery is down, the agent answers nothing about the list.
    is_down: bool,
    notices: Vec<Notice>,
    watches: usize,
}

#[derive(Clone)]
pub struct Agent {
    pub address: SocketAddr,
    state: Arc<(Mutex<AgentState>, Condvar)>,
    log: Arc<Log>,
}

impl Agent {
    pub fn start(host: &str, entries: Vec<Entry>, log: Arc<Log>) -> Agent {
        let listener = TcpListener::bind(format!("{host}:0")).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let state = AgentState {
            version: 1,
            entries,
            changes: Vec::new(),
            is_down: false,
            notices: Vec::new(),
            watches: 0,
        };
        let agent = Agent {
            address: listener.local_addr().unwrap(),
            state: Arc::new((Mutex::new(state), Condvar::new())),
            log,
        };
        let serving = agent.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let agent = serving.clone();
                thread::spawn(move || agent.serve(stream));
            }
        });
        agent
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut rest = Vec::new();
        while let Ok(Some(request)) = read_message(&mut stream, &mut rest) {
            if request.line.starts_with("POST /v1/outcomes") {
                self.note(&String::from_utf8_lossy(&request.body));
                if stream.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").is_err() {
                    return;
                }
            } else if request.line.starts_with("GET /v1/servers?follow=1") {
                let _ = self.watch(stream);
                self.state.0.lock().unwrap().watches -= 1;
                self.state.1.notify_all();
                return;
            } else {
                return;
            }
        }
    }

    fn note(&self, body: &str) {
        let field = |line: &str, name: &str| -> String {
            let start = line.split_once(&format!("\"{name}\":\"")).map_or("", |(_, rest)| rest);
            start.split('"').next().unwrap_or_default().to_owned()
        };
        for line in body.lines() {
            let notice = Notice { id: field(line, "id"), state: field(line, "state"), at: Instant::now() };
            self.log.line(format!("notice id={} state={}", notice.id, notice.state));
            self.state.0.lock().unwrap().notices.push(notice);
        }
    }

    /// Serves a watch: the whole list first, then each change, and an empty line every 2 s.
    fn watch(&self, mut stream: TcpStream) -> io::Result<()> {
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        state.watches += 1;
        changed.notify_all();
        let mut sent: Option<u64> = None;
        let mut last_line_at = Instant::now();
        stream.set_read_timeout(Some(ms(1)))?;
        loop {
            if !state.is_down {
                let line = match sent {
                    None => Some(list_json(state.version, true, &state.entries)),
                    Some(version) if version < state.version => {
                        let newer = state.changes.iter().filter(|(at, _)| *at > version);
                        let entries: Vec<Entry> = newer.map(|(_, entry)| entry.clone()).collect();
                        Some(list_json(state.version, false, &entries))
                    }
                    Some(_) => (last_line_at.elapsed() >= ms(2000)).then(String::new),
                };
                if let Some(line) = line {
                    let head = if sent.is_none() {
                        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
                    } else {
                        ""
                    };
                    sent = Some(state.version);
                    last_line_at = Instant::now();
                    stream.write_all(format!("{head}{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes())?;
                    if !line.is_empty() {
                        self.log.line(format!("agent: list written version={}", state.version));
                    }
                }
            }
            state = changed.wait_timeout(state, ms(20)).unwrap().0;
            match stream.read(&mut [0]) {
                Ok(0) => return Ok(()),
                Err(error) if error.kind() != io::ErrorKind::WouldBlock => return Err(error),
                _ => {}
            }
        }
    }

    /// Changes the list: each entry replaces that of its uid, or is removed if its state is `terminated`.
    pub fn change(&self, entries: Vec<Entry>) {
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        state.version += 1;
        let version = state.version;
        for entry in entries {
            state.entries.retain(|other| other.uid != entry.uid);
            if entry.state != "terminated" {
                state.entries.push(entry.clone());
            }
            self.log.line(format!("agent: has a change version={version} entry={}", entry.json()));
            state.changes.push((version, entry));
        }
        changed.notify_all();
    }

    pub fn set_down(&self, is_down: bool) {
        self.log.line(if is_down { "agent: silent, discovery is down" } else { "agent: discovery is back" });
        self.state.0.lock().unwrap().is_down = is_down;
        self.state.1.notify_all();
    }

    /// Returns the number of watches that are open.
    pub fn watches(&self) -> usize {
        self.state.0.lock().unwrap().watches
    }

    pub fn list(&self) -> String {
        let state = self.state.0.lock().unwrap();
        list_json(state.version, true, &state.entries)
    }

    pub fn notices(&self) -> Vec<Notice> {
        self.state.0.lock().unwrap().notices.clone()
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// The forwarder

/// Settings in the form of the platform's configuration.
pub struct Settings {
    pub classes: String,
    pub zones: &'static str,
    pub kinds: &'static str,
    pub batch_by_kind: &'static str,
    pub own_limits: &'static str,
    pub weights: &'static str,
    pub tenants: &'static str,
    pub drain_grace_us: u64,
    pub fleet_size: u32,
}

impl Settings {
    /// The classes and rules of `arrieta-vitoria`.
    pub fn arrieta() -> Settings {
        Settings {
            classes: r#"{"name":"status","effect":"retryable","group":"all","window_us":5000000,"on_time_us":1000000,"hard_limit_us":8000000,"credit":1.0,"late_share":0.1,"streamed":false},
            {"name":"orders","effect":"fragile","group":"all","window_us":5000000,"on_time_us":3000000,"hard_limit_us":28000000,"credit":1.0,"late_share":0.4,"streamed":false}"#
                .to_owned(),
            zones: r#""vitoria""#,
            kinds: r#""carriers","shops","payment-partners""#,
            batch_by_kind: "20,1,1",
            own_limits: "false,false,false",
            weights: "nominal",
            tenants: r#"{"name":"acme","quota_rps":22.0,"share":1.0}"#,
            drain_grace_us: 250_000,
            fleet_size: 2,
        }
    }

    /// The classes and rules of `planta-maipu`, with the shorter deadlines and the shorter window of the narrow days.
    pub fn planta() -> Settings {
        Settings {
            classes: r#"{"name":"pedidos","effect":"dedup","group":"zone","window_us":2150000,"on_time_us":2000000,"hard_limit_us":12000000,"credit":1.0,"late_share":0.5,"streamed":false},
            {"name":"estado","effect":"retryable","group":"all","window_us":5000000,"on_time_us":4000000,"hard_limit_us":12000000,"credit":3.0,"late_share":0.4,"streamed":false}"#
                .to_owned(),
            zones: r#""edificio-a","edificio-b""#,
            kinds: r#""cadenas","comercios""#,
            batch_by_kind: "20,1",
            own_limits: "false,true",
            weights: "silent",
            tenants: "",
            drain_grace_us: 1_000_000,
            fleet_size: 2,
        }
    }

    pub fn config(&self, listen: SocketAddr, discovery: SocketAddr, known: &str, seed: u64) -> String {
        let Settings { classes, zones, kinds, batch_by_kind, own_limits, weights, tenants, drain_grace_us, fleet_size } = self;
        let tick_us = std::env::var("TICK_US").unwrap_or("5000".to_owned());
        let first_zone = zones.split(',').next().unwrap_or_default();
        format!(
            r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"{seed:016x}",
            "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024,"disk_mb":3}},
            "known":{known},
            "settings":{{"az":{first_zone},"zones":[{zones}],"classes":[{classes}],
            "clients":{{"marks_retry":false}},
            "costs":{{"handshake":0.02,"cross_zone":0.0,"late_fail":0.02,"probe":0.0074,"waste":0.089}},
            "family_info":{{"batch_by_kind":[{batch_by_kind}],"loses_worth":"halving","own_limits":[{own_limits}],"slots":14,"toll":[0.0]}},
            "feedback":{{"names":[],"source":"silent"}},"fleet_size":{fleet_size},
            "host_types":[{kinds}],
            "limits":{{"dial_timeout_us":1000000,"idle_close_us":10000000,"max_open":272,"max_retry_after_us":3000000,"may_cancel":true,"may_probe":true,"may_tell":false,"multiplex":1,"retry_after":true,"second_copies":false,"try_limit":8}},
            "over_share_worth":0.2,"registry_mode":"pushed",
            "rules":{{"answer_slack_us":20000,"ask_every_us":10000000,"cold_from":0.18,"drain_grace_us":{drain_grace_us},"fall_multiple":2.0,"tip_after_us":2000000,"warm_within_us":9400000}},
            "tenants":[{tenants}],"tick_us":{tick_us},"weights":"{weights}","worth_by":"request"}}}}"#
        )
    }
}

/// How a forwarder is started: the deploy file's command, with its options in the environment.
pub struct Start<'a> {
    pub folder: &'a Path,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub console: Option<SocketAddr>,
    /// The clients' listening socket, handed down as descriptor 4.
    pub listener: Option<i32>,
}

pub struct Forwarder {
    child: Child,
    pub pid: i32,
    pub listen: SocketAddr,
}

/// Returns the command `run` of the deploy file.
fn run_command() -> String {
    let deploy = fs::read_to_string("deploy/balancer.toml").unwrap_or_else(|e| cannot_run(&format!("deploy file: {e}")));
    let line = deploy.lines().find_map(|line| line.strip_prefix("run = "));
    line.unwrap_or_else(|| cannot_run("no `run` in the deploy file")).trim_matches('"').to_owned()
}

impl Start<'_> {
    /// Starts the forwarder without waiting until it is ready. Its log goes to `forwarder.log` in the run's folder.
    pub fn spawn(&self) -> Forwarder {
        let log = File::options().create(true).append(true).open(self.folder.join("forwarder.log")).unwrap();
        let state = self.folder.join("state");
        fs::create_dir_all(&state).unwrap();
        let mut command = Command::new("/bin/sh");
        command
            .args(["-c", &run_command()])
            .env("EDGE_NAME", "n0")
            .env("EDGE_CONFIG", self.folder.join("config.json"))
            .env("EDGE_STATE", state)
            .env("EDGE_LISTEN", self.listen.to_string())
            .env("EDGE_DISCOVERY", self.discovery.to_string())
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log);
        if let Some(console) = self.console {
            command.env("EDGE_CONSOLE", console.to_string());
        }
        let listener = self.listener;
        if listener.is_some() {
            command.env("EDGE_FD", "4");
        }
        unsafe {
            command.pre_exec(move || {
                // No process is left over if the test itself is killed.
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                match listener {
                    Some(listener) if dup2(listener, 4) != 4 => Err(io::Error::last_os_error()),
                    _ => Ok(()),
                }
            });
        }
        let child = command.spawn().unwrap_or_else(|error| cannot_run(&format!("the forwarder: {error}")));
        let pid = child.id() as i32;
        CHILDREN.lock().unwrap().push(pid);
        Forwarder { child, pid, listen: self.listen }
    }

    /// Starts the forwarder and waits until it answers that it is ready.
    pub fn start(&self) -> Forwarder {
        let forwarder = self.spawn();
        forwarder.wait_ready();
        forwarder
    }
}

impl Forwarder {
    pub fn wait_ready(&self) {
        let until = Instant::now() + ms(10_000);
        while Instant::now() < until {
            if is_ready(self.listen) {
                return;
            }
            thread::sleep(ms(2));
        }
        cannot_run("the forwarder did not get ready")
    }

    pub fn signal(&self, signal: i32) {
        unsafe { kill(self.pid, signal) };
    }

    /// Waits for the end of the process.
    pub fn wait(&mut self) -> Instant {
        let _ = self.child.wait();
        let ended_at = Instant::now();
        CHILDREN.lock().unwrap().retain(|pid| *pid != self.pid);
        ended_at
    }

    pub fn has_ended(&mut self) -> bool {
        let ended = matches!(self.child.try_wait(), Ok(Some(_)));
        if ended {
            CHILDREN.lock().unwrap().retain(|pid| *pid != self.pid);
        }
        ended
    }

    pub fn kill(&mut self) {
        self.signal(SIGKILL);
        self.wait();
    }
}

pub fn is_ready(address: SocketAddr) -> bool {
    let asked = connect(address).and_then(|mut stream| {
        stream.write_all(b"GET /healthz HTTP/1.1\r\nHost: forwarder\r\n\r\n").map(|()| stream)
    });
    asked.is_ok_and(|mut stream| read_answer(&mut stream, ms(400)) == Answer::Status(200))
}

/// Sends one line to a console and returns the first line of its reply.
pub fn console(address: SocketAddr, line: &str) -> String {
    let asked = connect(address).and_then(|mut stream| {
        stream.set_read_timeout(Some(ms(1000)))?;
        stream.write_all(format!("{line}\n").as_bytes())?;
        let mut reply = String::new();
        stream.read_to_string(&mut reply)?;
        Ok(reply)
    });
    asked.map_or_else(|error| error.to_string(), |reply| reply.lines().next().unwrap_or_default().to_owned())
}

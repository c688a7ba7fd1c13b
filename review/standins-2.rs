//! Stand-ins for the second review: the platform (discovery and notices), endpoints, clients, and the forwarder as a
//! child process. Only the standard library is used, and every address is a loopback address.
#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap};
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn dup2(from: i32, to: i32) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

pub fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Returns Unix time in microseconds.
pub fn now_us() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_micros() as u64)
}

/// The record of a run: each line with the seconds since the start.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<File>)>);

impl Record {
    pub fn line(&self, text: impl AsRef<str>) {
        let (start, file) = &*self.0;
        let line = format!("{:9.4} {}\n", start.elapsed().as_secs_f64(), text.as_ref());
        let _ = file.lock().unwrap().write_all(line.as_bytes());
    }

    pub fn elapsed(&self) -> Duration {
        self.0.0.elapsed()
    }
}

/// The surroundings of a case: its folder, its temporary folder, and whether the disruption takes place.
pub struct Case {
    pub record: Record,
    pub trouble: bool,
    pub root: PathBuf,
    pub temporary: PathBuf,
}

impl Case {
    /// Reads the case's folder and the project's folder from the arguments.
    pub fn start() -> Case {
        let arguments: Vec<String> = std::env::args().collect();
        let (folder, root) = (PathBuf::from(&arguments[1]), PathBuf::from(&arguments[2]));
        let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        let temporary = std::env::temp_dir().join(format!("review-2-{}-{}", std::process::id(), now_us()));
        fs::create_dir_all(&temporary).unwrap();
        let file = File::create(folder.join("record.txt")).unwrap();
        let record = Record(Arc::new((Instant::now(), Mutex::new(file))));
        record.line(format!("starts trouble={trouble}"));
        Case { record, trouble, root, temporary }
    }

    /// Ends the run: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
    pub fn end(&self, result: Result<Vec<String>, String>) -> ! {
        let status = match &result {
            Ok(broken) if broken.is_empty() => {
                self.record.line("RESULT: the rule held");
                println!("held");
                0
            }
            Ok(broken) => {
                for line in broken {
                    self.record.line(format!("BROKEN: {line}"));
                    println!("broken: {line}");
                }
                1
            }
            Err(reason) => {
                self.record.line(format!("RESULT: could not run: {reason}"));
                println!("could not run: {reason}");
                2
            }
        };
        let _ = fs::remove_dir_all(&self.temporary);
        std::process::exit(status);
    }
}

/// A request or response of HTTP/1.1 as read from a socket.
pub struct Head {
    pub first: String,
    pub headers: HashMap<String, String>,
}

/// Reads a head and its body. Returns `None` at a clean end before the first byte.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<(Head, Vec<u8>)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.trim().to_ascii_lowercase(), value.trim().to_owned());
        }
    }
    let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(Some((Head { first: first.trim_end().to_owned(), headers }, body)))
}

/// A free port on the loopback address, with its listener.
pub fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").unwrap()
}

/// Returns a port that is free now.
pub fn free_address() -> SocketAddr {
    listener().local_addr().unwrap()
}

// ---------------------------------------------------------------------------------------------------- platform

#[derive(Default)]
struct PlatformState {
    version: u64,
    targets: BTreeMap<String, Target>,
    /// Version after which each change was made, with the entry as sent.
    changes: Vec<(u64, String)>,
    notices: Vec<(Instant, String, String)>,
    /// Whether the first line of each watch is the whole list.
    whole_first: bool,
}

/// An entry of the endpoint list.
#[derive(Clone)]
pub struct Target {
    pub uid: String,
    pub address: SocketAddr,
    pub zone: String,
    pub kind: String,
    pub destination: u64,
    pub state: &'static str,
    pub capacity_hint: f64,
}

impl Target {
    pub fn json(&self) -> String {
        format!(
            r#"{{"uid":"{}","endpoint":"{}","az":"{}","model":"{}","pod_group":{},"state":"{}","capacity_hint":{:.1},"boot_ms":0}}"#,
            self.uid, self.address, self.zone, self.kind, self.destination, self.state, self.capacity_hint
        )
    }
}

/// The list and the notices, shared by all addresses of the platform.
#[derive(Clone, Default)]
pub struct Platform(Arc<(Mutex<PlatformState>, Condvar)>);

/// One address of the platform's agent.
pub struct Agent {
    pub address: SocketAddr,
    closed: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    stop: Arc<AtomicBool>,
}

impl Platform {
    pub fn new(targets: Vec<Target>) -> Self {
        let platform = Platform::default();
        {
            let mut state = platform.0.0.lock().unwrap();
            state.version = 41;
            state.targets = targets.into_iter().map(|target| (target.uid.clone(), target)).collect();
        }
        platform
    }

    /// Returns the whole list as JSON on one line.
    pub fn list(&self) -> String {
        let state = self.0.0.lock().unwrap();
        let targets: Vec<String> = state.targets.values().map(Target::json).collect();
        format!(r#"{{"rev":{},"all":true,"targets":[{}]}}"#, state.version, targets.join(","))
    }

    /// Changes the state of an endpoint and tells all watches.
    pub fn set_state(&self, uid: &str, state_name: &'static str) {
        let mut state = self.0.0.lock().unwrap();
        state.version += 1;
        let version = state.version;
        let Some(target) = state.targets.get_mut(uid) else { return };
        target.state = state_name;
        let json = target.json();
        if state_name == "terminated" {
            state.targets.remove(uid);
        }
        state.changes.push((version, json));
        self.0.1.notify_all();
    }

    /// From now on, the first line of each watch is the whole list.
    pub fn begin_watches_with_the_whole_list(&self) {
        self.0.0.lock().unwrap().whole_first = true;
    }

    /// Returns the notices so far: when, the id, and the state.
    pub fn notices(&self) -> Vec<(Instant, String, String)> {
        self.0.0.lock().unwrap().notices.clone()
    }

    /// Listens at a new address.
    pub fn listen(&self, record: &Record) -> Agent {
        let listener = listener();
        let address = listener.local_addr().unwrap();
        let agent = Agent {
            address,
            closed: Arc::default(),
            connections: Arc::default(),
            stop: Arc::default(),
        };
        let (platform, record) = (self.clone(), record.clone());
        let (closed, connections, stop) = (agent.closed.clone(), agent.connections.clone(), agent.stop.clone());
        thread::spawn(move || {
            for stream in listener.incoming() {
                if closed.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                let _ = stream.set_nodelay(true);
                connections.lock().unwrap().push(stream.try_clone().unwrap());
                let (platform, record, stop) = (platform.clone(), record.clone(), stop.clone());
                thread::spawn(move || {
                    let _ = platform.serve(stream, address, &record, &stop);
                });
            }
        });
        agent
    }

    fn serve(&self, stream: TcpStream, at: SocketAddr, record: &Record, stop: &AtomicBool) -> io::Result<()> {
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some((head, body)) = read_message(&mut reader)? {
            if head.first.starts_with("POST /v1/outcomes") {
                let text = String::from_utf8_lossy(&body).into_owned();
                let mut state = self.0.0.lock().unwrap();
                for line in text.lines() {
                    let id = json_text(line, "id").unwrap_or_default();
                    let end = json_text(line, "state").unwrap_or_default();
                    record.line(format!("notice at={at} id={id} state={end}"));
                    state.notices.push((Instant::now(), id, end));
                }
                drop(state);
                writer.write_all(b"HTTP/1.1 204 No Content\r\n\r\n")?;
            } else if head.first.contains("follow=1") {
                record.line(format!("watch at={at} {}", head.first));
                return self.follow(&mut writer, &head.first, stop);
            } else if head.first.starts_with("GET /v1/servers") {
                let list = self.list();
                write!(writer, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len())?;
            } else {
                writer.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")?;
            }
        }
        Ok(())
    }

    fn follow(&self, writer: &mut TcpStream, first: &str, stop: &AtomicBool) -> io::Result<()> {
        let since = first.split("since=").nth(1).unwrap_or("0");
        let since: u64 = since.split([' ', '&']).next().unwrap_or("0").parse().unwrap_or(0);
        writer.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        let mut told = since;
        let list = self.list();
        let (version, whole_first) = {
            let state = self.0.0.lock().unwrap();
            (state.version, state.whole_first)
        };
        let first_version = 41;
        if whole_first || since < first_version || since > version {
            chunk(writer, &format!("{list}\n"))?;
            told = version;
        }
        let mut state = self.0.0.lock().unwrap();
        let mut quiet_since = Instant::now();
        loop {
            if stop.load(Ordering::SeqCst) {
                return Ok(());
            }
            if state.version > told {
                let new: Vec<String> =
                    state.changes.iter().filter(|(at, _)| *at > told).map(|(_, json)| json.clone()).collect();
                told = state.version;
                let line = format!("{{\"rev\":{told},\"all\":false,\"targets\":[{}]}}\n", new.join(","));
                drop(state);
                chunk(writer, &line)?;
                quiet_since = Instant::now();
                state = self.0.0.lock().unwrap();
            } else if quiet_since.elapsed() >= ms(1950) {
                drop(state);
                chunk(writer, "\n")?;
                quiet_since = Instant::now();
                state = self.0.0.lock().unwrap();
            }
            state = self.0.1.wait_timeout(state, ms(50)).unwrap().0;
        }
    }
}

impl Agent {
    /// Takes no new connection from now on, and closes the open ones after `after`.
    pub fn retire(&self, after: Duration) {
        self.closed.store(true, Ordering::SeqCst);
        // Wakes the accept loop, which then closes the listener.
        drop(TcpStream::connect(self.address));
        let (connections, stop) = (self.connections.clone(), self.stop.clone());
        thread::spawn(move || {
            thread::sleep(after);
            stop.store(true, Ordering::SeqCst);
            for stream in connections.lock().unwrap().iter() {
                let _ = stream.shutdown(Shutdown::Both);
            }
        });
    }
}

fn chunk(writer: &mut TcpStream, text: &str) -> io::Result<()> {
    writer.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
}

/// Returns the text of a field in a flat JSON object.
pub fn json_text(line: &str, field: &str) -> Option<String> {
    let rest = line.split(&format!("\"{field}\":\"")).nth(1)?;
    Some(rest.split('"').next()?.to_owned())
}

// --------------------------------------------------------------------------------------------------- endpoints

/// A call as an endpoint got it.
#[derive(Clone, Debug)]
pub struct Call {
    pub endpoint: String,
    /// The number of the call at all endpoints, from 1.
    pub number: u64,
    pub ids: Vec<String>,
    pub is_bulk: bool,
    pub key: Option<String>,
    pub body: Vec<u8>,
    /// When its last byte had come.
    pub at: Instant,
}

/// What an endpoint does with a call.
pub enum Reply {
    /// Writes this after the delay. The text is a whole response.
    After(Duration, String),
    /// Never answers, and keeps the connection open.
    Hang,
}

impl Reply {
    /// The message is delivered after the delay.
    pub fn delivered(after: Duration) -> Self {
        Reply::After(after, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".to_owned())
    }

    /// The message is turned away with a wait.
    pub fn turned_away(after: Duration, wait_ms: u64) -> Self {
        Reply::After(
            after,
            format!("HTTP/1.1 429 Too Many Requests\r\nX-Come-Back-Ms: {wait_ms}\r\nContent-Length: 0\r\n\r\n"),
        )
    }
}

pub type Behaviour = Arc<dyn Fn(&Call) -> Reply + Send + Sync>;

/// The calls that all endpoints got, in the order in which they came, and when each was answered.
#[derive(Clone, Default)]
pub struct Calls(Arc<Mutex<CallsState>>);

#[derive(Default)]
struct CallsState {
    calls: Vec<Call>,
    answered: HashMap<u64, Instant>,
}

impl Calls {
    pub fn all(&self) -> Vec<Call> {
        self.0.lock().unwrap().calls.clone()
    }

    pub fn answered_at(&self, number: u64) -> Option<Instant> {
        self.0.lock().unwrap().answered.get(&number).copied()
    }

    pub fn count(&self) -> usize {
        self.0.lock().unwrap().calls.len()
    }
}

/// Starts an endpoint and returns its address. Each call is served on its own connection, one at a time.
pub fn endpoint(uid: &str, calls: &Calls, record: &Record, behaviour: Behaviour) -> SocketAddr {
    let listener = listener();
    let address = listener.local_addr().unwrap();
    let (uid, calls, record) = (uid.to_owned(), calls.clone(), record.clone());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (uid, calls, record, behaviour) = (uid.clone(), calls.clone(), record.clone(), behaviour.clone());
            thread::spawn(move || {
                let _ = serve_endpoint(stream, &uid, &calls, &record, &behaviour);
            });
        }
    });
    address
}

fn serve_endpoint(
    stream: TcpStream,
    uid: &str,
    calls: &Calls,
    record: &Record,
    behaviour: &Behaviour,
) -> io::Result<()> {
    let _ = stream.set_nodelay(true);
    // An idle connection is closed after the time in the settings.
    stream.set_read_timeout(Some(Duration::from_secs(10)))?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some((head, body)) = read_message(&mut reader)? {
        let is_bulk = head.first.starts_with("POST /inbox/bulk");
        let ids = if is_bulk {
            let text = String::from_utf8_lossy(&body).into_owned();
            text.split("{\"id\":\"").skip(1).filter_map(|part| Some(part.split('"').next()?.to_owned())).collect()
        } else {
            vec![head.headers.get("x-txn").cloned().unwrap_or_default()]
        };
        let call = {
            let mut state = calls.0.lock().unwrap();
            let call = Call {
                endpoint: uid.to_owned(),
                number: state.calls.len() as u64 + 1,
                ids,
                is_bulk,
                key: head.headers.get("idempotency-key").cloned(),
                body,
                at: Instant::now(),
            };
            state.calls.push(call.clone());
            call
        };
        record.line(format!("call number={} endpoint={uid} ids={}", call.number, call.ids.join(",")));
        match behaviour(&call) {
            Reply::After(delay, text) => {
                thread::sleep(delay);
                let written = writer.write_all(text.as_bytes());
                let first = text.lines().next().unwrap_or_default().to_owned();
                calls.0.lock().unwrap().answered.insert(call.number, Instant::now());
                record.line(format!("answer number={} {first} written={}", call.number, written.is_ok()));
                written?;
            }
            Reply::Hang => {
                let mut rest = [0; 1024];
                reader.get_ref().set_read_timeout(None)?;
                while reader.get_mut().read(&mut rest)? > 0 {}
                return Ok(());
            }
        }
    }
    Ok(())
}

// ----------------------------------------------------------------------------------------------------- clients

/// A message to hand in.
#[derive(Clone)]
pub struct Message {
    pub id: String,
    pub class: &'static str,
    pub tenant: &'static str,
    pub destination: u64,
    pub remaining: f64,
    pub body: Vec<u8>,
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// Returns a new id of 16 hex digits.
pub fn new_id() -> String {
    static BASE: OnceLock<u64> = OnceLock::new();
    let base = *BASE.get_or_init(|| now_us() << 20);
    format!("{:016x}", base.wrapping_add(NEXT_ID.fetch_add(1, Ordering::SeqCst)))
}

impl Message {
    pub fn new(class: &'static str, destination: u64, remaining: f64, body: usize) -> Self {
        let body = vec![b'x'; body];
        Message { id: new_id(), class, tenant: "calzados-ibaia", destination, remaining, body }
    }
}

/// A client with one kept connection, which sends one request at a time.
pub struct Client {
    address: SocketAddr,
    connection: Option<BufReader<TcpStream>>,
    /// When the last request was sent.
    pub sent_at: Option<Instant>,
}

impl Client {
    pub fn new(address: SocketAddr) -> Self {
        Client { address, connection: None, sent_at: None }
    }

    /// Connects if there is no connection yet.
    pub fn connect(&mut self) -> io::Result<()> {
        if self.connection.is_none() {
            let stream = TcpStream::connect(self.address)?;
            stream.set_nodelay(true)?;
            self.connection = Some(BufReader::new(stream));
        }
        Ok(())
    }

    /// Hands a message in and returns the status. Gives up after 400 ms. A request that crosses the close of a kept
    /// connection is sent once more on a new one.
    pub fn submit(&mut self, message: &Message) -> io::Result<u16> {
        let is_kept = self.connection.is_some();
        match self.exchange(message) {
            Err(error) if is_kept && error.kind() != io::ErrorKind::WouldBlock => self.exchange(message),
            result => result,
        }
    }

    fn exchange(&mut self, message: &Message) -> io::Result<u16> {
        let result = self.try_exchange(message);
        if result.is_err() {
            self.connection = None;
        }
        result
    }

    fn try_exchange(&mut self, message: &Message) -> io::Result<u16> {
        self.connect()?;
        let reader = self.connection.as_mut().unwrap();
        let mut request = format!(
            "POST /{} HTTP/1.1\r\nHost: origin.svc\r\nX-Txn: {}\r\nX-Org: {}\r\nX-Remaining: {:.3}\r\nContent-Length: {}\r\nX-Consignee: dest={}\r\n\r\n",
            message.class, message.id, message.tenant, message.remaining, message.body.len(), message.destination
        )
        .into_bytes();
        request.extend_from_slice(&message.body);
        reader.get_ref().set_read_timeout(Some(ms(400)))?;
        self.sent_at = Some(Instant::now());
        reader.get_mut().write_all(&request)?;
        let Some((head, _)) = read_message(reader)? else { return Err(io::ErrorKind::ConnectionReset.into()) };
        if head.headers.get("connection").is_some_and(|value| value.eq_ignore_ascii_case("close")) {
            self.connection = None;
        }
        let status = head.first.split(' ').nth(1).and_then(|text| text.parse().ok());
        status.ok_or_else(|| io::ErrorKind::InvalidData.into())
    }
}

// --------------------------------------------------------------------------------------------------- forwarder

/// The environment of one forwarder.
pub struct Site {
    pub root: PathBuf,
    pub folder: PathBuf,
    pub listen: SocketAddr,
    pub record: Record,
}

/// A running forwarder. It is killed when this value is dropped.
pub struct Forwarder {
    child: Child,
}

impl Site {
    pub fn new(case: &Case, name: &str, listen: SocketAddr) -> Self {
        let folder = case.temporary.join(name);
        fs::create_dir_all(folder.join("state")).unwrap();
        Site { root: case.root.clone(), folder, listen, record: case.record.clone() }
    }

    pub fn config_path(&self) -> PathBuf {
        self.folder.join("config.json")
    }

    pub fn state(&self) -> PathBuf {
        self.folder.join("state")
    }

    /// Replaces the configuration file.
    pub fn write_config(&self, text: &str) {
        let new = self.folder.join("config.new");
        fs::write(&new, text).unwrap();
        fs::rename(new, self.config_path()).unwrap();
    }

    /// Starts the program by the command `run` of the deploy file.
    pub fn start(&self, variables: &[(&str, String)]) -> Result<Forwarder, String> {
        let deploy = fs::read_to_string(self.root.join("deploy/balancer.toml")).map_err(|error| error.to_string())?;
        let run = deploy.lines().find(|line| line.starts_with("run = ")).and_then(|line| line.split('"').nth(1));
        let run = run.ok_or("the deploy file names no command `run`")?;
        let log = File::options().create(true).append(true).open(self.folder.join("log.txt")).unwrap();
        let scratch = self.folder.join("tmp");
        fs::create_dir_all(&scratch).unwrap();
        let child = Command::new("/bin/sh")
            .args(["-c", run])
            .current_dir(&self.root)
            .env("EDGE_NAME", "n0")
            .env("EDGE_LISTEN", self.listen.to_string())
            .env("EDGE_STATE", self.state())
            .env("EDGE_CONFIG", self.config_path())
            .env("TMPDIR", &scratch)
            .envs(variables.iter().map(|(name, value)| (*name, value.clone())))
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .map_err(|error| error.to_string())?;
        self.record.line(format!("forwarder starts pid={}", child.id()));
        Ok(Forwarder { child })
    }

    /// Waits until `GET /healthz` is answered with 200.
    pub fn wait_ready(&self, longest: Duration) -> Result<(), String> {
        let until = Instant::now() + longest;
        while Instant::now() < until {
            if let Ok(mut stream) = TcpStream::connect(self.listen) {
                let _ = stream.set_read_timeout(Some(ms(500)));
                let _ = stream.write_all(b"GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
                let mut text = String::new();
                let _ = stream.read_to_string(&mut text);
                if text.starts_with("HTTP/1.1 200") {
                    self.record.line("forwarder is ready");
                    return Ok(());
                }
            }
            thread::sleep(ms(20));
        }
        Err("the forwarder was not ready in time".to_owned())
    }

    /// Returns the log of the forwarder so far.
    pub fn log(&self) -> String {
        fs::read_to_string(self.folder.join("log.txt")).unwrap_or_default()
    }
}

impl Forwarder {
    pub fn signal(&self, signal: i32, record: &Record) {
        record.line(format!("signal {signal} to pid={}", self.child.id()));
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Waits until the process has ended, at most for `longest`. Returns whether it has.
    pub fn wait_end(&mut self, longest: Duration) -> bool {
        let until = Instant::now() + longest;
        while Instant::now() < until {
            if matches!(self.child.try_wait(), Ok(Some(_))) {
                return true;
            }
            thread::sleep(ms(5));
        }
        false
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self, record: &Record) {
        self.signal(SIGKILL, record);
        let _ = self.child.wait();
    }

    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Forwarder {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Sends one line to the console and returns the whole reply.
pub fn console(address: SocketAddr, line: &str) -> io::Result<String> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(Duration::from_secs(2)))?;
    stream.write_all(format!("{line}\n").as_bytes())?;
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    Ok(text)
}

/// Makes a listening socket available to child processes as descriptor 4. Call it before anything else is opened.
pub fn inherit_as_descriptor_4(listener: &TcpListener) {
    use std::os::fd::AsRawFd;
    assert!(unsafe { dup2(listener.as_raw_fd(), 4) } == 4);
}

/// The settings of a small deployment like `arrieta-vitoria`.
pub struct Settings {
    pub slots: usize,
    pub disk_mb: f64,
    pub fleet_size: usize,
    pub max_open: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Settings { slots: 14, disk_mb: 3.0, fleet_size: 2, max_open: 272 }
    }
}

impl Settings {
    /// Returns the text of a configuration with this list.
    pub fn config(&self, listen: SocketAddr, discovery: SocketAddr, list: &str) -> String {
        let Settings { slots, disk_mb, fleet_size, max_open } = self;
        format!(
            r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"{:016x}",
 "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024,"disk_mb":{disk_mb}}},
 "known":{list},
 "settings":{{"az":"vitoria","zones":["vitoria"],
  "classes":[
   {{"credit":1.0,"effect":"retryable","group":"all","hard_limit_us":8000000,"late_share":0.1,"name":"status","on_time_us":1000000,"streamed":false,"window_us":5000000}},
   {{"credit":1.0,"effect":"fragile","group":"all","hard_limit_us":28000000,"late_share":0.4,"name":"orders","on_time_us":3000000,"streamed":false,"window_us":5000000}}],
  "clients":{{"marks_retry":false}},
  "costs":{{"connection":0.0,"cross_zone":0.0,"handshake":0.02,"late_fail":0.02,"moves":0.0,"origin":0.0,"peer":0.0,"probe":0.0074,"registry_mode":0.0,"waste":0.089}},
  "family_info":{{"batch_by_kind":[20,1,1],"loses_worth":"halving","own_limits":[false,false,false],"refused_price":0.0,"slots":{slots},"toll":[0.0]}},
  "feedback":{{"names":[],"source":"silent"}},"fleet_size":{fleet_size},
  "goal":{{"whole":0.5,"worst_class":0.2,"worst_tenant":0.1,"worst_window":0.2}},
  "host_types":["carriers","shops","payment-partners"],"kind_of_service":"deliver",
  "limits":{{"cpu_us_per_request":0.0,"cpu_us_per_s":64285,"dial_timeout_us":1000000,"idle_close_us":10000000,"max_open":{max_open},"max_retry_after_us":3000000,"may_cancel":true,"may_probe":true,"may_tell":false,"multiplex":1,"retry_after":true,"second_copies":false,"try_limit":8}},
  "over_share_worth":0.2,"rank":0,"registry_mode":"pushed",
  "rules":{{"answer_slack_us":20000,"ask_every_us":10000000,"cold_from":0.18,"drain_grace_us":250000,"fall_multiple":2.0,"tip_after_us":2000000,"warm_within_us":9400000}},
  "tenants":[{{"name":"calzados-ibaia","quota_rps":22.0,"share":0.58}},{{"name":"textil-norte","quota_rps":10.0,"share":0.26}},{{"name":"ferreteria-goi","quota_rps":6.0,"share":0.16}}],
  "tick_us":5000,"tier":0,"tiers":["partner-systems"],"weights":"nominal","worth_by":"request"}}}}
"#,
            now_us()
        )
    }
}

/// Returns the number of the file at a path, which changes when another file replaces it.
pub fn inode(path: &Path) -> Option<u64> {
    use std::os::unix::fs::MetadataExt;
    Some(fs::metadata(path).ok()?.ino())
}

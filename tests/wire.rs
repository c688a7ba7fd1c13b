//! Tests that the exchanges on the processes' sockets keep their texts: at a forwarder's console, with its clients and
//! its endpoints, and at a supervisor's control address.

#[path = "../crates/forwarder/tests/common/golden.rs"]
mod golden;

use golden::{assert_golden, side, whole_length};
use orchidyoke_fakes::DiscoveryServer;
use orchidyoke_fakes::TemporaryFolder;
use orchidyoke_fakes::forwarder::{ForwarderConfig, ForwarderProcess, endpoint_entry};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

const TIMEOUT: Duration = Duration::from_secs(20);

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_orchidyoke"))
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("connected");
    stream.set_read_timeout(Some(TIMEOUT)).expect("read timeout set");
    stream
}

/// Sends a line on a new connection. Returns the line and the reply.
fn exchange_line(address: SocketAddr, line: &str) -> String {
    let mut stream = connect(address);
    stream.write_all(format!("{line}\n").as_bytes()).expect("bytes sent");
    let mut reply = String::new();
    stream.read_to_string(&mut reply).expect("reply read");
    format!("> {line}\n{}", side("< ", reply.as_bytes()))
}

/// Reads one complete request or answer.
fn read_whole(stream: &mut TcpStream) -> Vec<u8> {
    let (mut received, mut chunk) = (Vec::new(), [0; 4096]);
    while whole_length(&received, true).is_none_or(|length| received.len() < length) {
        let count = stream.read(&mut chunk).expect("more bytes received");
        assert!(count > 0, "incomplete request or answer: {}", String::from_utf8_lossy(&received));
        received.extend_from_slice(&chunk[..count]);
    }
    received
}

/// Returns the settings of a forwarder that is the only member of its region.
fn single_member_settings() -> String {
    "ownership(name = \"f0\", region = \"east\", regions = {\"east\": [\"a\", \"b\"]},\n\
     members = [member(name = \"f0\", zone = \"a\", address = \"127.0.0.1:9\")])\n"
        .to_owned()
}

/// Replaces the values of metrics that differ in each run by `NUMBER`.
fn replace_varying_values(reply: &str) -> String {
    let replace_value = |line: &str| match line.rsplit_once(' ') {
        Some((name @ ("< app_owners_view" | "< app_owners_view_age_s"), _)) => format!("{name} NUMBER\n"),
        _ => format!("{line}\n"),
    };
    reply.lines().map(replace_value).collect()
}

#[test]
fn console_replies_stay_the_same() {
    let discovery = DiscoveryServer::start("");
    let endpoint = TcpListener::bind("127.0.0.1:0").expect("listener bound");
    let mut config = ForwarderConfig::new(discovery.address());
    config.endpoints = vec![endpoint_entry("p1", endpoint.local_addr().expect("address of the listener"), 7)];
    let folder = TemporaryFolder::new("wire-console");
    folder.write("config.json", &config.text());
    let settings = folder.write("settings.star", &single_member_settings()).display().to_string();
    let options = ["--settings", &settings[..]];
    let (forwarder, console) =
        ForwarderProcess::start_with_console(program(), &folder, "127.0.0.1:0", &options);
    let mut transcript = String::new();
    for line in [
        "ready",
        "show-stat",
        "show-latency",
        "disable-server p1",
        "enable-server p1",
        "disable-server p2",
        "enable-server",
        "ready now",
        "help",
        "",
    ] {
        transcript += &exchange_line(console, line);
    }
    assert_golden("console.txt", &replace_varying_values(&transcript));
    forwarder.kill();
}

#[test]
fn request_to_the_endpoint_and_answer_to_the_client_stay_the_same() {
    let discovery = DiscoveryServer::start("");
    let endpoint = TcpListener::bind("127.0.0.1:0").expect("listener bound");
    let mut config = ForwarderConfig::new(discovery.address());
    config.endpoints = vec![endpoint_entry("p1", endpoint.local_addr().expect("address of the listener"), 7)];
    let folder = TemporaryFolder::new("wire-message");
    folder.write("config.json", &config.text());
    let forwarder = ForwarderProcess::start(program(), &folder, &[]);
    let request = "POST /refund HTTP/1.1\r\nHost: origin.svc\r\nX-Txn: 9b1f03aa5c7e2d41\r\nX-Org: acme\r\n\
                   X-Remaining: 12.000\r\nX-Consignee: dest=7\r\nIdempotency-Key: 5c0f6e1a\r\nContent-Length: 5\r\n\r\nhello";
    let mut client = connect(forwarder.address);
    client.write_all(request.as_bytes()).expect("bytes sent");
    let answer = read_whole(&mut client);
    let (mut call, _) = endpoint.accept().expect("call accepted");
    call.set_read_timeout(Some(TIMEOUT)).expect("read timeout set");
    let received_request = side("> ", &read_whole(&mut call));
    call.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").expect("bytes sent");
    let remaining_line = received_request
        .lines()
        .find(|line| line.starts_with("> x-remaining: "))
        .expect("x-remaining header");
    let seconds = remaining_line["> x-remaining: ".len()..].parse::<f64>();
    assert!(seconds.is_ok_and(|seconds| seconds > 0.0 && seconds <= 12.0), "{remaining_line}");
    let received_request = received_request.replace(remaining_line, "> x-remaining: SECONDS");
    assert_golden("message.txt", &format!("{}\n{received_request}", side("< ", &answer)));
    forwarder.kill();
}

/// A supervisor's process. When dropped, it is terminated together with its forwarder.
struct Supervisor(Child);

impl Drop for Supervisor {
    fn drop(&mut self) {
        let _ = Command::new("kill").args(["-TERM", &self.0.id().to_string()]).status();
        let _ = self.0.wait();
    }
}

fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).expect("free port")
}

#[test]
fn control_address_replies_stay_the_same() {
    let discovery = DiscoveryServer::start("");
    let folder = TemporaryFolder::new("wire-control");
    folder.write("config.json", &ForwarderConfig::new(discovery.address()).text());
    let releases = folder.path().join("releases");
    std::fs::create_dir_all(&releases).expect("folder created");
    std::os::unix::fs::symlink(program(), releases.join("v1")).expect("release linked");
    let (listen, control) = (free_address().to_string(), free_address());
    let child = Command::new(program())
        .args(["supervise", "--release", "v1", "--listen", &listen, "--control", &control.to_string()])
        .args(["--console", &free_address().to_string(), "--console", &free_address().to_string()])
        .arg("--releases")
        .arg(&releases)
        .arg("--folder")
        .arg(folder.path().join("supervisor"))
        .args(["--", "--config"])
        .arg(folder.path().join("config.json"))
        .arg("--state")
        .arg(folder.path().join("state"))
        .stderr(Stdio::null())
        .spawn();
    let _supervisor = Supervisor(child.expect("supervisor started"));
    let deadline = Instant::now() + TIMEOUT;
    let is_settled =
        || TcpStream::connect(control).is_ok() && exchange_line(control, "show").contains("\"settled\":true");
    while !is_settled() {
        assert!(Instant::now() < deadline, "the supervisor's forwarder does not serve");
        thread::sleep(Duration::from_millis(20));
    }
    let mut transcript = String::new();
    for line in ["show", "upgrade none", "upgrade ../v1", "upgrade", "ready"] {
        transcript += &exchange_line(control, line);
    }
    let pid = transcript
        .split("\"pid\":")
        .nth(1)
        .and_then(|rest| rest.split('}').next())
        .expect("process id in the status");
    assert!(pid.parse::<u32>().is_ok(), "{pid}");
    assert_golden("control.txt", &transcript.replace(&format!("\"pid\":{pid}"), "\"pid\":NUMBER"));
}

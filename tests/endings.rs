//! Tests of the program being started, shut down and killed while a message or an answer is pending. Every wait is for
//! an event that has to happen. Fixed durations in the assertions are limits of the program.

use orchidyoke_fakes::TemporaryFolder;
use orchidyoke_fakes::destination::{CapacityModel, DestinationServer, Mode};
use orchidyoke_fakes::discovery::DiscoveryServer;
use orchidyoke_fakes::forwarder::{ForwarderConfig, ForwarderProcess, endpoint_entry};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::time::{Duration, Instant};

const TIMEOUT: Duration = Duration::from_secs(20);

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_orchidyoke"))
}

/// Returns a folder with a configuration that has one endpoint, of destination 2.
fn folder_with_config(
    name: &str,
    discovery: &DiscoveryServer,
    endpoint: SocketAddr,
    change: impl Fn(&mut ForwarderConfig),
) -> TemporaryFolder {
    let folder = TemporaryFolder::new(name);
    let mut config = ForwarderConfig::new(discovery.address());
    config.endpoints = vec![endpoint_entry("s-1", endpoint, 2)];
    change(&mut config);
    folder.write("config.json", &config.text());
    folder
}

fn request(class: &str, txn: &str) -> String {
    format!(
        "POST /{class} HTTP/1.1\r\nHost: x\r\nX-Txn: {txn}\r\nX-Org: acme\r\nX-Remaining: 11.0\r\nIdempotency-Key: k-{txn}\r\n\
         X-Consignee: dest=2\r\nContent-Length: 4\r\n\r\nbody"
    )
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("connected");
    stream.set_nodelay(true).expect("TCP_NODELAY set");
    stream.set_read_timeout(Some(TIMEOUT)).expect("read timeout set");
    stream
}

/// Reads one answer and returns its status. Returns `None` if the connection is closed without a reset before the
/// answer.
fn read_status(stream: &mut TcpStream) -> Option<u16> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte).expect("no connection reset") {
            0 => {
                assert!(head.is_empty(), "incomplete answer: {}", String::from_utf8_lossy(&head));
                return None;
            }
            _ => head.push(byte[0]),
        }
    }
    let text = String::from_utf8_lossy(&head).into_owned();
    let length =
        text.to_lowercase().lines().find_map(|line| line.strip_prefix("content-length: ")?.parse().ok());
    stream.read_exact(&mut vec![0; length.unwrap_or(0)]).expect("body read");
    text.split(' ').nth(1)?.parse().ok()
}

/// Waits until each of these messages has its final answer, by a served call or a notification. Returns the number of
/// calls of each.
fn wait_for_final_answers(
    destination: &DestinationServer,
    discovery: &DiscoveryServer,
    txns: &[String],
) -> BTreeMap<String, usize> {
    let deadline = Instant::now() + TIMEOUT;
    loop {
        let calls = destination.calls();
        let notifications = discovery.notifications();
        let served = |txn: &String| calls.iter().any(|call| call.message_id == *txn && call.served);
        if txns.iter().all(|txn| served(txn) || notifications.contains_key(txn)) {
            let count = |txn: &String| calls.iter().filter(|call| call.message_id == *txn).count();
            return txns.iter().map(|txn| (txn.clone(), count(txn))).collect();
        }
        assert!(
            Instant::now() < deadline,
            "not all messages have a final answer: {} calls, notifications {notifications:?}",
            calls.len()
        );
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// The results of one client's requests.
struct ClientReport {
    accepted: Vec<String>,
    /// The id of the request that was not answered because its connection was closed first.
    unanswered: Option<String>,
}

/// Submits orders on one connection for as long as it stays open.
fn submit_until_closed(address: SocketAddr, client: usize) -> ClientReport {
    let mut stream = connect(address);
    let mut accepted = Vec::new();
    for number in 0.. {
        let txn = format!("c{client}-{number}");
        // A write after the connection was closed may fail. A reset is detected by the read.
        if stream.write_all(request("orders", &txn).as_bytes()).is_err() {
            break;
        }
        match read_status(&mut stream) {
            Some(202) => accepted.push(txn),
            Some(503) => {}
            Some(other) => panic!("{txn}: {other}"),
            None => return ClientReport { accepted, unanswered: Some(txn) },
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    ClientReport { accepted, unanswered: None }
}

// Guards against requests that a shutdown loses or leaves in doubt. One request is sent half before SIGTERM and half
// long after it. Another connection is idle until the forwarder closes it. Other clients submit until their connections
// are closed. Each request is answered, or its connection is closed without an answer and without a reset and the
// request was never accepted. Each accepted message has one final answer, from this process or the next. A second
// SIGTERM changes nothing.
#[test]
fn requests_around_a_shutdown_are_answered_or_never_accepted() {
    let destination = DestinationServer::new(CapacityModel {
        service_time: Duration::from_millis(150),
        ..CapacityModel::default()
    });
    let discovery = DiscoveryServer::start("");
    let folder = folder_with_config("around-stop", &discovery, destination.open_endpoint(), |_| {});
    let forwarder = ForwarderProcess::start(program(), &folder, &[]);
    let address = forwarder.address;
    let text = request("orders", "split");
    let mut split = connect(address);
    split.write_all(&text.as_bytes()[..60]).expect("bytes sent");
    let mut idle = connect(address);
    idle.write_all(request("orders", "idle").as_bytes()).expect("bytes sent");
    assert_eq!(read_status(&mut idle), Some(202));
    let terminated_at = Instant::now();
    forwarder.signal("TERM");
    let clients: Vec<_> =
        (0..6).map(|client| std::thread::spawn(move || submit_until_closed(address, client))).collect();
    std::thread::sleep(Duration::from_millis(600));
    forwarder.signal("TERM");
    split.write_all(&text.as_bytes()[60..]).expect("bytes sent");
    assert_eq!(read_status(&mut split), Some(202));
    let mut accepted = vec!["split".to_owned(), "idle".to_owned()];
    let mut unanswered = Vec::new();
    for client in clients {
        let report = client.join().expect("no reset and no unexpected status");
        accepted.extend(report.accepted);
        unanswered.extend(report.unanswered);
    }
    assert!(forwarder.wait().success());
    assert!(
        terminated_at.elapsed() < Duration::from_millis(3_700),
        "the shutdown took {:?}",
        terminated_at.elapsed()
    );
    assert!(accepted.len() > 20, "too few messages were accepted: {accepted:?}");
    let next = ForwarderProcess::start(program(), &folder, &[]);
    let calls = wait_for_final_answers(&destination, &discovery, &accepted);
    assert!(calls.values().all(|count| *count <= 1), "an order was sent more than once: {calls:?}");
    let all_calls = destination.calls();
    assert!(
        unanswered.iter().all(|txn| !all_calls.iter().any(|call| call.message_id == *txn)),
        "some of these requests were accepted without an answer: {unanswered:?}"
    );
    drop(next);
}

// Guards against messages that were accepted just before a kill, or never attempted, and are dropped at the next start.
// Also guards against a start that waits for discovery or takes long with a full journal. The forwarder must be ready
// within 10 s while discovery is down, and attempt each message.
#[test]
fn start_with_a_full_journal_and_discovery_down_attempts_every_message() {
    let destination = DestinationServer::new(CapacityModel::default());
    let discovery = DiscoveryServer::start("");
    let endpoint = destination.open_endpoint();
    destination.set_mode(Mode::Hang);
    let folder = folder_with_config("full-start", &discovery, endpoint, |config| config.max_in_flight = 4);
    let first = ForwarderProcess::start(program(), &folder, &[]);
    let accepted: Vec<String> = (0..400).map(|number| format!("m{number}")).collect();
    let mut stream = connect(first.address);
    for txn in &accepted {
        stream.write_all(request("status", txn).as_bytes()).expect("bytes sent");
        assert_eq!(read_status(&mut stream), Some(202));
    }
    first.kill();
    let attempted = destination.calls().len();
    assert!(attempted < 10, "{attempted} messages were attempted");
    destination.set_mode(Mode::Serve);
    // The listener is closed, so nothing answers at this address.
    let closed_address = {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("listener bound");
        listener.local_addr().expect("address of the listener")
    };
    let mut config = ForwarderConfig::new(closed_address);
    config.max_in_flight = 4;
    config.endpoints = vec![endpoint_entry("s-1", endpoint, 2)];
    folder.write("config.json", &config.text());
    let started_at = Instant::now();
    let second = ForwarderProcess::start(program(), &folder, &[]);
    let mut ready = connect(second.address);
    ready.write_all(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n").expect("bytes sent");
    assert_eq!(read_status(&mut ready), Some(200));
    assert!(started_at.elapsed() < Duration::from_secs(10), "the start took {:?}", started_at.elapsed());
    let deadline = Instant::now() + TIMEOUT;
    loop {
        let calls = destination.calls();
        let served: std::collections::BTreeSet<_> =
            calls.iter().filter(|call| call.served).map(|call| call.message_id.clone()).collect();
        // The few attempts before the kill got no answer. The other messages had no attempt.
        if served.len() + 10 >= accepted.len() {
            break;
        }
        assert!(Instant::now() < deadline, "{} of {} messages were delivered", served.len(), accepted.len());
        std::thread::sleep(Duration::from_millis(20));
    }
}

// Guards against a SIGTERM at any moment of a start, or a SIGKILL right after it, that loses a message or leaves a
// journal that the next start cannot read.
#[test]
fn shutdown_or_kill_at_any_instant_of_a_start_loses_no_message() {
    let destination = DestinationServer::new(CapacityModel::default());
    let discovery = DiscoveryServer::start("");
    destination.set_mode(Mode::Unavailable);
    let folder = folder_with_config("start-stop", &discovery, destination.open_endpoint(), |_| {});
    let first = ForwarderProcess::start(program(), &folder, &[]);
    let accepted: Vec<String> = (0..40).map(|number| format!("m{number}")).collect();
    for txn in &accepted {
        assert_eq!(first.submit_message("status", txn, 2), 202);
    }
    first.kill();
    for round in 0..12 {
        let mut child = std::process::Command::new(program())
            .args(["serve", "--config"])
            .arg(folder.path().join("config.json"))
            .arg("--state")
            .arg(folder.path().join("state"))
            .stderr(std::process::Stdio::null())
            .spawn()
            .expect("program started");
        // The rounds stop the program at different moments of its start. The test does not depend on which moments.
        std::thread::sleep(Duration::from_millis(round * 2));
        let kill = format!("kill -TERM {}", child.id());
        assert!(std::process::Command::new("sh").args(["-c", &kill]).status().expect("shell ran").success());
        if round % 2 == 0 {
            child.kill().expect("process killed");
        }
        child.wait().expect("process exited");
    }
    destination.set_mode(Mode::Serve);
    let last = ForwarderProcess::start(program(), &folder, &[]);
    let calls = wait_for_final_answers(&destination, &discovery, &accepted);
    assert_eq!(calls.len(), accepted.len());
    drop(last);
}

// Guards against idle clients that use up the file descriptors, so that none is left for a new connection to discovery
// or for a new client. The process may have 64 descriptors open.
#[test]
fn idle_clients_leave_descriptors_for_discovery_and_new_clients() {
    let destination = DestinationServer::new(CapacityModel::default());
    let discovery = DiscoveryServer::start("");
    let new_discovery = DiscoveryServer::start("");
    let endpoint = destination.open_endpoint();
    let folder = folder_with_config("idle", &discovery, endpoint, |config| {
        config.sockets = 64;
        config.max_in_flight = 6;
    });
    let limited =
        folder.write("limited", &format!("#!/bin/sh\nulimit -n 64\nexec {} \"$@\"\n", program().display()));
    let chmod = format!("chmod +x {}", limited.display());
    assert!(std::process::Command::new("sh").args(["-c", &chmod]).status().expect("shell ran").success());
    let forwarder = ForwarderProcess::start(&limited, &folder, &[]);
    let idle: Vec<_> = (0..120).map(|_| connect(forwarder.address)).collect();
    let mut config = ForwarderConfig::new(new_discovery.address());
    config.sockets = 64;
    config.max_in_flight = 6;
    config.endpoints = vec![endpoint_entry("s-1", endpoint, 2)];
    folder.write("config.json", &config.text());
    forwarder.signal("HUP");
    let deadline = Instant::now() + Duration::from_secs(6);
    while new_discovery.watch_count() == 0 {
        assert!(Instant::now() < deadline, "discovery is not watched");
        std::thread::sleep(Duration::from_millis(10));
    }
    assert_eq!(forwarder.submit_message("status", "after-reload", 2), 202);
    wait_for_final_answers(&destination, &discovery, &["after-reload".to_owned()]);
    let lines: Vec<String> =
        forwarder.log.try_iter().filter(|line| line.contains("cannot accept a connection")).collect();
    assert!(lines.is_empty(), "{lines:?}");
    drop(idle);
}

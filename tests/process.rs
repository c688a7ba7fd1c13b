//! Tests of the program on loopback sockets against scripted servers, including kills and shutdowns. Every wait is for
//! an event that has to happen. Its long time-out only ends a test that fails.

#[path = "../crates/forwarder/tests/common/deployments.rs"]
mod common;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(20);

/// Reads one request. Returns its first line, its headers in lower case, and its body, or `None` at the end of the
/// connection.
fn read_request(stream: &mut BufReader<TcpStream>) -> Option<(String, String, Vec<u8>)> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).ok()? == 0 {
            return None;
        }
        match line.trim_end() {
            "" => break,
            text => lines.push(text.to_owned()),
        }
    }
    let headers = lines[1..].join("\n").to_lowercase();
    let length = headers.lines().find_map(|line| line.strip_prefix("content-length: ")).unwrap_or("0");
    let mut body = vec![0; length.parse().ok()?];
    stream.read_exact(&mut body).ok()?;
    Some((lines[0].clone(), headers, body))
}

/// Serves requests on loopback. Each request is passed to the test and answered with the result of `answer`. If that is
/// `None`, the request stays unanswered on an open connection.
fn scripted_server(
    answer: impl Fn(&str) -> Option<&'static str> + Send + Sync + 'static,
) -> (SocketAddr, Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("listener bound");
    let address = listener.local_addr().expect("address of the listener");
    let (sender, receiver) = channel();
    let answer = Arc::new(answer);
    let unanswered = Arc::new(Mutex::new(Vec::new()));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            let unanswered = unanswered.clone();
            let sender: Sender<String> = sender.clone();
            thread::spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().expect("socket cloned"));
                let mut stream = stream;
                while let Some((line, headers, body)) = read_request(&mut reader) {
                    let _ = sender.send(format!("{line}\n{headers}\n\n{}", String::from_utf8_lossy(&body)));
                    match answer(&line) {
                        Some(text) if stream.write_all(text.as_bytes()).is_ok() => {}
                        _ => return unanswered.lock().expect("lock not poisoned").push(stream),
                    }
                }
            });
        }
    });
    (address, receiver)
}

/// Starts a fake discovery with a watch that sends no events. It accepts notifications.
fn fake_discovery() -> (SocketAddr, Receiver<String>) {
    scripted_server(|line| match line {
        _ if line.starts_with("POST /v1/outcomes") => Some("HTTP/1.1 204 No Content\r\n\r\n"),
        _ => Some("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\n\n\r\n"),
    })
}

struct Forwarder {
    child: Child,
    address: SocketAddr,
    /// The log lines after the one with the listening address.
    log: Receiver<String>,
}

impl Forwarder {
    fn start(folder: &Path) -> Self {
        Forwarder::start_with(folder, &[])
    }

    fn start_with(folder: &Path, options: &[&str]) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_orchidyoke"))
            .args(["serve", "--config"])
            .arg(folder.join("config.json"))
            .arg("--state")
            .arg(folder)
            .args(options)
            .stderr(Stdio::piped())
            .spawn()
            .expect("program started");
        let mut lines =
            BufReader::new(child.stderr.take().expect("piped standard error")).lines().map_while(Result::ok);
        let address =
            lines.find_map(|line| line.split_once("listens on ").map(|(_, address)| address.to_owned()));
        let address = address.expect("log line with the listening address").parse().expect("valid address");
        let (sender, log) = channel();
        thread::spawn(move || lines.for_each(|line| drop(sender.send(line))));
        Forwarder { child, address, log }
    }

    fn signal(&self, name: &str) {
        let kill = format!("kill -{name} {}", self.child.id());
        assert!(Command::new("sh").args(["-c", &kill]).status().expect("shell ran").success());
    }

    fn kill(mut self) {
        self.child.kill().expect("process killed");
        self.child.wait().expect("process exited");
    }

    /// Sends one request on a new connection. Returns the status and the whole answer.
    fn request(&self, request: &str, body: &str) -> (u16, String) {
        let mut stream = TcpStream::connect(self.address).expect("connected");
        stream.set_read_timeout(Some(TIMEOUT)).expect("read timeout set");
        let head =
            format!("{request}\r\nHost: x\r\nConnection: close\r\nContent-Length: {}\r\n\r\n", body.len());
        stream.write_all((head + body).as_bytes()).expect("bytes sent");
        let mut text = String::new();
        stream.read_to_string(&mut text).expect("answer read");
        (text.split(' ').nth(1).and_then(|status| status.parse().ok()).expect("status in the answer"), text)
    }

    fn submit(&self, class: &str, txn: &str) -> u16 {
        let head = format!(
            "POST /{class} HTTP/1.1\r\nX-Txn: {txn}\r\nX-Org: acme\r\nX-Remaining: 7.5\r\nX-Consignee: dest=2"
        );
        self.request(&head, &format!("body of {txn}")).0
    }
}

/// Returns a new folder with a configuration in which destination 2 has one endpoint.
fn folder_with_config(name: &str, endpoint: SocketAddr, discovery: SocketAddr) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("orchidyoke-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("folder created");
    let mut targets = common::endpoint_entries();
    targets[2].address = endpoint;
    let text = common::config("127.0.0.1:0", &discovery.to_string(), targets);
    std::fs::write(folder.join("config.json"), text).expect("file written");
    folder
}

/// Waits for a text that contains this word.
fn wait_for(receiver: &Receiver<String>, word: &str) -> String {
    loop {
        let text = receiver.recv_timeout(TIMEOUT).unwrap_or_else(|_| panic!("timed out waiting for {word}"));
        if text.contains(word) {
            return text;
        }
    }
}

// Guards against an order that takes effect twice, and against a message that is lost, when the process is killed with
// both in flight. The order ends with a notification, and the status message is retried unchanged.
#[test]
fn killed_process_recovers_all_messages_and_repeats_no_order() {
    let is_available = Arc::new(AtomicBool::new(false));
    let is_available_to_server = is_available.clone();
    let (endpoint, calls) = scripted_server(move |_| {
        is_available_to_server
            .load(Ordering::SeqCst)
            .then_some("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
    });
    let (discovery, notifications) = fake_discovery();
    let folder = folder_with_config("kill", endpoint, discovery);
    let first = Forwarder::start(&folder);
    assert_eq!(first.submit("orders", "order-1"), 202);
    wait_for(&calls, "order-1");
    assert_eq!(first.submit("status", "status-1"), 202);
    first.kill();
    is_available.store(true, Ordering::SeqCst);
    let second = Forwarder::start(&folder);
    assert!(wait_for(&notifications, "order-1").contains(r#"{"id":"order-1","state":"failed"}"#));
    let retried_call = wait_for(&calls, "status-1");
    assert!(retried_call.ends_with("\n\nbody of status-1"), "{retried_call}");
    assert_eq!(second.submit("orders", "order-2"), 202);
    let next_call = wait_for(&calls, "order-");
    assert!(next_call.contains("order-2"), "the first order is not sent again: {next_call}");
    second.kill();
    std::fs::remove_dir_all(&folder).expect("folder removed");
}

// Guards against a message that is delivered twice because its client retried it, before or after a restart.
#[test]
fn repeated_id_is_one_message_across_a_restart() {
    let (endpoint, calls) = scripted_server(|_| Some("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"));
    let (discovery, _notifications) = fake_discovery();
    let folder = folder_with_config("twice", endpoint, discovery);
    let first = Forwarder::start(&folder);
    assert_eq!((first.submit("orders", "a"), first.submit("orders", "a")), (202, 202));
    wait_for(&calls, "x-txn: a");
    first.kill();
    let second = Forwarder::start(&folder);
    assert_eq!((second.submit("orders", "a"), second.submit("status", "b")), (202, 202));
    assert!(wait_for(&calls, "x-txn: ").contains("x-txn: b"));
    second.kill();
    std::fs::remove_dir_all(&folder).expect("folder removed");
}

// Guards against a shutdown that ends with a failure status, or that ends while a client can still be served.
#[test]
fn sigterm_shuts_down_gracefully() {
    let (endpoint, calls) = scripted_server(|_| Some("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"));
    let (discovery, _notifications) = fake_discovery();
    let folder = folder_with_config("stop", endpoint, discovery);
    let mut forwarder = Forwarder::start(&folder);
    assert_eq!(forwarder.request("GET /healthz HTTP/1.1", "").0, 200);
    forwarder.signal("TERM");
    // An open connection delays the shutdown, and new connections are served meanwhile.
    let _client = TcpStream::connect(forwarder.address).expect("new connections are still accepted");
    assert_eq!(forwarder.submit("status", "late"), 202);
    wait_for(&calls, "late");
    assert!(forwarder.child.wait().expect("process exited").success());
    std::fs::remove_dir_all(&folder).expect("folder removed");
}

// Guards against idle connections that keep out new clients or use up the file descriptors. Half of the 64 descriptors
// allowed here are for clients.
#[test]
fn idle_connections_make_room_for_new_ones() {
    let (discovery, _notifications) = fake_discovery();
    let folder = folder_with_config("crowd", discovery, discovery);
    let path = folder.join("config.json");
    let text =
        std::fs::read_to_string(&path).expect("file read").replace("\"sockets\":1024", "\"sockets\":64");
    std::fs::write(&path, text).expect("file written");
    let forwarder = Forwarder::start(&folder);
    let idle: Vec<_> = (0..80).map(|_| TcpStream::connect(forwarder.address).expect("connected")).collect();
    assert_eq!(forwarder.submit("status", "a"), 202);
    drop(idle);
    forwarder.kill();
    std::fs::remove_dir_all(&folder).expect("folder removed");
}

// Guards against a panic, or a connection that is closed without an answer, after an invalid request.
#[test]
fn invalid_requests_get_their_status() {
    let (discovery, _notifications) = fake_discovery();
    let folder = folder_with_config("bad", discovery, discovery);
    let forwarder = Forwarder::start(&folder);
    let head = |class: &str, dest: &str| {
        format!(
            "POST /{class} HTTP/1.1\r\nX-Txn: t\r\nX-Org: acme\r\nX-Remaining: 1\r\nX-Consignee: dest={dest}"
        )
    };
    for (request, body, status) in [
        ("POST /status HTTP/1.1".to_owned(), "x", 400),
        (head("status", "x"), "x", 400),
        (head("parcels", "2"), "x", 404),
        (head("status", "99"), "x", 422),
        (head("status", "2"), &"x".repeat(65_537), 413),
        ("GET /status HTTP/1.1".to_owned(), "", 405),
        ("NONSENSE".to_owned(), "", 400),
        ("GET /healthz HTTP/1.1".to_owned(), "", 200),
    ] {
        assert_eq!(forwarder.request(&request, body).0, status, "{request}");
    }
    forwarder.kill();
    std::fs::remove_dir_all(&folder).expect("folder removed");
}

// Guards against a panic or many lines of output for an invalid configuration, instead of one line that names the
// fault.
#[test]
fn invalid_configuration_is_named_in_one_line() {
    let (discovery, _notifications) = fake_discovery();
    let folder = folder_with_config("config", discovery, discovery);
    let path = folder.join("config.json");
    let good = std::fs::read_to_string(&path).expect("file read");
    let run = |command: &str, text: Option<&str>| -> Output {
        let _ = std::fs::remove_file(&path);
        text.into_iter().for_each(|text| std::fs::write(&path, text).expect("file written"));
        let mut program = Command::new(env!("CARGO_BIN_EXE_orchidyoke"));
        program.arg(command).arg("--config").arg(&path);
        if command == "serve" {
            program.arg("--state").arg(folder.join("nowhere"));
        }
        program.output().expect("program finished")
    };
    assert!(run("check", Some(&good)).status.success());
    let cases = [
        (None, "No such file"),
        (Some("{".to_owned()), "EOF"),
        (Some(good.replace("\"slots\":6", "\"slots\":0")), "family_info.slots"),
        (Some(good.replace("\"listen\":\"127.0.0.1:0\"", "\"listen\":\"here\"")), "listen: not an address"),
        (Some(good.replace("8c1f30d27a5be964", "seedy")), "seed: not hex digits"),
        (Some(good.replace("\"disk_mb\":0.2", "\"disk_mb\":0")), "disk_mb"),
    ];
    for (text, words) in &cases {
        let output = run("check", text.as_deref());
        let error = String::from_utf8_lossy(&output.stderr);
        assert!(
            !output.status.success() && error.contains(words) && error.lines().count() == 1,
            "{words}: {error}"
        );
    }
    let output = run("serve", Some(&good));
    assert!(!output.status.success(), "the state folder does not exist");
    std::fs::remove_dir_all(&folder).expect("folder removed");
}

// Guards against a SIGHUP that ends the program, which is the signal's default action. Also guards against an invalid
// file that is applied partly, and against notifications that still go to the previous address. The reloaded address
// of discovery replaces the one from the command line.
#[test]
fn sighup_applies_a_valid_configuration_and_ignores_an_invalid_one() {
    let (endpoint, _calls) =
        scripted_server(|_| Some("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"));
    let (old, old_requests) = fake_discovery();
    let (new, new_requests) = fake_discovery();
    let folder = folder_with_config("reload", endpoint, old);
    let path = folder.join("config.json");
    let good = std::fs::read_to_string(&path).expect("file read");
    let mut forwarder = Forwarder::start_with(&folder, &["--discovery", &old.to_string()]);
    wait_for(&old_requests, "GET /v1/servers?follow=1");
    for bad in [Some("{"), None] {
        std::fs::remove_file(&path).expect("file removed");
        bad.into_iter().for_each(|text| std::fs::write(&path, text).expect("file written"));
        forwarder.signal("HUP");
        wait_for(&forwarder.log, "the old one stays in use");
    }
    std::fs::write(&path, good.replace(&old.to_string(), &new.to_string())).expect("file written");
    forwarder.signal("HUP");
    wait_for(&new_requests, "GET /v1/servers?follow=1");
    assert_eq!(forwarder.submit("orders", "a"), 202);
    wait_for(&new_requests, r#"{"id":"a","state":"failed"}"#);
    assert!(old_requests.try_iter().all(|request| !request.contains("outcomes")));
    assert!(forwarder.child.try_wait().expect("process status").is_none(), "the program continues to run");
    forwarder.kill();
    std::fs::remove_dir_all(&folder).expect("folder removed");
}

/// Sends a text on a new connection, then `filler_bytes` more at full speed. Returns everything received until the
/// connection is closed.
fn send_malformed_request(address: SocketAddr, text: &str, filler_bytes: usize) -> String {
    let mut stream = TcpStream::connect(address).expect("connected");
    stream.set_read_timeout(Some(TIMEOUT)).expect("read timeout set");
    stream.write_all(text.as_bytes()).expect("bytes sent");
    let mut sending = stream.try_clone().expect("socket cloned");
    let sender = thread::spawn(move || {
        let chunk = [b'a'; 60_000];
        (0..filler_bytes / chunk.len()).all(|_| sending.write_all(&chunk).is_ok())
    });
    let mut received = Vec::new();
    let mut chunk = [0; 1024];
    while let Ok(count @ 1..) = stream.read(&mut chunk) {
        received.extend_from_slice(&chunk[..count]);
    }
    let sent = sender.join().expect("sending thread finished");
    assert!(
        sent || filler_bytes != 60_000_000,
        "the client can send to the end, so that no reset overtakes its answer"
    );
    String::from_utf8_lossy(&received).into_owned()
}

// Guards against malformed requests that hold a connection for ever, get no answer, or smuggle a request that only one
// end sees. Also guards against any of them reaching an endpoint. Each read here ends because the forwarder closes the
// connection.
#[test]
fn malformed_requests_are_rejected_and_closed() {
    let (endpoint, calls) = scripted_server(|_| Some("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"));
    let (discovery, _notifications) = fake_discovery();
    let folder = folder_with_config("rude", endpoint, discovery);
    let forwarder = Forwarder::start(&folder);
    let head =
        "POST /status HTTP/1.1\r\nX-Txn: bad\r\nX-Org: acme\r\nX-Remaining: 5\r\nX-Consignee: dest=2\r\n";
    let hidden = "POST /status HTTP/1.1\r\nX-Txn: hidden\r\nX-Org: acme\r\nX-Remaining: 5\r\n\
        X-Consignee: dest=2\r\nContent-Length: 0\r\n\r\n";
    let length_and_chunked = format!(
        "Content-Length: {}\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n{hidden}",
        hidden.len() + 5
    );
    let chunked_and_length =
        format!("Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n{hidden}");
    let cases = [
        (String::new(), 0, ""),
        ("POST /sta".to_owned(), 0, "503"),
        (format!("{head}Content-Length: 100\r\n\r\nhalf"), 0, "408"),
        (format!("{head}Content-Length: -5\r\n\r\n"), 0, "400"),
        (format!("{head}Content-Length: 99999999999999999999999\r\n\r\n"), 0, "400"),
        (format!("{head}Content-Length: 60000000\r\n\r\n"), 60_000_000, "413"),
        (format!("{head}X-Fill: "), 600_000, "431"),
        (format!("{head}{length_and_chunked}"), 0, "411"),
        (format!("{head}{chunked_and_length}"), 0, "411"),
        (format!("GET /healthz HTTP/1.1\r\n{length_and_chunked}"), 0, "411"),
        ("\u{1}\u{2} noise\r\n\r\n".to_owned(), 0, "400"),
        (format!("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\nnoise\r\n\r\n{hidden}"), 0, "200"),
    ];
    thread::scope(|scope| {
        for (text, filler_bytes, status) in &cases {
            let address = forwarder.address;
            scope.spawn(move || {
                let received = send_malformed_request(address, text, *filler_bytes);
                assert_eq!(received.split(' ').nth(1).unwrap_or_default(), *status, "{text}: {received}");
                assert!(received.matches("HTTP/1.1 202").count() == 0, "{text}: {received}");
            });
        }
    });
    assert_eq!(forwarder.submit("status", "good"), 202);
    let first = wait_for(&calls, "x-txn");
    assert!(first.contains("x-txn: good"), "a malformed request was forwarded: {first}");
    forwarder.kill();
    std::fs::remove_dir_all(&folder).expect("folder removed");
}

/// Starts a process beside others, on a listening socket that it inherits as file descriptor 4. Returns the process and
/// the address of its console.
fn start_beside(folder: &Path, listener: &TcpListener) -> (Forwarder, SocketAddr) {
    let socket = std::os::fd::OwnedFd::from(listener.try_clone().expect("socket cloned"));
    let mut child = Command::new("sh")
        .args([
            "-c",
            "exec 4<&0 </dev/null; exec \"$0\" serve --config \"$1/config.json\" --state \"$1/state\"",
        ])
        .arg(env!("CARGO_BIN_EXE_orchidyoke"))
        .arg(folder)
        .envs([("EDGE_FD", "4"), ("EDGE_CONSOLE", "127.0.0.1:0")])
        .stdin(socket)
        .stderr(Stdio::piped())
        .spawn()
        .expect("program started");
    let mut lines =
        BufReader::new(child.stderr.take().expect("piped standard error")).lines().map_while(Result::ok);
    let mut logged_address = |words: &str| {
        let address = lines.find_map(|line| line.split_once(words).map(|(_, rest)| rest.to_owned()));
        address.expect(words).parse().expect("valid address")
    };
    let address = logged_address("listens on ");
    let console = logged_address("console at ");
    let (sender, log) = channel();
    thread::spawn(move || lines.for_each(|line| drop(sender.send(line))));
    (Forwarder { child, address, log }, console)
}

/// Sends one request line to a console and returns the reply.
fn ask_console(console: SocketAddr, line: &str) -> String {
    let mut stream = TcpStream::connect(console).expect("connected");
    stream.set_read_timeout(Some(TIMEOUT)).expect("read timeout set");
    stream.write_all(format!("{line}\n").as_bytes()).expect("bytes sent");
    let mut reply = String::new();
    stream.read_to_string(&mut reply).expect("reply read");
    reply
}

fn metric(stat: &str, name: &str) -> u64 {
    let value = stat.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    value.unwrap_or_else(|| panic!("{name} in {stat}")).parse().expect("valid count")
}

/// Submits orders, each on a new connection, for as long as `running` is `true`. Each order has to be accepted. Returns
/// their number.
fn submit_while(running: &AtomicBool, address: SocketAddr) -> usize {
    let mut number = 0;
    while running.load(Ordering::SeqCst) {
        let head = format!(
            "POST /orders HTTP/1.1\r\nHost: x\r\nX-Txn: load-{number}.\r\nX-Org: acme\r\nX-Remaining: 20\r\n\
             X-Consignee: dest=2\r\nConnection: close\r\nContent-Length: 1\r\n\r\nx"
        );
        let mut stream = TcpStream::connect(address).expect("connected, no connection refused");
        stream.set_read_timeout(Some(TIMEOUT)).expect("read timeout set");
        stream.write_all(head.as_bytes()).expect("bytes sent");
        let mut answer = String::new();
        stream.read_to_string(&mut answer).expect("answer read, no connection reset");
        assert!(answer.starts_with("HTTP/1.1 202"), "load-{number}: {answer}");
        number += 1;
    }
    number
}

// Guards against a message that is lost, delivered twice or rejected while a process is replaced under load, twice in a
// row. Also guards against a persistent connection that is closed without notice, and against an endpoint disabled by
// an operator that the successor enables again.
#[test]
fn upgrade_under_load_loses_and_repeats_no_message() {
    let (endpoint, calls) = scripted_server(|_| {
        thread::sleep(Duration::from_millis(3));
        Some("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
    });
    let (discovery, notifications) = fake_discovery();
    let folder = folder_with_config("upgrade", endpoint, discovery);
    std::fs::create_dir_all(folder.join("state")).expect("folder created");
    let listener = TcpListener::bind("127.0.0.1:0").expect("listener bound");
    let (mut predecessor, mut console) = start_beside(&folder, &listener);
    assert!(ask_console(console, "ready").starts_with("200 "));
    assert!(ask_console(console, "disable-server s-d").starts_with("200 "));
    assert!(ask_console(console, "disable-server s-unknown").starts_with("400 "));
    let running = Arc::new(AtomicBool::new(true));
    let load_running = running.clone();
    let address = predecessor.address;
    let load = thread::spawn(move || submit_while(&load_running, address));
    for upgrade in 0..2 {
        let request = |txn: &str| {
            format!(
                "POST /orders HTTP/1.1\r\nHost: x\r\nX-Txn: {txn}-{upgrade}.\r\nX-Org: acme\r\nX-Remaining: 20\r\n\
                 X-Consignee: dest=2\r\nContent-Length: 1\r\n\r\nx"
            )
        };
        let mut persistent = BufReader::new(TcpStream::connect(address).expect("connected"));
        persistent.get_mut().write_all(request("first").as_bytes()).expect("bytes sent");
        assert!(read_request(&mut persistent).expect("answer received").0.starts_with("HTTP/1.1 202"));
        let (successor, successor_console) = start_beside(&folder, &listener);
        assert!(
            ask_console(successor_console, "ready").starts_with("200 "),
            "the successor takes clients before the predecessor is terminated"
        );
        predecessor.signal("TERM");
        wait_for(&predecessor.log, "handed off to the successor");
        persistent.get_mut().write_all(request("last").as_bytes()).expect("bytes sent");
        let (status, headers, _) = read_request(&mut persistent).expect("answer received");
        assert!(
            status.starts_with("HTTP/1.1 202") && headers.contains("connection: close"),
            "{status} {headers}"
        );
        assert!(predecessor.child.wait().expect("process exited").success());
        wait_for(&successor.log, "this one begins attempts");
        predecessor = successor;
        console = successor_console;
    }
    running.store(false, Ordering::SeqCst);
    let count = load.join().expect("every request was accepted");
    let expected_count = count + 4;
    let mut delivered = std::collections::BTreeMap::<String, usize>::new();
    while delivered.len() < expected_count {
        let call = wait_for(&calls, "x-txn: ");
        let txn = call.lines().find_map(|line| line.strip_prefix("x-txn: ")).expect("x-txn header");
        *delivered.entry(txn.to_owned()).or_default() += 1;
    }
    let stat = loop {
        let stat = ask_console(console, "show-stat");
        if metric(&stat, "app_concurrent") == 0 {
            break stat;
        }
    };
    assert!(stat.starts_with("200 ") && stat.ends_with("\nEOF\n"), "{stat}");
    assert!(
        metric(&stat, "app_success{type=\"orders\"}") > 0
            && metric(&stat, "app_success{type=\"status\"}") == 0
    );
    assert_eq!((metric(&stat, "app_targets"), metric(&stat, "app_targets_disabled")), (4, 1));
    assert!(
        calls.try_iter().next().is_none() && delivered.values().all(|times| *times == 1),
        "{delivered:?}"
    );
    assert!(
        notifications.try_iter().all(|request| !request.contains("outcomes")),
        "no message failed or was rejected"
    );
    assert!(ask_console(console, "enable-server s-d").starts_with("200 "));
    let files = std::fs::read_dir(folder.join("state")).expect("folder read");
    let names = files.map(|file| file.expect("file read").file_name().into_string().expect("valid name"));
    let journals: Vec<String> = names.filter(|name| name != "ids.lock").collect();
    assert_eq!(journals.len(), 1, "one journal is left: {journals:?}");
    predecessor.kill();
    std::fs::remove_dir_all(&folder).expect("folder removed");
}

// Guards against a message that the predecessor of an upgrade accepts and that nobody delivers, because the successor has
// accepted its id for another client. The predecessor has handed off and answers on the connections that are open.
#[test]
fn one_id_sent_to_both_processes_is_accepted_for_one_client() {
    // The call to the endpoint stays out, so that the predecessor goes on running.
    let (endpoint, calls) = scripted_server(|_| {
        thread::sleep(Duration::from_millis(1_500));
        Some("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
    });
    let (discovery, _notifications) = fake_discovery();
    let folder = folder_with_config("shared-id", endpoint, discovery);
    std::fs::create_dir_all(folder.join("state")).expect("folder created");
    let listener = TcpListener::bind("127.0.0.1:0").expect("listener bound");
    let (mut predecessor, _) = start_beside(&folder, &listener);
    let address = predecessor.address;
    let request = |txn: &str, body: &str| {
        format!(
            "POST /orders HTTP/1.1\r\nHost: x\r\nX-Txn: {txn}.\r\nX-Org: acme\r\nX-Remaining: 20\r\n\
             X-Consignee: dest=2\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )
    };
    let submit = |connection: &mut BufReader<TcpStream>, text: &str| {
        connection.get_mut().write_all(text.as_bytes()).expect("bytes sent");
        read_request(connection).expect("answer received").0
    };
    let connect = || {
        let stream = TcpStream::connect(address).expect("connected");
        stream.set_nodelay(true).expect("TCP_NODELAY set");
        BufReader::new(stream)
    };
    let mut persistent = connect();
    assert!(submit(&mut persistent, &request("first", "x")).starts_with("HTTP/1.1 202"));
    wait_for(&calls, "x-txn: first.");
    let (successor, _) = start_beside(&folder, &listener);
    predecessor.signal("TERM");
    wait_for(&predecessor.log, "handed off to the successor");
    // Which client is first depends on when the predecessor reads the first part. One of them is accepted, the other
    // one gets the error, and what is accepted is delivered.
    let (usual, other) = ("of the usual client", "of another client");
    let whole = request("shared", usual);
    let (start, rest) = whole.split_at(whole.len() - 5);
    persistent.get_mut().write_all(start.as_bytes()).expect("bytes sent");
    let answers = [submit(&mut connect(), &request("shared", other)), submit(&mut persistent, rest)];
    let accepted = answers.each_ref().map(|answer| answer.starts_with("HTTP/1.1 202"));
    let rejected = answers.each_ref().map(|answer| answer.starts_with("HTTP/1.1 503"));
    assert!(
        accepted[0] == rejected[1] && accepted[1] == rejected[0] && accepted[0] != accepted[1],
        "{answers:?}"
    );
    let delivered = if accepted[1] { usual } else { other };
    assert!(wait_for(&calls, "x-txn: shared.").ends_with(delivered), "{answers:?}");
    assert!(predecessor.child.wait().expect("process exited").success());
    successor.kill();
    std::fs::remove_dir_all(&folder).expect("folder removed");
}

/// Sends a request on a new connection, split at these bytes, and returns the answer.
fn send_in_pieces(address: SocketAddr, text: &str, split_offsets: &[usize]) -> String {
    let mut stream = TcpStream::connect(address).expect("connected");
    stream.set_nodelay(true).expect("TCP_NODELAY set");
    stream.set_read_timeout(Some(TIMEOUT)).expect("read timeout set");
    let mut from = 0;
    for to in split_offsets.iter().copied().chain([text.len()]) {
        stream.write_all(&text.as_bytes()[from..to]).expect("bytes sent");
        // The pause makes the pieces arrive separately. No result depends on it.
        thread::sleep(Duration::from_millis(1));
        from = to;
    }
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("answer read");
    answer
}

// Guards against a request that is misread, rejected or lost because it arrives in pieces. Requests are split at each
// of their bytes and at pairs of bytes. Also guards against connections that stop in the middle of a request and keep
// other clients out.
#[test]
fn request_split_at_any_byte_is_accepted() {
    let (endpoint, calls) = scripted_server(|_| Some("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"));
    let (discovery, _notifications) = fake_discovery();
    let folder = folder_with_config("pieces", endpoint, discovery);
    let forwarder = Forwarder::start(&folder);
    let request = |number: usize| {
        format!(
            "POST /status HTTP/1.1\r\nHost: x\r\nX-Txn: {number:04}\r\nX-Org: acme\r\nX-Remaining: 7\r\n\
             X-Consignee: dest=2\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody"
        )
    };
    let length = request(0).len();
    let single = (1..length).map(|offset| vec![offset]);
    let pairs = (1..length)
        .step_by(7)
        .flat_map(|offset| (offset + 1..length).step_by(31).map(move |to| vec![offset, to]));
    let all_splits: Vec<Vec<usize>> = single.chain(pairs).collect();
    let stalled: Vec<TcpStream> = (1..60)
        .map(|offset| {
            let mut stream = TcpStream::connect(forwarder.address).expect("connected");
            stream.write_all(&request(9999).as_bytes()[..offset]).expect("bytes sent");
            stream
        })
        .collect();
    let address = forwarder.address;
    thread::scope(|scope| {
        for (part, split_offsets) in all_splits.chunks(all_splits.len().div_ceil(8)).enumerate() {
            let first = part * all_splits.len().div_ceil(8);
            scope.spawn(move || {
                for (number, split_offsets) in split_offsets.iter().enumerate() {
                    let text = request(first + number);
                    let answer = send_in_pieces(address, &text, split_offsets);
                    assert!(
                        answer.starts_with("HTTP/1.1 202") || answer.starts_with("HTTP/1.1 503"),
                        "{split_offsets:?}: {answer}"
                    );
                }
            });
        }
    });
    let first = wait_for(&calls, "x-txn: ");
    assert!(first.ends_with("body") && !first.contains("9999"), "{first}");
    drop(stalled);
    forwarder.kill();
    std::fs::remove_dir_all(&folder).expect("folder removed");
}

//! The program itself on loopback sockets, across kills and stops. The far ends are a few lines each; every
//! wait is for something that has to come, with a long time-out only so that a failure ends.

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

const PATIENCE: Duration = Duration::from_secs(20);

/// Reads one request: its first line, its headers in small letters, its body. None at the end.
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

/// Serves requests on loopback: each is sent to the test, and answered with what `answer` gives; nothing leaves
/// it unanswered on an open connection.
fn far_end(
    answer: impl Fn(&str) -> Option<&'static str> + Send + Sync + 'static,
) -> (SocketAddr, Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let (sender, receiver) = channel();
    let (answer, held) = (Arc::new(answer), Arc::new(Mutex::new(Vec::new())));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (answer, held, sender): (_, _, Sender<String>) =
                (answer.clone(), held.clone(), sender.clone());
            thread::spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().expect("a socket"));
                let mut stream = stream;
                while let Some((line, headers, body)) = read_request(&mut reader) {
                    let _ = sender.send(format!("{line}\n{headers}\n\n{}", String::from_utf8_lossy(&body)));
                    match answer(&line) {
                        Some(text) if stream.write_all(text.as_bytes()).is_ok() => {}
                        _ => return held.lock().expect("a list").push(stream),
                    }
                }
            });
        }
    });
    (address, receiver)
}

/// The platform: a watch that stays open without news, and notices that are accepted.
fn platform() -> (SocketAddr, Receiver<String>) {
    far_end(|line| match line {
        _ if line.starts_with("POST /v1/outcomes") => Some("HTTP/1.1 204 No Content\r\n\r\n"),
        _ => Some("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\n\n\r\n"),
    })
}

struct Forwarder {
    child: Child,
    address: SocketAddr,
    /// Its log from then on.
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
            .expect("the program starts");
        let mut lines = BufReader::new(child.stderr.take().expect("a pipe")).lines().map_while(Result::ok);
        let address = lines.find_map(|line| line.split_once("listens on ").map(|(_, a)| a.to_owned()));
        let address = address.expect("it listens").parse().expect("an address");
        let (sender, log) = channel();
        thread::spawn(move || lines.for_each(|line| drop(sender.send(line))));
        Forwarder { child, address, log }
    }

    fn signal(&self, name: &str) {
        let kill = format!("kill -{name} {}", self.child.id());
        assert!(Command::new("sh").args(["-c", &kill]).status().expect("a shell").success());
    }

    fn kill(mut self) {
        self.child.kill().expect("running");
        self.child.wait().expect("ended");
    }

    /// Sends one request on a connection of its own; gives the status and the whole answer.
    fn ask(&self, request: &str, body: &str) -> (u16, String) {
        let mut stream = TcpStream::connect(self.address).expect("it takes connections");
        stream.set_read_timeout(Some(PATIENCE)).expect("a socket");
        let head =
            format!("{request}\r\nHost: x\r\nConnection: close\r\nContent-Length: {}\r\n\r\n", body.len());
        stream.write_all((head + body).as_bytes()).expect("written");
        let mut text = String::new();
        stream.read_to_string(&mut text).expect("answered");
        (text.split(' ').nth(1).and_then(|status| status.parse().ok()).expect("a status"), text)
    }

    fn hand_in(&self, class: &str, txn: &str) -> u16 {
        let head = format!(
            "POST /{class} HTTP/1.1\r\nX-Txn: {txn}\r\nX-Org: acme\r\nX-Remaining: 7.5\r\nX-Consignee: dest=2"
        );
        self.ask(&head, &format!("body of {txn}")).0
    }
}

/// A folder of its own with a configuration in it: destination 2 has one endpoint, at `hop`.
fn folder(name: &str, hop: SocketAddr, platform: SocketAddr) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("orchidyoke-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let mut targets = common::targets();
    targets[2].address = hop;
    let text = common::config("127.0.0.1:0", &platform.to_string(), targets);
    std::fs::write(folder.join("config.json"), text).expect("written");
    folder
}

fn next(receiver: &Receiver<String>, word: &str) -> String {
    loop {
        let text = receiver.recv_timeout(PATIENCE).unwrap_or_else(|_| panic!("{word} has to come"));
        if text.contains(word) {
            return text;
        }
    }
}

// Guards against an order that takes effect twice, and against a message forgotten, when the process is killed
// with both out: the order's end is a notice, the status goes out again as it came.
#[test]
fn a_kill_forgets_nothing_and_repeats_no_order() {
    let up = Arc::new(AtomicBool::new(false));
    let seen_up = up.clone();
    let (hop, calls) = far_end(move |_| {
        seen_up.load(Ordering::SeqCst).then_some("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
    });
    let (platform, notices) = platform();
    let folder = folder("kill", hop, platform);
    let first = Forwarder::start(&folder);
    assert_eq!(first.hand_in("orders", "order-1"), 202);
    next(&calls, "order-1");
    assert_eq!(first.hand_in("status", "status-1"), 202);
    first.kill();
    up.store(true, Ordering::SeqCst);
    let second = Forwarder::start(&folder);
    assert!(next(&notices, "order-1").contains(r#"{"id":"order-1","state":"failed"}"#));
    let again = next(&calls, "status-1");
    assert!(again.ends_with("\n\nbody of status-1"), "{again}");
    assert_eq!(second.hand_in("orders", "order-2"), 202);
    let then = next(&calls, "order-");
    assert!(then.contains("order-2"), "the first order is not sent again: {then}");
    second.kill();
    std::fs::remove_dir_all(&folder).expect("cleans up");
}

// Guards against a message sent twice because its client sent it once more, before a restart or after.
#[test]
fn the_same_id_is_one_message() {
    let (hop, calls) = far_end(|_| Some("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"));
    let (platform, _notices) = platform();
    let folder = folder("twice", hop, platform);
    let first = Forwarder::start(&folder);
    assert_eq!((first.hand_in("orders", "a"), first.hand_in("orders", "a")), (202, 202));
    next(&calls, "x-txn: a");
    first.kill();
    let second = Forwarder::start(&folder);
    assert_eq!((second.hand_in("orders", "a"), second.hand_in("status", "b")), (202, 202));
    assert!(next(&calls, "x-txn: ").contains("x-txn: b"));
    second.kill();
    std::fs::remove_dir_all(&folder).expect("cleans up");
}

// Guards against an exit that counts as a crash, or that comes while a client could still be served.
#[test]
fn sigterm_ends_it_in_order() {
    let (hop, calls) = far_end(|_| Some("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"));
    let (platform, _notices) = platform();
    let folder = folder("stop", hop, platform);
    let mut forwarder = Forwarder::start(&folder);
    assert_eq!(forwarder.ask("GET /healthz HTTP/1.1", "").0, 200);
    forwarder.signal("TERM");
    // An open connection holds it up, and is served.
    let _client = TcpStream::connect(forwarder.address).expect("new connections are still answered");
    assert_eq!(forwarder.hand_in("status", "late"), 202);
    next(&calls, "late");
    assert!(forwarder.child.wait().expect("ends").success());
    std::fs::remove_dir_all(&folder).expect("cleans up");
}

// Guards against clients shut out, or descriptors used up, by connections that stand idle: of the 64 descriptors
// allowed here, half are for clients.
#[test]
fn idle_clients_make_room_for_others() {
    let (platform, _notices) = platform();
    let folder = folder("crowd", platform, platform);
    let path = folder.join("config.json");
    let text = std::fs::read_to_string(&path).expect("written").replace("\"sockets\":1024", "\"sockets\":64");
    std::fs::write(&path, text).expect("written");
    let forwarder = Forwarder::start(&folder);
    let crowd: Vec<_> = (0..80).map(|_| TcpStream::connect(forwarder.address).expect("taken")).collect();
    assert_eq!(forwarder.hand_in("status", "a"), 202);
    drop(crowd);
    forwarder.kill();
    std::fs::remove_dir_all(&folder).expect("cleans up");
}

// Guards against a panic, or a connection closed without an answer, on what a client got wrong.
#[test]
fn bad_requests_get_plain_answers() {
    let (platform, _notices) = platform();
    let folder = folder("bad", platform, platform);
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
        assert_eq!(forwarder.ask(&request, body).0, status, "{request}");
    }
    forwarder.kill();
    std::fs::remove_dir_all(&folder).expect("cleans up");
}

// Guards against a panic or a page of text where one line says what is wrong with the configuration.
#[test]
fn a_bad_configuration_is_named_in_one_line() {
    let (platform, _notices) = platform();
    let folder = folder("config", platform, platform);
    let path = folder.join("config.json");
    let good = std::fs::read_to_string(&path).expect("written");
    let run = |command: &str, text: Option<&str>| -> Output {
        let _ = std::fs::remove_file(&path);
        text.into_iter().for_each(|text| std::fs::write(&path, text).expect("written"));
        let mut program = Command::new(env!("CARGO_BIN_EXE_orchidyoke"));
        program.arg(command).arg("--config").arg(&path);
        if command == "serve" {
            program.arg("--state").arg(folder.join("nowhere"));
        }
        program.output().expect("it ends")
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
    assert!(!output.status.success(), "no folder to keep the journal in");
    std::fs::remove_dir_all(&folder).expect("cleans up");
}

// Guards against SIGHUP ending the program, as it does where nobody takes it, against a broken file taken half, and
// against notices that still go to the address before. What was given on the command line is superseded.
#[test]
fn sighup_takes_a_good_file_and_leaves_a_bad_one() {
    let (hop, _calls) = far_end(|_| Some("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"));
    let ((old, old_asked), (new, new_asked)) = (platform(), platform());
    let folder = folder("reload", hop, old);
    let path = folder.join("config.json");
    let good = std::fs::read_to_string(&path).expect("written");
    let mut forwarder = Forwarder::start_with(&folder, &["--discovery", &old.to_string()]);
    next(&old_asked, "GET /v1/servers?follow=1");
    for bad in [Some("{"), None] {
        std::fs::remove_file(&path).expect("there");
        bad.into_iter().for_each(|text| std::fs::write(&path, text).expect("written"));
        forwarder.signal("HUP");
        next(&forwarder.log, "the old one stays in use");
    }
    std::fs::write(&path, good.replace(&old.to_string(), &new.to_string())).expect("written");
    forwarder.signal("HUP");
    next(&new_asked, "GET /v1/servers?follow=1");
    assert_eq!(forwarder.hand_in("orders", "a"), 202);
    next(&new_asked, r#"{"id":"a","state":"failed"}"#);
    assert!(old_asked.try_iter().all(|asked| !asked.contains("outcomes")));
    assert!(forwarder.child.try_wait().expect("a child").is_none(), "it goes on");
    forwarder.kill();
    std::fs::remove_dir_all(&folder).expect("cleans up");
}

/// Sends this on a connection of its own, then perhaps so much more at full speed, and reads to the end.
fn bad_client(address: SocketAddr, text: &str, more: usize) -> String {
    let mut stream = TcpStream::connect(address).expect("it takes connections");
    stream.set_read_timeout(Some(PATIENCE)).expect("a socket");
    stream.write_all(text.as_bytes()).expect("written");
    let mut sending = stream.try_clone().expect("a socket");
    let sender = thread::spawn(move || {
        let chunk = [b'a'; 60_000];
        (0..more / chunk.len()).all(|_| sending.write_all(&chunk).is_ok())
    });
    let mut heard = Vec::new();
    let mut chunk = [0; 1024];
    while let Ok(count @ 1..) = stream.read(&mut chunk) {
        heard.extend_from_slice(&chunk[..count]);
    }
    let sent = sender.join().expect("it sends");
    assert!(sent || more != 60_000_000, "it is let send to the end, so that no reset overtakes its answer");
    String::from_utf8_lossy(&heard).into_owned()
}

// Guards against clients that hold a connection for ever, are never told, or hide a request where only one end sees
// it; and against any of it reaching a next hop. Each read here ends by the forwarder's close, in any case.
#[test]
fn what_cannot_be_read_is_refused_and_closed() {
    let (hop, calls) = far_end(|_| Some("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"));
    let (platform, _notices) = platform();
    let folder = folder("rude", hop, platform);
    let forwarder = Forwarder::start(&folder);
    let head =
        "POST /status HTTP/1.1\r\nX-Txn: bad\r\nX-Org: acme\r\nX-Remaining: 5\r\nX-Consignee: dest=2\r\n";
    let hidden = "POST /status HTTP/1.1\r\nX-Txn: hidden\r\nX-Org: acme\r\nX-Remaining: 5\r\n\
        X-Consignee: dest=2\r\nContent-Length: 0\r\n\r\n";
    let both = format!(
        "Content-Length: {}\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n{hidden}",
        hidden.len() + 5
    );
    let other = format!("Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n{hidden}");
    let cases = [
        (String::new(), 0, ""),
        ("POST /sta".to_owned(), 0, ""),
        (format!("{head}Content-Length: 100\r\n\r\nhalf"), 0, "408"),
        (format!("{head}Content-Length: -5\r\n\r\n"), 0, "400"),
        (format!("{head}Content-Length: 99999999999999999999999\r\n\r\n"), 0, "400"),
        (format!("{head}Content-Length: 60000000\r\n\r\n"), 60_000_000, "413"),
        (format!("{head}X-Fill: "), 600_000, "431"),
        (format!("{head}{both}"), 0, "411"),
        (format!("{head}{other}"), 0, "411"),
        (format!("GET /healthz HTTP/1.1\r\n{both}"), 0, "411"),
        ("\u{1}\u{2} noise\r\n\r\n".to_owned(), 0, "400"),
        (format!("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\nnoise\r\n\r\n{hidden}"), 0, "200"),
    ];
    thread::scope(|scope| {
        for (text, more, status) in &cases {
            let address = forwarder.address;
            scope.spawn(move || {
                let heard = bad_client(address, text, *more);
                assert_eq!(heard.split(' ').nth(1).unwrap_or_default(), *status, "{text}: {heard}");
                assert!(heard.matches("HTTP/1.1 202").count() == 0, "{text}: {heard}");
            });
        }
    });
    assert_eq!(forwarder.hand_in("status", "good"), 202);
    let first = next(&calls, "x-txn");
    assert!(first.contains("x-txn: good"), "none of theirs goes on: {first}");
    forwarder.kill();
    std::fs::remove_dir_all(&folder).expect("cleans up");
}

/// A process beside others: whoever starts it holds the clients' socket and hands it down as descriptor 4.
fn start_beside(folder: &Path, held: &TcpListener) -> (Forwarder, SocketAddr) {
    let socket = std::os::fd::OwnedFd::from(held.try_clone().expect("a socket"));
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
        .expect("the program starts");
    let mut lines = BufReader::new(child.stderr.take().expect("a pipe")).lines().map_while(Result::ok);
    let mut told = |words: &str| {
        let at = lines.find_map(|line| line.split_once(words).map(|(_, at)| at.to_owned()));
        at.expect(words).parse().expect("an address")
    };
    let (address, console) = (told("listens on "), told("console at "));
    let (sender, log) = channel();
    thread::spawn(move || lines.for_each(|line| drop(sender.send(line))));
    (Forwarder { child, address, log }, console)
}

/// Makes one call at a console.
fn operate(console: SocketAddr, call: &str) -> String {
    let mut stream = TcpStream::connect(console).expect("it takes callers");
    stream.set_read_timeout(Some(PATIENCE)).expect("a socket");
    stream.write_all(format!("{call}\n").as_bytes()).expect("written");
    let mut reply = String::new();
    stream.read_to_string(&mut reply).expect("a reply");
    reply
}

fn figure(stat: &str, name: &str) -> u64 {
    let value = stat.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    value.unwrap_or_else(|| panic!("{name} in {stat}")).parse().expect("a count")
}

// Guards against a message lost, sent twice or refused while a process is replaced under load, twice in a row; against
// a kept connection that is closed without a word; and against an endpoint out by hand that comes back with the new one.
#[test]
fn a_process_is_replaced_under_load_and_nobody_notices() {
    let (hop, calls) = far_end(|_| {
        thread::sleep(Duration::from_millis(3));
        Some("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
    });
    let (platform, notices) = platform();
    let folder = folder("upgrade", hop, platform);
    std::fs::create_dir_all(folder.join("state")).expect("a folder");
    let held = TcpListener::bind("127.0.0.1:0").expect("a port");
    let (mut elder, mut console) = start_beside(&folder, &held);
    assert!(operate(console, "ready").starts_with("200 "));
    assert!(operate(console, "disable-server s-d").starts_with("200 "));
    assert!(operate(console, "disable-server s-unknown").starts_with("400 "));
    let going_on = Arc::new(AtomicBool::new(true));
    let (client, address) = (going_on.clone(), elder.address);
    let load = thread::spawn(move || {
        let mut number = 0;
        while client.load(Ordering::SeqCst) {
            let head = format!(
                "POST /orders HTTP/1.1\r\nHost: x\r\nX-Txn: load-{number}.\r\nX-Org: acme\r\nX-Remaining: 20\r\n\
                 X-Consignee: dest=2\r\nConnection: close\r\nContent-Length: 1\r\n\r\nx"
            );
            let mut stream = TcpStream::connect(address).expect("no connection is refused");
            stream.set_read_timeout(Some(PATIENCE)).expect("a socket");
            stream.write_all(head.as_bytes()).expect("written");
            let mut answer = String::new();
            stream.read_to_string(&mut answer).expect("none is reset or left unread");
            assert!(answer.starts_with("HTTP/1.1 202"), "load-{number}: {answer}");
            number += 1;
        }
        number
    });
    for upgrade in 0..2 {
        let request = |txn: &str| {
            format!(
                "POST /orders HTTP/1.1\r\nHost: x\r\nX-Txn: {txn}-{upgrade}.\r\nX-Org: acme\r\nX-Remaining: 20\r\n\
                 X-Consignee: dest=2\r\nContent-Length: 1\r\n\r\nx"
            )
        };
        let mut kept = BufReader::new(TcpStream::connect(address).expect("taken"));
        kept.get_mut().write_all(request("first").as_bytes()).expect("written");
        assert!(read_request(&mut kept).expect("an answer").0.starts_with("HTTP/1.1 202"));
        let (newcomer, at) = start_beside(&folder, &held);
        assert!(operate(at, "ready").starts_with("200 "), "it takes clients before the elder is told to end");
        elder.signal("TERM");
        next(&elder.log, "messages handed over");
        kept.get_mut().write_all(request("last").as_bytes()).expect("written");
        let (status, headers, _) = read_request(&mut kept).expect("an answer");
        assert!(
            status.starts_with("HTTP/1.1 202") && headers.contains("connection: close"),
            "{status} {headers}"
        );
        assert!(elder.child.wait().expect("ends").success());
        next(&newcomer.log, "this one goes on");
        (elder, console) = (newcomer, at);
    }
    going_on.store(false, Ordering::SeqCst);
    let count = load.join().expect("every request was taken on");
    let all = count + 4;
    let mut delivered = std::collections::BTreeMap::<String, usize>::new();
    while delivered.len() < all {
        let call = next(&calls, "x-txn: ");
        let txn = call.lines().find_map(|line| line.strip_prefix("x-txn: ")).expect("an id");
        *delivered.entry(txn.to_owned()).or_default() += 1;
    }
    let stat = loop {
        let stat = operate(console, "show-stat");
        if figure(&stat, "app_concurrent") == 0 {
            break stat;
        }
    };
    assert!(stat.starts_with("200 ") && stat.ends_with("\nEOF\n"), "{stat}");
    assert!(
        figure(&stat, "app_success{type=\"orders\"}") > 0
            && figure(&stat, "app_success{type=\"status\"}") == 0
    );
    assert_eq!((figure(&stat, "app_targets"), figure(&stat, "app_targets_disabled")), (4, 1));
    assert!(
        calls.try_iter().next().is_none() && delivered.values().all(|times| *times == 1),
        "{delivered:?}"
    );
    assert!(notices.try_iter().all(|asked| !asked.contains("outcomes")), "none was failed or handed back");
    assert!(operate(console, "enable-server s-d").starts_with("200 "));
    assert_eq!(std::fs::read_dir(folder.join("state")).expect("a folder").count(), 1, "one journal is left");
    elder.kill();
    std::fs::remove_dir_all(&folder).expect("cleans up");
}

// Guards against a request that is misread, refused or lost because it came in pieces: cut at each of its bytes, and at
// pairs of them; and against connections that fall quiet in the middle and keep out those that go on.
#[test]
fn a_request_may_come_cut_at_any_byte() {
    let (hop, calls) = far_end(|_| Some("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"));
    let (platform, _notices) = platform();
    let folder = folder("pieces", hop, platform);
    let forwarder = Forwarder::start(&folder);
    let request = |number: usize| {
        format!(
            "POST /status HTTP/1.1\r\nHost: x\r\nX-Txn: {number:04}\r\nX-Org: acme\r\nX-Remaining: 7\r\n\
             X-Consignee: dest=2\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody"
        )
    };
    let length = request(0).len();
    let single = (1..length).map(|cut| vec![cut]);
    let pairs =
        (1..length).step_by(7).flat_map(|cut| (cut + 1..length).step_by(31).map(move |to| vec![cut, to]));
    let all: Vec<Vec<usize>> = single.chain(pairs).collect();
    let quiet: Vec<TcpStream> = (1..60)
        .map(|cut| {
            let mut stream = TcpStream::connect(forwarder.address).expect("taken");
            stream.write_all(&request(9999).as_bytes()[..cut]).expect("written");
            stream
        })
        .collect();
    let address = forwarder.address;
    thread::scope(|scope| {
        for (part, cuts) in all.chunks(all.len().div_ceil(8)).enumerate() {
            let first = part * all.len().div_ceil(8);
            scope.spawn(move || {
                for (number, cuts) in cuts.iter().enumerate() {
                    let text = request(first + number);
                    let mut stream = TcpStream::connect(address).expect("taken");
                    stream.set_nodelay(true).expect("a socket");
                    stream.set_read_timeout(Some(PATIENCE)).expect("a socket");
                    let ends = cuts.iter().copied().chain([text.len()]);
                    ends.fold(0, |from, to| {
                        stream.write_all(&text.as_bytes()[from..to]).expect("written");
                        // Only so that the pieces do not travel together; nothing hangs on it.
                        thread::sleep(Duration::from_millis(1));
                        to
                    });
                    let mut answer = String::new();
                    stream.read_to_string(&mut answer).expect("an answer");
                    assert!(
                        answer.starts_with("HTTP/1.1 202") || answer.starts_with("HTTP/1.1 503"),
                        "{cuts:?}: {answer}"
                    );
                }
            });
        }
    });
    let first = next(&calls, "x-txn: ");
    assert!(first.ends_with("body") && !first.contains("9999"), "{first}");
    drop(quiet);
    forwarder.kill();
    std::fs::remove_dir_all(&folder).expect("cleans up");
}

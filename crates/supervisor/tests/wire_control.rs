//! Protects what is said at a supervisor's control address: the calls, and both sides of the replies.

use orchidyoke_supervisor::control::{Call, CallError, Refusal, Shown, call, is_name, parse, show};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread::{self, JoinHandle};
use std::time::Duration;

const PATIENCE: Duration = Duration::from_secs(20);
const SHOWN: &str = include_str!("fixtures/wire/shown.json");
const BARE: &str = include_str!("fixtures/wire/shown_bare.json");

fn shown() -> Shown {
    Shown {
        release: "v1.2-rc3".to_owned(),
        place: 1,
        settled: true,
        restarts: 5,
        refused: Some(Refusal { release: "v1.3".to_owned(), why: "it was not ready".to_owned() }),
        pid: Some(4711),
    }
}

fn bare() -> Shown {
    Shown { place: 0, settled: false, restarts: 0, refused: None, pid: None, ..shown() }
}

#[test]
fn calls_to_a_supervisor_are_read_as_before() {
    assert_eq!(parse("show"), Ok(Call::Show));
    assert_eq!(parse("upgrade v1.2_rc3+a"), Ok(Call::Upgrade("v1.2_rc3+a".to_owned())));
    let no_name = Err("a release is the name of a file in the folder of releases");
    assert_eq!(parse("upgrade ../v1"), no_name);
    assert_eq!(parse("upgrade .v1"), no_name);
    for line in ["", "SHOW", "show all", "upgrade", "upgrade a b", "ready"] {
        assert_eq!(parse(line), Err("unknown: show, or upgrade RELEASE"), "{line}");
    }
    assert!(is_name("v1.2_rc3+a") && !is_name("") && !is_name("a b"));
}

#[test]
fn what_a_supervisor_shows_is_written_and_read_as_before() {
    for (text, expected) in [(SHOWN, shown()), (BARE, bare())] {
        assert_eq!(serde_json::to_string(&expected).expect("JSON") + "\n", text);
        assert_eq!(serde_json::from_str::<Shown>(text).expect("read"), expected);
    }
}

/// A far end that gives one caller this reply; its address, and the line that the caller said.
fn far_end(reply: String) -> (SocketAddr, JoinHandle<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = listener.local_addr().expect("bound");
    let said = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a caller");
        let mut line = String::new();
        BufReader::new(stream.try_clone().expect("a socket")).read_line(&mut line).expect("a line");
        stream.write_all(reply.as_bytes()).expect("written");
        line
    });
    (at, said)
}

#[test]
fn a_caller_says_its_line_and_reads_the_reply_as_before() {
    let (at, said) = far_end(format!("200 {SHOWN}"));
    assert_eq!(show(at, PATIENCE).expect("shown"), shown());
    assert_eq!(said.join().expect("a line"), "show\n");
    let (at, said) = far_end("200 upgrading\n".to_owned());
    assert_eq!(call(at, "upgrade v1.3", PATIENCE).expect("done"), "upgrading");
    assert_eq!(said.join().expect("a line"), "upgrade v1.3\n");
    let (at, _) = far_end("400 there is no such release\n".to_owned());
    let no = call(at, "upgrade v1.3", PATIENCE);
    assert!(matches!(&no, Err(CallError::No(why)) if why == "there is no such release"), "{no:?}");
    let (at, _) = far_end("404 what\n".to_owned());
    assert!(matches!(call(at, "show", PATIENCE), Err(CallError::Garbled(_))));
}

//! Tests that the control protocol keeps its wire format: the request lines, and the replies on both sides.

use orchidyoke_supervisor::client::{CallError, call, status};
use orchidyoke_supervisor::protocol::{FailedUpgrade, Request, SupervisorStatus, is_release_name};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread::{self, JoinHandle};
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(20);
const STATUS: &str = include_str!("fixtures/wire/shown.json");
const BARE_STATUS: &str = include_str!("fixtures/wire/shown_bare.json");

fn full_status() -> SupervisorStatus {
    SupervisorStatus {
        release: "v1.2-rc3".to_owned(),
        slot: 1,
        settled: true,
        restarts: 5,
        failed_upgrade: Some(FailedUpgrade {
            release: "v1.3".to_owned(),
            reason: "it was not ready".to_owned(),
        }),
        pid: Some(4711),
    }
}

fn bare_status() -> SupervisorStatus {
    SupervisorStatus {
        slot: 0,
        settled: false,
        restarts: 0,
        failed_upgrade: None,
        pid: None,
        ..full_status()
    }
}

/// Parses a request line. Returns a rejection as its text on the wire.
fn parse(line: &str) -> Result<Request, String> {
    Request::parse(line).map_err(|reason| reason.to_string())
}

#[test]
fn request_lines_keep_their_wire_format() {
    assert_eq!(parse("show"), Ok(Request::Status));
    assert_eq!(parse("upgrade v1.2_rc3+a"), Ok(Request::Upgrade("v1.2_rc3+a".to_owned())));
    let invalid_name = Err("a release is the name of a file in the folder of releases".to_owned());
    assert_eq!(parse("upgrade ../v1"), invalid_name);
    assert_eq!(parse("upgrade .v1"), invalid_name);
    for line in ["", "SHOW", "show all", "upgrade", "upgrade a b", "ready"] {
        assert_eq!(parse(line), Err("unknown: show, or upgrade RELEASE".to_owned()), "{line}");
    }
    assert!(is_release_name("v1.2_rc3+a") && !is_release_name("") && !is_release_name("a b"));
}

#[test]
fn status_keeps_its_wire_format() {
    for (text, expected) in [(STATUS, full_status()), (BARE_STATUS, bare_status())] {
        assert_eq!(serde_json::to_string(&expected).expect("status written as JSON") + "\n", text);
        assert_eq!(serde_json::from_str::<SupervisorStatus>(text).expect("status parsed"), expected);
    }
}

/// Starts a fake supervisor that gives one caller this reply. Returns its address and the line that the caller sent.
fn scripted_supervisor(reply: String) -> (SocketAddr, JoinHandle<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("listener bound");
    let address = listener.local_addr().expect("address of the listener");
    let sent = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("connection accepted");
        let mut line = String::new();
        BufReader::new(stream.try_clone().expect("socket cloned")).read_line(&mut line).expect("line read");
        stream.write_all(reply.as_bytes()).expect("reply written");
        line
    });
    (address, sent)
}

#[test]
fn client_keeps_its_request_lines_and_reply_parsing() {
    let (address, sent) = scripted_supervisor(format!("200 {STATUS}"));
    assert_eq!(status(address, TIMEOUT).expect("status received"), full_status());
    assert_eq!(sent.join().expect("line of the caller"), "show\n");
    let upgrade = Request::Upgrade("v1.3".to_owned());
    let (address, sent) = scripted_supervisor("200 upgrading\n".to_owned());
    assert_eq!(call(address, &upgrade, TIMEOUT).expect("upgrade accepted"), "upgrading");
    assert_eq!(sent.join().expect("line of the caller"), "upgrade v1.3\n");
    let (address, _) = scripted_supervisor("400 there is no such release\n".to_owned());
    let rejected = call(address, &upgrade, TIMEOUT);
    assert!(
        matches!(&rejected, Err(CallError::Rejected { reason, .. }) if reason == "there is no such release"),
        "{rejected:?}"
    );
    let (address, _) = scripted_supervisor("404 what\n".to_owned());
    assert!(matches!(call(address, &Request::Status, TIMEOUT), Err(CallError::InvalidReply { .. })));
}

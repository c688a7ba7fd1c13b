//! Tests of the control protocol: request lines, reject reasons and the JSON form of the status.

use orchidyoke_supervisor::protocol::{FailedUpgrade, RejectReason, Request, SupervisorStatus, is_busy};

/// Replies to a status request, one per line. They must not change, because the caller may be of another version.
const STATUS_REPLIES: &str = include_str!("fixtures/shown.jsonl");

// Guards against a release name that makes the supervisor start a program outside the folder of releases.
#[test]
fn upgrade_request_accepts_only_plain_release_names() {
    assert_eq!(Request::parse("upgrade v1.2-rc3"), Ok(Request::Upgrade("v1.2-rc3".into())));
    assert_eq!(Request::parse("show\r"), Ok(Request::Status));
    for line in
        ["upgrade ../sh", "upgrade /bin/sh", "upgrade .hidden", "upgrade ..", "upgrade a/b", "upgrade"]
    {
        assert!(Request::parse(line).is_err(), "{line}");
    }
    assert!(
        Request::parse("upgrade a b").is_err()
            && Request::parse("").is_err()
            && Request::parse("show me").is_err()
    );
}

// Guards against a renamed key, because operators' scripts and rollouts of other versions read the status.
#[test]
fn status_keeps_its_form_on_the_wire() {
    let failed = FailedUpgrade { release: "v2".into(), reason: "exit status: 1".into() };
    let status = SupervisorStatus {
        release: "v1".into(),
        slot: 1,
        settled: true,
        restarts: 3,
        failed_upgrade: Some(failed),
        pid: Some(4711),
    };
    let line = r#"{"release":"v1","place":1,"settled":true,"restarts":3,"refused":{"release":"v2","why":"exit status: 1"},"pid":4711}"#;
    assert_eq!(serde_json::to_string(&status).unwrap(), line);
    assert_eq!(serde_json::from_str::<SupervisorStatus>(line).unwrap(), status);
}

// Guards against a request line or a reject reason that a peer of another version no longer understands.
#[test]
fn requests_and_reject_reasons_keep_their_lines() {
    assert_eq!(Request::Status.to_line(), "show");
    assert_eq!(Request::Upgrade("v2".into()).to_line(), "upgrade v2");
    let busy = RejectReason::Busy.to_string();
    assert_eq!(busy, "busy: another process still stands beside the one that serves");
    assert!(is_busy(&busy) && !is_busy(&RejectReason::ReleaseNotFound.to_string()));
    assert_eq!(RejectReason::ReleaseNotFound.to_string(), "there is no such release");
    assert_eq!(RejectReason::UnknownRequest.to_string(), "unknown: show, or upgrade RELEASE");
    assert_eq!(RejectReason::ShuttingDown.to_string(), "the supervisor ends");
}

fn statuses() -> [SupervisorStatus; 2] {
    let failed_upgrade =
        Some(FailedUpgrade { release: "v2".to_owned(), reason: "it ended: \"x\"".to_owned() });
    let full = SupervisorStatus {
        release: "v1".to_owned(),
        slot: 1,
        settled: true,
        restarts: 3,
        failed_upgrade,
        pid: Some(17),
    };
    let bare = SupervisorStatus {
        slot: 0,
        settled: false,
        restarts: 0,
        failed_upgrade: None,
        pid: None,
        ..full.clone()
    };
    [full, bare]
}

#[test]
fn status_replies_of_the_previous_version_are_read_and_written() {
    let lines: Vec<&str> = STATUS_REPLIES.lines().collect();
    let texts = statuses().map(|status| serde_json::to_string(&status).expect("status written as JSON"));
    assert_eq!(lines, texts);
    let read: Vec<SupervisorStatus> =
        lines.iter().map(|line| serde_json::from_str(line).expect("status parsed")).collect();
    assert_eq!(read, statuses());
}

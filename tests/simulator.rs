//! Tests of the simulator's adapter as a process: its input, its output and its error messages for malformed lines.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const OPTIONS: &str = r#"{"az": "a", "zones": ["a", "b"], "classes": [{"credit": 1.0, "effect": "retryable", "group": "all", "hard_limit_us": 6000000, "late_share": 0.1, "name": "reading", "on_time_us": 1500000, "streamed": false, "window_us": 0}], "family_info": {"batch_by_kind": [1], "own_limits": [false], "loses_worth": "halving", "slots": 4, "toll": []}, "host_types": ["plain"], "fleet_size": 1, "limits": {"max_open": 50, "multiplex": 1, "retry_after": true, "try_limit": 4, "max_retry_after_us": 3000000, "idle_close_us": 5000000}, "registry_mode": "pushed", "rules": {"answer_slack_us": 20000, "fall_multiple": 2, "tip_after_us": 2000000, "cold_from": 0.2, "warm_within_us": 12000000}, "tick_us": 5000, "weights": "rough", "new_key": {"x": [1]}}"#;

fn run(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_orchidyoke-simulator"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // The adapter may stop reading at a malformed line.
    let _ = child.stdin.take().expect("a pipe").write_all(input.as_bytes());
    child.wait_with_output().expect("the adapter ends")
}

fn text(bytes: &[u8]) -> &str {
    std::str::from_utf8(bytes).expect("text")
}

fn hello(instance: u32) -> String {
    format!(
        "HELLO forwarder_id={instance} nonce64=99 extra=1 options={OPTIONS}\n\
         CENSUS sheet=0 nodes_list=1\n\
         TARGET target=10.0.0.1:80 dc=a model=plain destination=3 state=on weight=4 colour=red\n\
         TOPOLOGY forwarder_id={instance} seq_no=1 sheet=0 form=C\n"
    )
}

fn work_item(instance: u32, id: &str) -> String {
    format!("WORK_ITEM forwarder_id={instance} id={id} profile=reading patience_left_us=6000000 dest=3\n")
}

#[test]
fn empty_batch_is_acknowledged_and_end_of_input_is_no_error() {
    let output = run("BATCH sim_time_us=8412250 serial=1\nEND\n");
    assert_eq!(text(&output.stdout), "ACK serial=1\n");
    assert!(output.status.success() && output.stderr.is_empty());
}

#[test]
fn rejected_message_is_sent_again_after_its_retry_after() {
    let input = format!(
        "BATCH sim_time_us=1000 serial=1\n{}{}END\nBATCH serial=2 sim_time_us=200000\n\
         DONE forwarder_id=3 id=m1 copy=0 target=10.0.0.1:80 result=2 cost_time_us=5 hold_ms=400\nEND\n\
         BATCH sim_time_us=6800000 serial=3\nELAPSED forwarder_id=3 handle=1\nEND\n",
        hello(3),
        work_item(3, "m1").replace("6000000", "20000000")
    );
    let output = run(&input);
    let lines: Vec<&str> = text(&output.stdout).lines().collect();
    let sends: Vec<usize> = (0..lines.len()).filter(|index| lines[*index].starts_with("ATTEMPT ")).collect();
    assert_eq!(sends.len(), 2, "{lines:?}");
    assert!(
        lines[sends[0]].contains("forwarder_id=3 id=m1") && lines[sends[0]].contains("target=10.0.0.1:80")
    );
    let second = lines.iter().position(|line| *line == "ACK serial=2").expect("the second reply");
    assert!(sends[0] < second && second < sends[1], "the second attempt waits for the Retry-After of 400 ms");
}

#[test]
fn retired_instance_is_removed_and_its_list_number_reused_in_one_batch() {
    let input = format!(
        "BATCH sim_time_us=1000 serial=1\n{}CENSUS sheet=0 nodes_list=1\n\
         TARGET target=10.0.0.2:80 dc=a model=plain destination=3 state=on\n\
         TOPOLOGY forwarder_id=1 seq_no=2 sheet=0 form=F\n{}RETIRE forwarder_id=1\n{}{}END\n",
        hello(1),
        work_item(1, "old"),
        hello(1),
        work_item(1, "new")
    );
    let output = run(&input);
    let reply = text(&output.stdout);
    assert!(!reply.contains("id=old"), "a message of the retired instance is sent: {reply}");
    assert!(reply.contains("id=new") && reply.contains("target=10.0.0.1:80"), "{reply}");
    let input = input.replace("RETIRE forwarder_id=1\n", "");
    assert!(run(&input).status.success());
}

#[test]
fn large_batch_gets_one_reply() {
    let mut input = format!("BATCH sim_time_us=1000 serial=1\n{}", hello(1));
    for number in 0..5000 {
        input.push_str(&work_item(1, &format!("m{number}")));
    }
    input.push_str("END\n");
    let output = run(&input);
    assert!(output.status.success());
    let reply = text(&output.stdout);
    assert_eq!(reply.matches("ACK").count(), 1);
    assert!(reply.matches("SHED").count() >= 4950, "at most max_open messages are queued");
}

#[test]
fn malformed_line_is_reported_with_its_number_and_field() {
    let start = format!("BATCH sim_time_us=1000 serial=1\n{}", hello(1));
    let cases = [
        (
            format!("{start}WORK_ITEM forwarder_id=1 profile=reading patience_left_us=1 dest=3\n"),
            "line 6: id: missing",
        ),
        (
            format!("{start}WORK_ITEM forwarder_id=1 id=x profile=reading patience_left_us=soon dest=3\n"),
            "line 6: patience_left_us",
        ),
        (format!("{start}DANCE forwarder_id=1\n"), "line 6: DANCE: unknown event"),
        (format!("{start}ELAPSED forwarder_id=1 ???\n"), "line 6: ???"),
        (format!("{start}BATCH sim_time_us=1 serial=2\n"), "line 6: BATCH"),
        (format!("{start}DONE forwarder_id=1 id=x target=t result=42\n"), "line 6: result"),
        (format!("{start}TOPOLOGY forwarder_id=1 seq_no=1 sheet=7 form=D\n"), "line 6: sheet"),
        ("ELAPSED forwarder_id=1 handle=1\n".to_owned(), "line 1: ELAPSED: outside a batch"),
        ("END\n".to_owned(), "line 1: END: outside a batch"),
        ("BATCH serial=1\n".to_owned(), "line 1: sim_time_us: missing"),
        (
            "BATCH sim_time_us=1 serial=1\nHELLO forwarder_id=1 nonce64=1 options={\"classes\": 5}\n"
                .to_owned(),
            "line 2: options",
        ),
        (
            "BATCH sim_time_us=1 serial=1\nHELLO forwarder_id=1 nonce64=1 options={\n".to_owned(),
            "line 2: options",
        ),
        (
            "BATCH sim_time_us=1 serial=1\nELAPSED forwarder_id=8 handle=1\n".to_owned(),
            "line 2: forwarder_id",
        ),
        ("BATCH sim_time_us=1 serial=1\n".to_owned(), "END is missing"),
    ];
    for (input, expected) in cases {
        let output = run(&input);
        let error = text(&output.stderr);
        assert!(!output.status.success(), "{expected}");
        assert!(
            error.contains(expected) && error.lines().count() == 1,
            "expected {expected:?}, got {error:?}"
        );
        assert!(output.stdout.is_empty(), "standard output has a line for malformed input");
    }
}

//! Tests that the plan file keeps its format, which covers the key and the parsed value of each field. Also tests that
//! the progress records keep theirs, because a rollout of another release resumes from them.

use orchidyoke_rollout::Plan;
use orchidyoke_rollout::analysis::Criteria;
use orchidyoke_rollout::plan::{Change, ConsoleAddresses, PlannedForwarder};
use orchidyoke_rollout::progress::ProgressRecord;
use serde_json::json;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

const RECORDS: &str = include_str!("fixtures/wire/records.jsonl");

fn read(name: &str) -> Plan {
    Plan::read(&Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/wire").join(name))
        .expect("plan read")
}

fn address_with_port(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

#[test]
fn plan_fields_are_read_by_their_names() {
    let plan = read("settings_plan.json");
    let first = PlannedForwarder {
        name: "n1".to_owned(),
        consoles: ConsoleAddresses::Single(address_with_port(8001)),
        config_file: Some("/etc/edge/n1.json".into()),
        pid_file: Some("/run/n1.pid".into()),
        supervisor: None,
    };
    let second = PlannedForwarder {
        name: "n2".to_owned(),
        consoles: ConsoleAddresses::PerSlot([address_with_port(8002), address_with_port(8003)]),
        config_file: Some("/etc/edge/n2.json".into()),
        pid_file: None,
        supervisor: Some(address_with_port(8004)),
    };
    let patch = json!({"limits": {"try_limit": 3}});
    let expected = Plan {
        forwarders: vec![first, second],
        settings_patch: Some(patch.clone()),
        release: None,
        stages: vec!["1".to_owned(), "100%".to_owned()],
        warm_up_ms: Some(11),
        bake_ms: 12,
        max_bake_ms: 13,
        poll_interval_ms: 14,
        criteria: Criteria { margin: 0.15, z_score: 1.6, min_finished: 17, latency_ratio: 1.8 },
    };
    assert_eq!(plan, expected);
    assert_eq!(plan.change().expect("valid plan"), Change::Settings(patch));
    assert_eq!(plan.stage_sizes().expect("valid plan"), [1, 2]);
}

#[test]
fn omitted_plan_fields_take_their_defaults() {
    let plan = read("release_plan.json");
    assert_eq!(plan.change().expect("valid plan"), Change::Release("v1.3".to_owned()));
    assert_eq!(
        (plan.poll_interval_ms, plan.warm_up_ms, plan.warm_up()),
        (1000, None, Duration::from_secs(5))
    );
    assert_eq!(
        plan.criteria,
        Criteria { margin: 0.02, z_score: 2.33, min_finished: 200, latency_ratio: 2.0 }
    );
}

// Guards against a changed digest, because a rollout is resumed only if its progress record has the digest of the plan.
#[test]
fn plan_digest_stays_the_same() {
    let digests =
        format!("{}\n{}\n", read("settings_plan.json").digest(), read("release_plan.json").digest());
    assert_eq!(digests, include_str!("fixtures/wire/digests.txt"));
}

#[test]
fn progress_records_keep_their_stored_format() {
    let name = || "n1".to_owned();
    let records = [
        ProgressRecord::Started { plan_digest: "5be2".to_owned() },
        ProgressRecord::ChangeStarted(name()),
        ProgressRecord::ChangeApplied(name()),
        ProgressRecord::StagePassed(0),
        ProgressRecord::Stopped("overload share".to_owned()),
        ProgressRecord::RollbackStarted(name()),
        ProgressRecord::RolledBack(name()),
        ProgressRecord::Completed,
    ];
    let line = |record| serde_json::to_string(record).expect("record written as JSON") + "\n";
    let written: String = records.iter().map(line).collect();
    assert_eq!(written, RECORDS);
    let read: Vec<ProgressRecord> =
        RECORDS.lines().map(|line| serde_json::from_str(line).expect("record parsed")).collect();
    assert_eq!(read, records);
}

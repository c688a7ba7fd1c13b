//! Protects the plan of a rollout as a file, the name of each field and what becomes of it, and the record that a tool of
//! another release goes on from.

use orchidyoke_rollout::Plan;
use orchidyoke_rollout::judge::Criteria;
use orchidyoke_rollout::plan::{Change, Consoles, Member};
use orchidyoke_rollout::progress::Record;
use serde_json::json;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

const RECORDS: &str = include_str!("fixtures/wire/records.jsonl");

fn read(name: &str) -> Plan {
    Plan::read(&Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/wire").join(name)).expect("a plan")
}

fn at(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

#[test]
fn each_field_of_a_plan_is_read_by_its_name() {
    let plan = read("settings_plan.json");
    let one = Member {
        name: "n1".to_owned(),
        console: Consoles::One(at(8001)),
        config: Some("/etc/edge/n1.json".into()),
        pid_file: Some("/run/n1.pid".into()),
        control: None,
    };
    let two = Member {
        name: "n2".to_owned(),
        console: Consoles::InTurn([at(8002), at(8003)]),
        config: Some("/etc/edge/n2.json".into()),
        pid_file: None,
        control: Some(at(8004)),
    };
    let patch = json!({"limits": {"try_limit": 3}});
    let expected = Plan {
        forwarders: vec![one, two],
        settings_patch: Some(patch.clone()),
        release: None,
        stages: vec!["1".to_owned(), "100%".to_owned()],
        warm_up_ms: Some(11),
        bake_ms: 12,
        max_bake_ms: 13,
        poll_ms: 14,
        criteria: Criteria { margin: 0.15, z: 1.6, min_ended: 17, latency_ratio: 1.8 },
    };
    assert_eq!(plan, expected);
    assert_eq!(plan.change().expect("one"), Change::Settings(patch));
    assert_eq!(plan.counts().expect("sound"), [1, 2]);
}

#[test]
fn what_a_plan_leaves_out_is_read_as_before() {
    let plan = read("release_plan.json");
    assert_eq!(plan.change().expect("one"), Change::Release("v1.3".to_owned()));
    assert_eq!((plan.poll_ms, plan.warm_up_ms, plan.warm_up()), (1000, None, Duration::from_secs(5)));
    assert_eq!(plan.criteria, Criteria { margin: 0.02, z: 2.33, min_ended: 200, latency_ratio: 2.0 });
}

/// A rollout that was cut short goes on only where its record bears the digest of the plan.
#[test]
fn the_digest_of_a_plan_stays_the_same() {
    let digests =
        format!("{}\n{}\n", read("settings_plan.json").digest(), read("release_plan.json").digest());
    assert_eq!(digests, include_str!("fixtures/wire/digests.txt"));
}

#[test]
fn records_of_a_rollout_are_written_and_read_as_before() {
    let name = || "n1".to_owned();
    let records = [
        Record::Began { plan: "5be2".to_owned() },
        Record::Changing(name()),
        Record::Changed(name()),
        Record::Passed(0),
        Record::Stopped("overload share".to_owned()),
        Record::TakingBack(name()),
        Record::TakenBack(name()),
        Record::Done,
    ];
    let line = |record| serde_json::to_string(record).expect("JSON") + "\n";
    let written: String = records.iter().map(line).collect();
    assert_eq!(written, RECORDS);
    let read: Vec<Record> =
        RECORDS.lines().map(|line| serde_json::from_str(line).expect("a record")).collect();
    assert_eq!(read, records);
}

//! Tests that a rollout begun by an earlier version can be resumed. The earlier version's plans and progress records
//! are read with every field, the same records are written as the same lines, and a plan still has the digest that its
//! progress file holds.

use orchidyoke_rollout::analysis::Criteria;
use orchidyoke_rollout::change::saved_state_path;
use orchidyoke_rollout::plan::{Change, ConsoleAddresses, Plan, PlannedForwarder};
use orchidyoke_rollout::progress::{Progress, ProgressRecord, Step};
use orchidyoke_rollout::progress_file::ProgressFile;
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

const PROGRESS_FILE: &str = include_str!("fixtures/rollout.jsonl");
/// Digests of the two plans, one per line.
const DIGESTS: &str = include_str!("fixtures/digests");

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name)
}

fn plan(name: &str) -> Plan {
    Plan::read(&fixture(name)).expect("plan read")
}

fn address(text: &str) -> SocketAddr {
    text.parse().expect("valid address")
}

fn patch() -> Value {
    json!({"settings": {"limits": {"max_open": 5, "try_limit": null}}})
}

/// Returns records of every kind, as the progress file holds them.
fn expected_records() -> Vec<ProgressRecord> {
    let name = |name: &str| name.to_owned();
    let digest = DIGESTS.lines().next().expect("first digest").to_owned();
    vec![
        ProgressRecord::Started { plan_digest: digest },
        ProgressRecord::ChangeStarted(name("f-1")),
        ProgressRecord::ChangeApplied(name("f-1")),
        ProgressRecord::StagePassed(0),
        ProgressRecord::ChangeStarted(name("f \"2\"")),
        ProgressRecord::Stopped(name("worse: \u{e9}")),
        ProgressRecord::RollbackStarted(name("f-1")),
        ProgressRecord::RolledBack(name("f-1")),
        ProgressRecord::Completed,
    ]
}

/// A temporary folder for one test, removed when dropped.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("orchidyoke-{name}-{}", std::process::id()));
        drop(fs::remove_dir_all(&path));
        fs::create_dir_all(&path).expect("folder created");
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        drop(fs::remove_dir_all(&self.0));
    }
}

#[test]
fn records_of_the_previous_version_are_read_field_by_field() {
    let folder = Folder::new("rollout-read");
    fs::write(folder.0.join("rollout.jsonl"), PROGRESS_FILE).expect("progress file written");
    let (file, records) = ProgressFile::open(&folder.0).expect("progress file opened");
    assert_eq!((file.path(), &records), (&*folder.0.join("rollout.jsonl"), &expected_records()));
    let names = |names: &[&str]| names.iter().map(|name| (*name).to_owned()).collect::<BTreeSet<_>>();
    let progress = Progress {
        plan_digest: Some(plan("plan-settings.json").digest()),
        change_started: names(&["f-1", "f \"2\""]),
        changed: names(&["f-1"]),
        stages_passed: 1,
        stop_reason: Some("worse: \u{e9}".to_owned()),
        rolled_back: names(&["f-1"]),
        completed: true,
    };
    assert_eq!(Progress::of(&records), progress);
    let stopped = Progress::of(&records[..records.len() - 1]);
    assert_eq!(stopped.next_step(&["f-1", "f \"2\""], &[1, 2]), Step::RollBack(1), "the rollback continues");
}

#[test]
fn records_are_written_as_the_same_lines() {
    let folder = Folder::new("rollout-written");
    let (mut file, _) = ProgressFile::open(&folder.0).expect("progress file opened");
    expected_records().iter().for_each(|record| file.append(record).expect("record written"));
    assert_eq!(
        fs::read_to_string(folder.0.join("rollout.jsonl")).expect("progress file read"),
        PROGRESS_FILE
    );
}

#[test]
fn settings_plan_is_read_field_by_field() {
    let first = PlannedForwarder {
        name: "f-1".to_owned(),
        consoles: ConsoleAddresses::Single(address("127.0.0.1:7001")),
        config_file: Some("/etc/f-1.json".into()),
        pid_file: Some("/run/f-1.pid".into()),
        supervisor: None,
    };
    let second = PlannedForwarder {
        name: "f-2".to_owned(),
        consoles: ConsoleAddresses::PerSlot([address("127.0.0.1:7002"), address("[::1]:7003")]),
        config_file: Some("f-2.json".into()),
        pid_file: None,
        supervisor: Some(address("127.0.0.1:7004")),
    };
    let plan = plan("plan-settings.json");
    let expected = Plan {
        forwarders: vec![first, second],
        settings_patch: Some(patch()),
        release: None,
        stages: vec!["50%".to_owned(), "all".to_owned()],
        warm_up_ms: Some(250),
        bake_ms: 2000,
        max_bake_ms: 60_000,
        poll_interval_ms: 500,
        criteria: Criteria { margin: 0.05, z_score: 1.5, min_finished: 30, latency_ratio: 3.5 },
    };
    assert_eq!(plan, expected);
    assert_eq!(plan.change().expect("valid plan"), Change::Settings(patch()));
    assert_eq!(
        (plan.stage_sizes().expect("valid plan"), plan.warm_up()),
        (vec![1, 2], Duration::from_millis(250))
    );
}

#[test]
fn release_plan_takes_defaults_for_omitted_keys() {
    let plan = plan("plan-release.json");
    let expected = Plan {
        forwarders: plan.forwarders.clone(),
        settings_patch: None,
        release: Some("v1.2-rc3".to_owned()),
        stages: vec!["1".to_owned(), "all".to_owned()],
        warm_up_ms: None,
        bake_ms: 2000,
        max_bake_ms: 60_000,
        poll_interval_ms: 1000,
        criteria: Criteria { margin: 0.05, z_score: 2.33, min_finished: 200, latency_ratio: 2.0 },
    };
    assert_eq!(plan, expected);
    let [first, second] = &plan.forwarders[..] else { panic!("{:?}", plan.forwarders) };
    assert_eq!(
        (first.supervisor, second.supervisor),
        (Some(address("127.0.0.1:7003")), Some(address("127.0.0.1:7006")))
    );
    assert_eq!(plan.change().expect("valid plan"), Change::Release("v1.2-rc3".to_owned()));
}

#[test]
fn plan_with_an_unknown_key_is_rejected() {
    let text = fs::read_to_string(fixture("plan-release.json")).expect("plan file read");
    for name in ["forwarders", "release", "stages", "bake_ms", "max_bake_ms", "criteria", "margin", "console"]
    {
        let other = text.replace(&format!("{name:?}"), "\"other_name\"");
        assert!(text != other && serde_json::from_str::<Plan>(&other).is_err(), "{name}");
    }
}

#[test]
fn plan_keeps_the_digest_that_the_previous_version_recorded() {
    let digests = ["plan-settings.json", "plan-release.json"].map(|name| plan(name).digest() + "\n");
    assert_eq!(digests.concat(), DIGESTS);
}

#[test]
fn saved_state_keeps_its_file_name() {
    let plan = plan("plan-settings.json");
    assert_eq!(saved_state_path(Path::new("state"), &plan.forwarders[0]), Path::new("state/f-1.before.json"));
}

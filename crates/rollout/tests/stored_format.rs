//! Protects rollouts that were begun by an earlier version of the tool: its plans and its records are read with every
//! field, the same records are written as the same lines, and a plan still has the digest that its record names.

use orchidyoke_rollout::fleet::before_path;
use orchidyoke_rollout::judge::Criteria;
use orchidyoke_rollout::plan::{Change, Consoles, Member, Plan};
use orchidyoke_rollout::progress::{Log, Progress, Record, Step};
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

const LOG: &str = include_str!("fixtures/rollout.jsonl");
/// Digests of the two plans, one a line.
const DIGESTS: &str = include_str!("fixtures/digests");

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name)
}

fn plan(name: &str) -> Plan {
    Plan::read(&fixture(name)).expect("a plan")
}

fn at(text: &str) -> SocketAddr {
    text.parse().expect("an address")
}

fn patch() -> Value {
    json!({"settings": {"limits": {"max_open": 5, "try_limit": null}}})
}

/// Each kind of record.
fn expected() -> Vec<Record> {
    let name = |name: &str| name.to_owned();
    let digest = DIGESTS.lines().next().expect("a digest").to_owned();
    vec![
        Record::Began { plan: digest },
        Record::Changing(name("f-1")),
        Record::Changed(name("f-1")),
        Record::Passed(0),
        Record::Changing(name("f \"2\"")),
        Record::Stopped(name("worse: \u{e9}")),
        Record::TakingBack(name("f-1")),
        Record::TakenBack(name("f-1")),
        Record::Done,
    ]
}

/// A folder of its own, removed at the end.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("orchidyoke-{name}-{}", std::process::id()));
        drop(fs::remove_dir_all(&path));
        fs::create_dir_all(&path).expect("a folder");
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
    fs::write(folder.0.join("rollout.jsonl"), LOG).expect("writes");
    let (log, records) = Log::open(&folder.0).expect("opens");
    assert_eq!((log.path(), &records), (&*folder.0.join("rollout.jsonl"), &expected()));
    let names = |names: &[&str]| names.iter().map(|name| (*name).to_owned()).collect::<BTreeSet<_>>();
    let progress = Progress {
        plan: Some(plan("plan-settings.json").digest()),
        touched: names(&["f-1", "f \"2\""]),
        changed: names(&["f-1"]),
        passed: 1,
        stopped: Some("worse: \u{e9}".to_owned()),
        taken_back: names(&["f-1"]),
        done: true,
    };
    assert_eq!(Progress::of(&records), progress);
    let stopped = Progress::of(&records[..records.len() - 1]);
    assert_eq!(stopped.next(&["f-1", "f \"2\""], &[1, 2]), Step::TakeBack(1), "it goes on from there");
}

#[test]
fn the_same_records_are_written_as_the_same_lines() {
    let folder = Folder::new("rollout-written");
    let (mut log, _) = Log::open(&folder.0).expect("opens");
    expected().iter().for_each(|record| log.write(record).expect("written"));
    assert_eq!(fs::read_to_string(folder.0.join("rollout.jsonl")).expect("read"), LOG);
}

#[test]
fn a_plan_of_settings_is_read_field_by_field() {
    let first = Member {
        name: "f-1".to_owned(),
        console: Consoles::One(at("127.0.0.1:7001")),
        config: Some("/etc/f-1.json".into()),
        pid_file: Some("/run/f-1.pid".into()),
        control: None,
    };
    let second = Member {
        name: "f-2".to_owned(),
        console: Consoles::InTurn([at("127.0.0.1:7002"), at("[::1]:7003")]),
        config: Some("f-2.json".into()),
        pid_file: None,
        control: Some(at("127.0.0.1:7004")),
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
        poll_ms: 500,
        criteria: Criteria { margin: 0.05, z: 1.5, min_ended: 30, latency_ratio: 3.5 },
    };
    assert_eq!(plan, expected);
    assert_eq!(plan.change().expect("sound"), Change::Settings(patch()));
    assert_eq!((plan.counts().expect("sound"), plan.warm_up()), (vec![1, 2], Duration::from_millis(250)));
}

#[test]
fn what_a_plan_of_a_release_leaves_out_has_its_usual_value() {
    let plan = plan("plan-release.json");
    let expected = Plan {
        forwarders: plan.forwarders.clone(),
        settings_patch: None,
        release: Some("v1.2-rc3".to_owned()),
        stages: vec!["1".to_owned(), "all".to_owned()],
        warm_up_ms: None,
        bake_ms: 2000,
        max_bake_ms: 60_000,
        poll_ms: 1000,
        criteria: Criteria { margin: 0.05, z: 2.33, min_ended: 200, latency_ratio: 2.0 },
    };
    assert_eq!(plan, expected);
    let [first, second] = &plan.forwarders[..] else { panic!("{:?}", plan.forwarders) };
    assert_eq!((first.control, second.control), (Some(at("127.0.0.1:7003")), Some(at("127.0.0.1:7006"))));
    assert_eq!(plan.change().expect("sound"), Change::Release("v1.2-rc3".to_owned()));
}

#[test]
fn a_plan_with_a_field_of_another_name_is_refused() {
    let text = fs::read_to_string(fixture("plan-release.json")).expect("read");
    for name in ["forwarders", "release", "stages", "bake_ms", "max_bake_ms", "criteria", "margin", "console"]
    {
        let other = text.replace(&format!("{name:?}"), "\"other_name\"");
        assert!(text != other && serde_json::from_str::<Plan>(&other).is_err(), "{name}");
    }
}

#[test]
fn a_plan_has_the_digest_that_the_previous_version_recorded() {
    let digests = ["plan-settings.json", "plan-release.json"].map(|name| plan(name).digest() + "\n");
    assert_eq!(digests.concat(), DIGESTS);
}

#[test]
fn what_was_there_before_a_change_is_found_under_its_name() {
    let plan = plan("plan-settings.json");
    assert_eq!(before_path(Path::new("state"), &plan.forwarders[0]), Path::new("state/f-1.before.json"));
}

//! Protects what stands at the commit point in Consul and in a forwarder's folder: values that an earlier version wrote
//! are read with every field, and the same values are written as the same text under the same names.

use bytes::Bytes;
use orchidyoke_consul::locks::{Behavior, Locks, Row};
use orchidyoke_fakes::ConsulServer;
use orchidyoke_fakes::TemporaryFolder;
use orchidyoke_fakes::forwarder::ForwarderConfig;
use orchidyoke_forwarder::policy_agent::PolicyAgent;
use orchidyoke_forwarder::policy_overlay::PolicyOverlay;
use orchidyoke_forwarder::reload::Source;
use orchidyoke_policy_commit::commit_point::{
    Member, MemberStatus, NumberedPolicy, Policy, Settings, Vote, digest,
};
use orchidyoke_policy_commit::follow::Follower;
use orchidyoke_policy_commit::propose::Office;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fmt::Debug;
use std::fs;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::unbounded_channel;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{sleep, timeout};

const COMMITTED: &str = include_str!("fixtures/epoch-3.json");
const PROPOSED: &str = include_str!("fixtures/epoch-4.json");
const SILENT: &str = include_str!("fixtures/said-nothing.json");
const AGREES: &str = include_str!("fixtures/said-yes.json");
const REFUSES: &str = include_str!("fixtures/said-no.json");
/// What a commit wrote, with a word in the place of its id, which is that of a session.
const FIRST: &str = include_str!("fixtures/first-commit.json");

const TTL: Duration = Duration::from_secs(10);

const FIRST_POLICY: &str = r#"{"out":["s-1"]}"#;

fn committed() -> NumberedPolicy {
    NumberedPolicy {
        id: "11111111-aaaa-4444-8888-0123456789ab".to_owned(),
        epoch: 3,
        digest: "b806f73458e1fd35".to_owned(),
        policy: "{\"settings\": {\"limits\": {\"max_open\": 5}},\n \"out\": [\"s-1\"]}".to_owned(),
        by: "operator \"\u{e9}\"".to_owned(),
    }
}

fn proposed() -> NumberedPolicy {
    NumberedPolicy {
        id: "22222222-bbbb-4444-8888-0123456789ab".to_owned(),
        epoch: 4,
        digest: "1349cde127705c16".to_owned(),
        policy: "{}".to_owned(),
        by: "o-2".to_owned(),
    }
}

fn silent() -> MemberStatus {
    MemberStatus { epoch: 0, vote: None, refuses: None }
}

fn agrees() -> MemberStatus {
    MemberStatus { epoch: 3, vote: Some(Vote { proposal: proposed().id, no: None }), refuses: None }
}

fn refuses() -> MemberStatus {
    let no = Some("cannot be used: \"x\"".to_owned());
    let vote = Some(Vote { proposal: proposed().id, no });
    MemberStatus { epoch: u64::MAX, vote, refuses: Some("epoch 3 cannot be used".to_owned()) }
}

/// The value is what the text says, and the text is what the value is written as.
fn assert_stored<T: Serialize + DeserializeOwned + PartialEq + Debug>(text: &str, value: &T) {
    assert_eq!(serde_json::from_str::<T>(text).expect("read"), *value);
    assert_eq!(serde_json::to_string(value).expect("written"), text);
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let patience = Duration::from_secs(60);
    runtime.block_on(LocalSet::new().run_until(async { timeout(patience, test).await.expect("in time") }));
}

fn settings(consul: &ConsulServer) -> Settings {
    let consul = orchidyoke_consul::Settings {
        addresses: vec![consul.address()],
        ..orchidyoke_consul::Settings::default()
    };
    Settings { consul, prefix: "fleet/one".to_owned(), name: None, ttl: TTL }
}

fn locks(consul: &ConsulServer) -> Locks {
    Locks::new(Rc::new(settings(consul).consul))
}

/// Writes a key as its holder, and gives the session.
async fn hold(consul: &ConsulServer, key: &str, value: &'static str) -> String {
    let mut locks = locks(consul);
    let session = locks.create("earlier", TTL, Duration::ZERO, Behavior::Delete).await.expect("made");
    assert!(locks.acquire(key, &session, Bytes::from_static(value.as_bytes())).await.expect("asked"));
    session
}

/// All keys and values.
async fn rows(consul: &ConsulServer) -> Vec<Row> {
    locks(consul).look("", 0, Duration::ZERO).await.expect("looked").1
}

/// A forwarder's configuration in a folder of its own.
fn forwarder(name: &str) -> (TemporaryFolder, Rc<Source>) {
    let folder = TemporaryFolder::new(name);
    let setup = ForwarderConfig::new("127.0.0.1:1".parse().expect("an address"));
    let path = folder.write("config.json", &setup.text());
    (folder, Rc::new(Source { path, ..Source::default() }))
}

#[test]
fn numbered_policies_of_the_previous_version_are_read_field_by_field_and_written_back() {
    assert_stored(COMMITTED, &committed());
    assert_stored(PROPOSED, &proposed());
    for numbered in [committed(), proposed()] {
        assert!(numbered.is_whole(), "the digest is that of the text");
        let NumberedPolicy { id, epoch, policy, by, .. } = numbered.clone();
        assert_eq!(NumberedPolicy::new(id, epoch, policy, by), numbered);
    }
    assert_eq!(digest(""), "2d06800538d394c2");
}

#[test]
fn votes_and_member_keys_of_the_previous_version_are_read_field_by_field_and_written_back() {
    assert_stored(SILENT, &silent());
    assert_stored(AGREES, &agrees());
    assert_stored(REFUSES, &refuses());
}

#[test]
fn a_policy_text_of_the_previous_version_is_read_field_by_field() {
    let policy = Policy::read(&committed().policy).expect("a policy");
    let settings = serde_json::json!({"limits": {"max_open": 5}});
    assert_eq!(policy, Policy { settings, out: vec!["s-1".to_owned()] });
    assert_eq!(
        serde_json::to_string(&policy).expect("written"),
        r#"{"settings":{"limits":{"max_open":5}},"out":["s-1"]}"#
    );
    assert_eq!(serde_json::to_string(&Policy::default()).expect("written"), "{}");
}

#[test]
fn a_commit_point_of_the_previous_version_is_found_under_its_keys() {
    run(async {
        let consul = ConsulServer::start();
        hold(&consul, "fleet/one/epoch/committed", COMMITTED).await;
        let proposer = hold(&consul, "fleet/one/epoch/proposal", PROPOSED).await;
        hold(&consul, "fleet/one/members/f1.77", AGREES).await;
        hold(&consul, "fleet/one/members/f2.78", REFUSES).await;
        hold(&consul, "fleet/one/members/f3.79", "not in form").await;
        let (point, members) = Office::new(settings(&consul)).status().await.expect("asked");
        assert_eq!(point.committed.map(|(numbered, _)| numbered), Some(committed()));
        let (numbered, _, session) = point.proposal.expect("proposed");
        assert_eq!((numbered, session), (proposed(), Some(proposer)));
        let known = [("f1.77", Some(agrees())), ("f2.78", Some(refuses())), ("f3.79", None)];
        assert_eq!(members, known.map(|(id, status)| Member { id: id.to_owned(), status }));
    });
}

#[test]
fn a_commit_is_written_as_the_same_text_under_the_same_key() {
    run(async {
        let consul = ConsulServer::start();
        let mut office = Office::new(settings(&consul));
        let report = office.propose(FIRST_POLICY, "o-1", Duration::from_secs(5)).await.expect("committed");
        assert_eq!(report.epoch, 1);
        let rows = rows(&consul).await;
        let [row] = &rows[..] else { panic!("{rows:?}") };
        assert_eq!(row.key, "fleet/one/epoch/committed");
        let id = serde_json::from_str::<NumberedPolicy>(&row.text()).expect("in form").id;
        assert_eq!(row.text().replace(&id, "SESSION"), FIRST);
    });
}

#[test]
fn a_forwarder_keeps_a_policy_as_the_same_files_and_says_the_same_of_itself() {
    run(async {
        let consul = ConsulServer::start();
        hold(&consul, "fleet/one/epoch/committed", COMMITTED).await;
        let (folder, source) = forwarder("epochs-written");
        let follower = Follower::new(settings(&consul), "f1", folder.path());
        follower.join(&source).await;
        let kept = |name: &str| fs::read_to_string(folder.path().join(name)).ok();
        assert_eq!(
            (kept("policy-held.json").as_deref(), kept("policy-staged.json")),
            (Some(COMMITTED), None)
        );
        hold(&consul, "fleet/one/epoch/proposal", PROPOSED).await;
        let (inputs, _came) = unbounded_channel();
        let following = spawn_local(follower.clone().follow(source, inputs));
        let key = format!("fleet/one/members/f1.{}", std::process::id());
        loop {
            let rows = rows(&consul).await;
            let own = rows.iter().find(|row| row.key == key).map(Row::text);
            if own.as_deref() == Some(AGREES) {
                break;
            }
            sleep(Duration::from_millis(10)).await;
        }
        assert_eq!(kept("policy-held.json").as_deref(), Some(COMMITTED));
        assert_eq!(kept("policy-staged.json").as_deref(), Some(PROPOSED));
        following.abort();
    });
}

#[test]
fn a_forwarder_starts_by_the_files_of_the_previous_version() {
    run(async {
        let (folder, source) = forwarder("epochs-read");
        folder.write("policy-held.json", COMMITTED);
        folder.write("policy-staged.json", PROPOSED);
        let consul = ConsulServer::start();
        let follower = Follower::new(settings(&consul), "f1", folder.path());
        assert_eq!(follower.version(), 3);
        let own = r#"{"listen":"l","settings":{"limits":{"max_open":9}}}"#;
        let laid = r#"{"listen":"l","policy_out":["s-1"],"settings":{"limits":{"max_open":5}}}"#;
        assert_eq!(follower.apply(own).expect("applied"), laid);
        // Nothing is proposed any more: what is known as staged is taken away.
        follower.join(&source).await;
        assert!(folder.path().join("policy-held.json").exists());
        assert!(!folder.path().join("policy-staged.json").exists());
    });
}

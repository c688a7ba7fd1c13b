//! Pins the stored form of the commit point in Consul and of the files in a forwarder's folder. Values of an earlier
//! version are read with every field, and the same values are written as the same text under the same names.

use bytes::Bytes;
use orchidyoke_consul::locks::{KeyEntry, LockClient, SessionBehavior};
use orchidyoke_fakes::ConsulServer;
use orchidyoke_fakes::TemporaryFolder;
use orchidyoke_fakes::forwarder::ForwarderConfig;
use orchidyoke_forwarder::policy_overlay::PolicyOverlay;
use orchidyoke_forwarder::policy_participant::PolicyParticipant;
use orchidyoke_forwarder::reload::ConfigSource;
use orchidyoke_policy_commit::commit_point::{Member, MemberStatus, Vote};
use orchidyoke_policy_commit::policy::{Policy, VersionedPolicy, digest};
use orchidyoke_policy_commit::{ConsulParticipant, Coordinator, Settings};
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

const COMMITTED: &str = include_str!("fixtures/version-3.json");
const PROPOSED: &str = include_str!("fixtures/version-4.json");
const NOT_VOTED: &str = include_str!("fixtures/not-voted.json");
const VOTED_FOR: &str = include_str!("fixtures/voted-for.json");
const VOTED_AGAINST: &str = include_str!("fixtures/voted-against.json");
/// The value that a commit wrote, with a word in the place of its id, because the id is that of a session.
const FIRST_COMMIT: &str = include_str!("fixtures/first-commit.json");

const TTL: Duration = Duration::from_secs(10);

const FIRST_POLICY: &str = r#"{"out":["s-1"]}"#;

fn committed() -> VersionedPolicy {
    VersionedPolicy {
        id: "11111111-aaaa-4444-8888-0123456789ab".to_owned(),
        version: 3,
        digest: "b806f73458e1fd35".to_owned(),
        text: "{\"settings\": {\"limits\": {\"max_open\": 5}},\n \"out\": [\"s-1\"]}".to_owned(),
        proposed_by: "operator \"\u{e9}\"".to_owned(),
    }
}

fn proposed() -> VersionedPolicy {
    VersionedPolicy {
        id: "22222222-bbbb-4444-8888-0123456789ab".to_owned(),
        version: 4,
        digest: "1349cde127705c16".to_owned(),
        text: "{}".to_owned(),
        proposed_by: "o-2".to_owned(),
    }
}

fn not_voted() -> MemberStatus {
    MemberStatus { version: 0, vote: None, unusable_reason: None }
}

fn voted_for() -> MemberStatus {
    let vote = Some(Vote { proposal_id: proposed().id, rejection: None });
    MemberStatus { version: 3, vote, unusable_reason: None }
}

fn voted_against() -> MemberStatus {
    let rejection = Some("cannot be used: \"x\"".to_owned());
    let vote = Some(Vote { proposal_id: proposed().id, rejection });
    let unusable_reason = Some("epoch 3 cannot be used".to_owned());
    MemberStatus { version: u64::MAX, vote, unusable_reason }
}

/// Checks that the text is read as the value and that the value is written as the text.
fn assert_stored<T: Serialize + DeserializeOwned + PartialEq + Debug>(text: &str, value: &T) {
    assert_eq!(serde_json::from_str::<T>(text).expect("the text is read"), *value);
    assert_eq!(serde_json::to_string(value).expect("the value is written"), text);
}

fn run_test(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let time_limit = Duration::from_secs(60);
    runtime.block_on(
        LocalSet::new().run_until(async { timeout(time_limit, test).await.expect("the test ends in time") }),
    );
}

fn settings(consul: &ConsulServer) -> Settings {
    let consul = orchidyoke_consul::Settings {
        addresses: vec![consul.address()],
        ..orchidyoke_consul::Settings::default()
    };
    Settings { consul, prefix: "fleet/one".to_owned(), name: None, ttl: TTL }
}

fn locks(consul: &ConsulServer) -> LockClient {
    LockClient::new(Rc::new(settings(consul).consul))
}

/// Writes a key as its holder. Returns the session that holds the key.
async fn hold(consul: &ConsulServer, key: &str, value: &'static str) -> String {
    let mut locks = locks(consul);
    let session = locks
        .create_session("earlier", TTL, Duration::ZERO, SessionBehavior::Delete)
        .await
        .expect("the session is created");
    assert!(
        locks
            .acquire(key, &session, Bytes::from_static(value.as_bytes()))
            .await
            .expect("the request is answered")
    );
    session
}

/// Returns all keys and values.
async fn rows(consul: &ConsulServer) -> Vec<KeyEntry> {
    locks(consul).read_keys("", 0, Duration::ZERO).await.expect("the keys are read").1
}

/// Returns a folder with a forwarder's configuration in it, and the source that reads the configuration.
fn forwarder_config(name: &str) -> (TemporaryFolder, Rc<ConfigSource>) {
    let folder = TemporaryFolder::new(name);
    let config = ForwarderConfig::new("127.0.0.1:1".parse().expect("an address"));
    let path = folder.write("config.json", &config.text());
    (folder, Rc::new(ConfigSource { path, ..ConfigSource::default() }))
}

#[test]
fn versioned_policies_of_the_previous_version_are_read_field_by_field_and_written_back() {
    assert_stored(COMMITTED, &committed());
    assert_stored(PROPOSED, &proposed());
    for policy in [committed(), proposed()] {
        assert!(policy.is_intact(), "the digest matches the text");
        let VersionedPolicy { id, version, text, proposed_by, .. } = policy.clone();
        assert_eq!(VersionedPolicy::new(id, version, text, proposed_by), policy);
    }
    assert_eq!(digest(""), "2d06800538d394c2");
}

#[test]
fn votes_and_member_keys_of_the_previous_version_are_read_field_by_field_and_written_back() {
    assert_stored(NOT_VOTED, &not_voted());
    assert_stored(VOTED_FOR, &voted_for());
    assert_stored(VOTED_AGAINST, &voted_against());
}

#[test]
fn policy_text_of_the_previous_version_is_read_field_by_field() {
    let policy = Policy::parse(&committed().text).expect("a policy");
    let settings = serde_json::json!({"limits": {"max_open": 5}});
    assert_eq!(policy, Policy { settings, excluded_endpoints: vec!["s-1".to_owned()] });
    assert_eq!(
        serde_json::to_string(&policy).expect("the policy is written"),
        r#"{"settings":{"limits":{"max_open":5}},"out":["s-1"]}"#
    );
    assert_eq!(serde_json::to_string(&Policy::default()).expect("the policy is written"), "{}");
}

#[test]
fn commit_point_of_the_previous_version_is_found_under_its_keys() {
    run_test(async {
        let consul = ConsulServer::start();
        hold(&consul, "fleet/one/epoch/committed", COMMITTED).await;
        let coordinator = hold(&consul, "fleet/one/epoch/proposal", PROPOSED).await;
        hold(&consul, "fleet/one/members/f1.77", VOTED_FOR).await;
        hold(&consul, "fleet/one/members/f2.78", VOTED_AGAINST).await;
        hold(&consul, "fleet/one/members/f3.79", "not in form").await;
        let status = Coordinator::new(settings(&consul)).status().await.expect("the status is read");
        assert_eq!(status.point.committed.map(|committed| committed.policy), Some(committed()));
        let proposal = status.point.proposal.expect("a proposal is open");
        assert_eq!((proposal.policy, proposal.session), (proposed(), Some(coordinator)));
        let expected = [("f1.77", Some(voted_for())), ("f2.78", Some(voted_against())), ("f3.79", None)];
        assert_eq!(status.members, expected.map(|(id, status)| Member { id: id.to_owned(), status }));
    });
}

#[test]
fn commit_is_written_as_the_same_text_under_the_same_key() {
    run_test(async {
        let consul = ConsulServer::start();
        let mut coordinator = Coordinator::new(settings(&consul));
        let report = coordinator
            .propose(FIRST_POLICY, "o-1", Duration::from_secs(5))
            .await
            .expect("the policy is committed");
        assert_eq!(report.version, 1);
        let rows = rows(&consul).await;
        let [row] = &rows[..] else { panic!("{rows:?}") };
        assert_eq!(row.key, "fleet/one/epoch/committed");
        let id = serde_json::from_str::<VersionedPolicy>(&row.value_text())
            .expect("the value is a versioned policy")
            .id;
        assert_eq!(row.value_text().replace(&id, "SESSION"), FIRST_COMMIT);
    });
}

#[test]
fn participant_writes_the_same_files_and_the_same_status() {
    run_test(async {
        let consul = ConsulServer::start();
        hold(&consul, "fleet/one/epoch/committed", COMMITTED).await;
        let (folder, source) = forwarder_config("policy-written");
        let participant = ConsulParticipant::new(settings(&consul), "f1", folder.path());
        participant.join(&source).await;
        let file = |name: &str| fs::read_to_string(folder.path().join(name)).ok();
        assert_eq!(
            (file("policy-held.json").as_deref(), file("policy-staged.json")),
            (Some(COMMITTED), None)
        );
        hold(&consul, "fleet/one/epoch/proposal", PROPOSED).await;
        let (inputs, _received_inputs) = unbounded_channel();
        let follow_task = spawn_local(participant.clone().follow(source, inputs));
        let key = format!("fleet/one/members/f1.{}", std::process::id());
        loop {
            let rows = rows(&consul).await;
            let own = rows.iter().find(|row| row.key == key).map(KeyEntry::value_text);
            if own.as_deref() == Some(VOTED_FOR) {
                break;
            }
            sleep(Duration::from_millis(10)).await;
        }
        assert_eq!(file("policy-held.json").as_deref(), Some(COMMITTED));
        assert_eq!(file("policy-staged.json").as_deref(), Some(PROPOSED));
        follow_task.abort();
    });
}

#[test]
fn participant_starts_from_the_files_of_the_previous_version() {
    run_test(async {
        let (folder, source) = forwarder_config("policy-read");
        folder.write("policy-held.json", COMMITTED);
        folder.write("policy-staged.json", PROPOSED);
        let consul = ConsulServer::start();
        let participant = ConsulParticipant::new(settings(&consul), "f1", folder.path());
        assert_eq!(participant.version(), 3);
        let own = r#"{"listen":"l","settings":{"limits":{"max_open":9}}}"#;
        let applied = r#"{"listen":"l","policy_out":["s-1"],"settings":{"limits":{"max_open":5}}}"#;
        assert_eq!(participant.apply(own).expect("the policy is applied"), applied);
        // No proposal is open any more, so the staged policy is removed.
        participant.join(&source).await;
        assert!(folder.path().join("policy-held.json").exists());
        assert!(!folder.path().join("policy-staged.json").exists());
    });
}

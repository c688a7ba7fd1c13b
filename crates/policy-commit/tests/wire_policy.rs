//! Pins the form of the commit point, of the files in forwarders' folders and of the policy that an operator writes,
//! and the names of the metrics, because forwarders of two releases read each other's values.

use orchidyoke_consul::locks::KeyEntry;
use orchidyoke_forwarder::policy_participant::PolicyParticipant;
use orchidyoke_policy_commit::commit_point::{Member, MemberStatus, Vote, members_from_rows};
use orchidyoke_policy_commit::policy::{Policy, VersionedPolicy, digest};
use orchidyoke_policy_commit::{ConsulParticipant, Settings};
use std::time::Duration;

const VERSIONED: &str = include_str!("fixtures/wire/versioned-policy.json");
const STATUS: &str = include_str!("fixtures/wire/status.json");
const POLICY: &str = include_str!("fixtures/wire/policy.json");

fn settings() -> Settings {
    Settings {
        consul: orchidyoke_consul::Settings::default(),
        prefix: "fleet/policy".to_owned(),
        name: None,
        ttl: Duration::from_secs(10),
    }
}

fn policy() -> VersionedPolicy {
    VersionedPolicy::new("5be2".to_owned(), 7, r#"{"out":["s-1"]}"#.to_owned(), "operator".to_owned())
}

fn status() -> MemberStatus {
    let vote = Some(Vote { proposal_id: "5be2".to_owned(), rejection: Some("slots: missing".to_owned()) });
    MemberStatus { version: 6, vote, unusable_reason: Some("zones: missing".to_owned()) }
}

#[test]
fn keys_of_the_commit_point_stay_the_same() {
    let settings = settings();
    assert_eq!(settings.commit_point_folder(), "fleet/policy/epoch/");
    assert_eq!(settings.committed_key(), "fleet/policy/epoch/committed");
    assert_eq!(settings.proposal_key(), "fleet/policy/epoch/proposal");
    assert_eq!(settings.members_folder(), "fleet/policy/members/");
    let row = KeyEntry { key: "fleet/policy/members/n1.5".to_owned(), ..row(STATUS) };
    let member = Member { id: "n1.5".to_owned(), status: Some(status()) };
    assert_eq!(members_from_rows(&settings, &[row]), [member]);
}

#[test]
fn values_of_the_commit_point_are_written_and_read_as_before() {
    assert_eq!(serde_json::to_string(&policy()).expect("the value is written as JSON") + "\n", VERSIONED);
    assert_eq!(serde_json::from_str::<VersionedPolicy>(VERSIONED).expect("read"), policy());
    assert_eq!(serde_json::to_string(&status()).expect("the value is written as JSON") + "\n", STATUS);
    assert_eq!(serde_json::from_str::<MemberStatus>(STATUS).expect("read"), status());
    assert_eq!(digest("{}"), include_str!("fixtures/wire/digest.txt").trim());
}

#[test]
fn each_field_of_a_policy_is_read_by_its_name() {
    let policy = Policy::parse(POLICY).expect("a policy");
    assert_eq!(policy.excluded_endpoints, ["s-1", "s-2"]);
    assert_eq!(policy.settings["limits"]["try_limit"], 3);
    let applied = policy.apply_to(r#"{"name":"n1","settings":{"limits":{"try_limit":8,"multiplex":1}}}"#);
    let expected =
        r#"{"name":"n1","policy_out":["s-1","s-2"],"settings":{"limits":{"multiplex":1,"try_limit":3}}}"#;
    assert_eq!(applied.expect("the policy is applied"), expected);
    assert_eq!(serde_json::to_string(&policy).expect("the value is written as JSON") + "\n", POLICY);
    assert!(Policy::parse(r#"{"output":[]}"#).is_err(), "a policy with an unknown field is rejected");
}

#[test]
fn metric_names_of_a_policy_stay_the_same() {
    let folder = std::env::temp_dir().join(format!("policy-metrics-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the folder is created");
    std::fs::write(folder.join("policy-held.json"), VERSIONED).expect("the file is written");
    let metrics = ConsulParticipant::new(settings(), "n1", &folder).status().metrics;
    std::fs::remove_dir_all(&folder).expect("the folder is removed");
    assert_eq!(metrics, "app_policy_epoch 7\napp_policy_contact 0\napp_policy_refused 0\n");
}

/// Returns a key that is held by a session, as Consul returns it.
fn row(value: &str) -> KeyEntry {
    let row = serde_json::json!({
        "Key": "", "Value": base64(value.as_bytes()), "Session": "adf4238a", "ModifyIndex": 9, "Flags": 0,
    });
    serde_json::from_value(row).expect("a row")
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let group = |three: &[u8]| -> Vec<char> {
        let bits = three.iter().fold(0, |bits, byte| bits << 8 | u32::from(*byte)) << (8 * (3 - three.len()));
        let digit = |place| char::from(DIGITS[(bits >> (18 - 6 * place)) as usize & 63]);
        (0..4).map(|place| if place <= three.len() { digit(place) } else { '=' }).collect()
    };
    bytes.chunks(3).flat_map(group).collect()
}

//! Protects what a fleet keeps at its commit point and in its forwarders' folders, the policy that an operator writes, and
//! the names of the figures: forwarders of two releases read one another's.

use orchidyoke_consul::locks::Row;
use orchidyoke_forwarder::policy_agent::PolicyAgent;
use orchidyoke_policy_commit::Follower;
use orchidyoke_policy_commit::commit_point::{
    Member, MemberStatus, NumberedPolicy, Policy, Settings, Vote, digest, members,
};
use std::time::Duration;

const NUMBERED: &str = include_str!("fixtures/wire/numbered.json");
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

fn numbered() -> NumberedPolicy {
    NumberedPolicy::new("5be2".to_owned(), 7, r#"{"out":["s-1"]}"#.to_owned(), "operator".to_owned())
}

fn status() -> MemberStatus {
    let vote = Some(Vote { proposal: "5be2".to_owned(), no: Some("slots: missing".to_owned()) });
    MemberStatus { epoch: 6, vote, refuses: Some("zones: missing".to_owned()) }
}

#[test]
fn keys_of_the_commit_point_stay_the_same() {
    let settings = settings();
    assert_eq!(settings.epoch(), "fleet/policy/epoch/");
    assert_eq!(settings.committed(), "fleet/policy/epoch/committed");
    assert_eq!(settings.proposal(), "fleet/policy/epoch/proposal");
    assert_eq!(settings.members(), "fleet/policy/members/");
    let row = Row { key: "fleet/policy/members/n1.5".to_owned(), ..row(STATUS) };
    let member = Member { id: "n1.5".to_owned(), status: Some(status()) };
    assert_eq!(members(&settings, &[row]), [member]);
}

#[test]
fn values_of_the_commit_point_are_written_and_read_as_before() {
    assert_eq!(serde_json::to_string(&numbered()).expect("JSON") + "\n", NUMBERED);
    assert_eq!(serde_json::from_str::<NumberedPolicy>(NUMBERED).expect("read"), numbered());
    assert_eq!(serde_json::to_string(&status()).expect("JSON") + "\n", STATUS);
    assert_eq!(serde_json::from_str::<MemberStatus>(STATUS).expect("read"), status());
    assert_eq!(digest("{}"), include_str!("fixtures/wire/digest.txt").trim());
}

#[test]
fn each_field_of_a_policy_is_read_by_its_name() {
    let policy = Policy::read(POLICY).expect("a policy");
    assert_eq!(policy.out, ["s-1", "s-2"]);
    assert_eq!(policy.settings["limits"]["try_limit"], 3);
    let laid = policy.lay_over(r#"{"name":"n1","settings":{"limits":{"try_limit":8,"multiplex":1}}}"#);
    let expected =
        r#"{"name":"n1","policy_out":["s-1","s-2"],"settings":{"limits":{"multiplex":1,"try_limit":3}}}"#;
    assert_eq!(laid.expect("laid over"), expected);
    assert_eq!(serde_json::to_string(&policy).expect("JSON") + "\n", POLICY);
    assert!(Policy::read(r#"{"output":[]}"#).is_err(), "a field that nobody knows");
}

#[test]
fn names_of_the_figures_of_a_policy_stay_the_same() {
    let folder = std::env::temp_dir().join(format!("policy-figures-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    std::fs::write(folder.join("policy-held.json"), NUMBERED).expect("written");
    let figures = Follower::new(settings(), "n1", &folder).status().figures;
    std::fs::remove_dir_all(&folder).expect("cleans up");
    assert_eq!(figures, "app_policy_epoch 7\napp_policy_contact 0\napp_policy_refused 0\n");
}

/// A key held by a session, as Consul tells of it.
fn row(value: &str) -> Row {
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

//! Tests of [`orchidyoke_policy_commit::commit_point`].

use orchidyoke_consul::locks::KeyEntry;
use orchidyoke_policy_commit::Settings;
use orchidyoke_policy_commit::commit_point::{CommitPoint, Committed, MemberStatus, Vote};
use orchidyoke_policy_commit::policy::{Policy, VersionedPolicy};
use serde_json::{Value, json};
use std::time::Duration;

// Guards against a policy that changes a part of the configuration that belongs to one forwarder, such as its
// addresses.
#[test]
fn policy_changes_settings_and_excluded_endpoints_alone() {
    let own =
        json!({"listen": "127.0.0.1:1", "settings": {"limits": {"max_open": 9, "try_limit": 8}}}).to_string();
    let policy = Policy::parse(r#"{"settings": {"limits": {"max_open": 5}}, "out": ["s-1"]}"#).unwrap();
    let applied: Value = serde_json::from_str(&policy.apply_to(&own).unwrap()).unwrap();
    let expected = json!({"listen": "127.0.0.1:1", "policy_out": ["s-1"],
        "settings": {"limits": {"max_open": 5, "try_limit": 8}}});
    assert_eq!(applied, expected);
    assert!(Policy::parse(r#"{"listen": "127.0.0.1:2"}"#).is_err());
    // A policy replaces the previous one instead of adding to it, so an empty policy excludes no endpoints.
    assert_eq!(Policy::default().apply_to(&own).unwrap(), {
        let mut own: Value = serde_json::from_str(&own).unwrap();
        own["policy_out"] = json!([]);
        own.to_string()
    });
}

// Guards against the use of a text that was truncated or changed.
#[test]
fn policy_that_does_not_match_its_digest_is_ignored() {
    let settings = Settings {
        consul: orchidyoke_consul::Settings::default(),
        prefix: "p".into(),
        name: None,
        ttl: Duration::from_secs(10),
    };
    let mut policy = VersionedPolicy::new("a".into(), 1, "{}".into(), "x".into());
    let row = |policy: &VersionedPolicy| {
        let value = serde_json::to_string(policy).unwrap();
        let json = json!([{"Key": "p/epoch/committed", "ModifyIndex": 7, "Session": null,
            "Value": base64(&value)}]);
        serde_json::from_value::<Vec<KeyEntry>>(json).unwrap()
    };
    let committed = Some(Committed { policy: policy.clone(), modify_index: 7 });
    assert_eq!(CommitPoint::from_rows(&settings, &row(&policy)).committed, committed);
    policy.text = r#"{"out": ["s"]}"#.into();
    assert_eq!(CommitPoint::from_rows(&settings, &row(&policy)), CommitPoint::default());
}

// Guards against forwarders of two versions in one fleet that cannot read each other's values.
#[test]
fn stored_values_keep_their_form() {
    let policy = VersionedPolicy::new("a".into(), 3, "{}".into(), "op".into());
    let stored = r#"{"id":"a","epoch":3,"digest":"1349cde127705c16","policy":"{}","by":"op"}"#;
    assert_eq!(serde_json::to_string(&policy).unwrap(), stored);
    assert_eq!(serde_json::from_str::<VersionedPolicy>(stored).unwrap(), policy);
    let vote = Vote { proposal_id: "a".into(), rejection: None };
    let status = MemberStatus { version: 2, vote: Some(vote), unusable_reason: Some("slots".into()) };
    let stored = r#"{"epoch":2,"vote":{"proposal":"a","no":null},"refuses":"slots"}"#;
    assert_eq!(serde_json::to_string(&status).unwrap(), stored);
    assert_eq!(serde_json::from_str::<MemberStatus>(stored).unwrap(), status);
}

fn base64(text: &str) -> String {
    let digits = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut encoded = String::new();
    for chunk in text.as_bytes().chunks(3) {
        let bits =
            chunk.iter().fold(0u32, |bits, byte| bits << 8 | u32::from(*byte)) << (8 * (3 - chunk.len()));
        for place in 0..4 {
            let digit = digits[(bits >> (18 - 6 * place)) as usize & 63] as char;
            encoded.push(if place <= chunk.len() { digit } else { '=' });
        }
    }
    encoded
}

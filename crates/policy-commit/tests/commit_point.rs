//! Tests of [`orchidyoke_policy_commit::commit_point`].

use orchidyoke_consul::locks::Row;
use orchidyoke_policy_commit::commit_point::*;
use serde_json::{Value, json};
use std::time::Duration;

// Guards against a policy that reaches past what the fleet agrees on, such as one forwarder's addresses.
#[test]
fn a_policy_changes_settings_and_endpoints_and_nothing_else() {
    let own =
        json!({"listen": "127.0.0.1:1", "settings": {"limits": {"max_open": 9, "try_limit": 8}}}).to_string();
    let policy = Policy::read(r#"{"settings": {"limits": {"max_open": 5}}, "out": ["s-1"]}"#).unwrap();
    let laid: Value = serde_json::from_str(&policy.lay_over(&own).unwrap()).unwrap();
    let expected = json!({"listen": "127.0.0.1:1", "policy_out": ["s-1"],
        "settings": {"limits": {"max_open": 5, "try_limit": 8}}});
    assert_eq!(laid, expected);
    assert!(Policy::read(r#"{"listen": "127.0.0.1:2"}"#).is_err());
    // The next policy takes the place of the one before, it is not laid over it.
    assert_eq!(Policy::default().lay_over(&own).unwrap(), {
        let mut own: Value = serde_json::from_str(&own).unwrap();
        own["policy_out"] = json!([]);
        own.to_string()
    });
}

// Guards against acting on a text that was cut or changed on its way.
#[test]
fn what_does_not_fit_its_digest_is_not_there() {
    let settings = Settings {
        consul: orchidyoke_consul::Settings::default(),
        prefix: "p".into(),
        name: None,
        ttl: Duration::from_secs(10),
    };
    let mut numbered = NumberedPolicy::new("a".into(), 1, "{}".into(), "x".into());
    let row = |numbered: &NumberedPolicy| {
        let value = serde_json::to_string(numbered).unwrap();
        let json = json!([{"Key": "p/epoch/committed", "ModifyIndex": 7, "Session": null,
            "Value": base64(&value)}]);
        serde_json::from_value::<Vec<Row>>(json).unwrap()
    };
    assert_eq!(Point::read(&settings, &row(&numbered)).committed, Some((numbered.clone(), 7)));
    numbered.policy = r#"{"out": ["s"]}"#.into();
    assert_eq!(Point::read(&settings, &row(&numbered)), Point::default());
}

fn base64(text: &str) -> String {
    let digits = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in text.as_bytes().chunks(3) {
        let bits =
            chunk.iter().fold(0u32, |bits, byte| bits << 8 | u32::from(*byte)) << (8 * (3 - chunk.len()));
        for place in 0..4 {
            let digit = digits[(bits >> (18 - 6 * place)) as usize & 63] as char;
            out.push(if place <= chunk.len() { digit } else { '=' });
        }
    }
    out
}

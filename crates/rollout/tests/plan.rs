//! What a plan may say.

use orchidyoke_rollout::analysis::Criteria;
use orchidyoke_rollout::plan::{Change, ConsoleAddresses, Plan, PlannedForwarder};
use serde_json::json;

fn plan(size: usize, stages: &[&str]) -> Plan {
    let forwarders = (0..size)
        .map(|i| PlannedForwarder {
            name: format!("f{i}"),
            consoles: ConsoleAddresses::Single("127.0.0.1:1".parse().unwrap()),
            config_file: Some(format!("f{i}.json").into()),
            pid_file: Some(format!("f{i}.pid").into()),
            supervisor: None,
        })
        .collect();
    Plan {
        forwarders,
        settings_patch: Some(json!({})),
        release: None,
        stages: stages.iter().map(|s| s.to_string()).collect(),
        warm_up_ms: None,
        bake_ms: 1,
        max_bake_ms: 2,
        poll_interval_ms: 1,
        criteria: Criteria::default(),
    }
}

#[test]
fn stage_sizes_accept_counts_shares_and_all() {
    assert_eq!(plan(20, &["1", "10%", "50%", "all"]).stage_sizes().unwrap(), [1, 2, 10, 20]);
    assert_eq!(plan(6, &["1", "50%", "all"]).stage_sizes().unwrap(), [1, 3, 6]);
    // Guards against a plan that never reaches everyone or stands still.
    assert!(plan(6, &["1", "50%"]).stage_sizes().is_err());
    assert!(plan(6, &["1", "10%", "all"]).stage_sizes().is_err());
    assert!(plan(1, &["all"]).stage_sizes().is_err());
}

// Guards against a plan that is found wanting only when some forwarders have the change already.
#[test]
fn change_needs_its_keys_on_every_forwarder() {
    let mut settings = plan(3, &["1", "all"]);
    assert_eq!(settings.change().unwrap(), Change::Settings(json!({})));
    settings.forwarders[2].pid_file = None;
    assert!(settings.change().unwrap_err().to_string().contains("f2"));
    let mut release = Plan { settings_patch: None, release: Some("v2".into()), ..plan(3, &["1", "all"]) };
    assert!(release.change().unwrap_err().to_string().contains("f0"));
    for member in &mut release.forwarders {
        let address = "127.0.0.1:1".parse().unwrap();
        (member.supervisor, member.consoles) = (Some(address), ConsoleAddresses::PerSlot([address; 2]));
    }
    assert_eq!(release.change().unwrap(), Change::Release("v2".into()));
    release.release = Some("../v2".into());
    assert!(release.change().is_err());
    (release.release, release.settings_patch) = (Some("v2".into()), Some(json!({})));
    assert!(release.change().is_err(), "one change at a time");
}

#[test]
fn merge_patch_replaces_adds_and_removes_keys() {
    let mut config =
        json!({"name": "f1", "settings": {"limits": {"max_open": 4000, "try_limit": 8}, "az": "a"}});
    json_patch::merge(
        &mut config,
        &json!({"settings": {"limits": {"max_open": 100, "try_limit": null}, "x": [1]}}),
    );
    assert_eq!(config, json!({"name": "f1", "settings": {"limits": {"max_open": 100}, "az": "a", "x": [1]}}));
}

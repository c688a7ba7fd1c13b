//! Tests of which plans are accepted.

use orchidyoke_rollout::analysis::Criteria;
use orchidyoke_rollout::plan::{Change, ConsoleAddresses, Plan, PlannedForwarder};
use serde_json::json;

fn plan(size: usize, stages: &[&str]) -> Plan {
    let forwarders = (0..size)
        .map(|index| PlannedForwarder {
            name: format!("f{index}"),
            consoles: ConsoleAddresses::Single("127.0.0.1:1".parse().unwrap()),
            config_file: Some(format!("f{index}.json").into()),
            pid_file: Some(format!("f{index}.pid").into()),
            supervisor: None,
        })
        .collect();
    Plan {
        forwarders,
        settings_patch: Some(json!({})),
        release: None,
        stages: stages.iter().map(|stage| stage.to_string()).collect(),
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
    // Guards against a plan whose last stage leaves forwarders out, or with a stage that adds no forwarder.
    assert!(plan(6, &["1", "50%"]).stage_sizes().is_err());
    assert!(plan(6, &["1", "10%", "all"]).stage_sizes().is_err());
    assert!(plan(1, &["all"]).stage_sizes().is_err());
}

// Guards against a missing key that is found only after some forwarders have the change.
#[test]
fn change_needs_its_keys_on_every_forwarder() {
    let mut settings_plan = plan(3, &["1", "all"]);
    assert_eq!(settings_plan.change().unwrap(), Change::Settings(json!({})));
    settings_plan.forwarders[2].pid_file = None;
    assert!(settings_plan.change().unwrap_err().to_string().contains("f2"));
    let mut release_plan =
        Plan { settings_patch: None, release: Some("v2".into()), ..plan(3, &["1", "all"]) };
    assert!(release_plan.change().unwrap_err().to_string().contains("f0"));
    for forwarder in &mut release_plan.forwarders {
        let address = "127.0.0.1:1".parse().unwrap();
        forwarder.supervisor = Some(address);
        forwarder.consoles = ConsoleAddresses::PerSlot([address; 2]);
    }
    assert_eq!(release_plan.change().unwrap(), Change::Release("v2".into()));
    release_plan.release = Some("../v2".into());
    assert!(release_plan.change().is_err());
    release_plan.release = Some("v2".into());
    release_plan.settings_patch = Some(json!({}));
    assert!(release_plan.change().is_err(), "a plan has either a settings patch or a release");
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

// Guards against a renamed key and a changed digest. Plans are files that operators write, and a rollout is resumed
// only by a plan with the same digest.
#[test]
fn plan_file_keeps_its_keys_and_digest() {
    let text = json!({
        "forwarders": [
            {"name": "f1", "console": "10.0.0.1:7001", "config": "f1.json", "pid_file": "f1.pid"},
            {"name": "f2", "console": ["10.0.0.2:7001", "10.0.0.2:7002"], "config": "f2.json",
             "control": "10.0.0.2:7000"}],
        "settings_patch": {"settings": {"limits": {"max_open": 3000}}},
        "stages": ["1", "all"], "warm_up_ms": 1, "bake_ms": 2, "max_bake_ms": 3, "poll_ms": 4,
        "criteria": {"margin": 0.5, "z": 1.5, "min_ended": 6, "latency_ratio": 7.5}});
    let plan: Plan = serde_json::from_value(text).unwrap();
    let supervised = &plan.forwarders[1];
    assert_eq!(plan.forwarders[0].consoles.at_slot(1).to_string(), "10.0.0.1:7001");
    assert_eq!(plan.forwarders[0].pid_file.as_deref(), Some("f1.pid".as_ref()));
    assert_eq!(supervised.consoles.at_slot(1).to_string(), "10.0.0.2:7002");
    assert_eq!(supervised.config_file.as_deref(), Some("f2.json".as_ref()));
    assert_eq!(supervised.supervisor.unwrap().to_string(), "10.0.0.2:7000");
    assert_eq!((plan.warm_up_ms, plan.bake_ms, plan.max_bake_ms, plan.poll_interval_ms), (Some(1), 2, 3, 4));
    let criteria = Criteria { margin: 0.5, z_score: 1.5, min_finished: 6, latency_ratio: 7.5 };
    assert_eq!(plan.criteria, criteria);
    assert_eq!(plan.stage_sizes().unwrap(), [1, 2]);
    assert_eq!(plan.digest(), "574212374aabf893");
}

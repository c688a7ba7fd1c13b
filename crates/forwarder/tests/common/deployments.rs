//! Configurations for tests: two classes, three destinations of two kinds, and small limits. There are two of them,
//! which differ like the deployments of two operators.
#![allow(dead_code)]

use orchidyoke_core::endpoint_list::{EndpointEntry, EndpointState, HealthStatus, WatchEvent};

/// Returns the endpoints of the first configuration: two of a kind that takes several messages in a call, and two of a
/// kind that takes one.
pub fn endpoint_entries() -> Vec<EndpointEntry> {
    let listed =
        [("s-a", "a", "many", 1), ("s-b", "a", "many", 1), ("s-c", "a", "one", 2), ("s-d", "a", "one", 3)];
    numbered(&listed, 20.0)
}

/// Returns endpoints with these uids, zones, kinds and destinations. Their addresses have consecutive ports from 9.
fn numbered(listed: &[(&str, &str, &str, u64)], capacity_hint: f64) -> Vec<EndpointEntry> {
    let entry = |(number, (uid, zone, kind, destination)): (usize, &(&str, &str, &str, u64))| EndpointEntry {
        uid: (*uid).to_owned(),
        address: format!("127.0.0.1:{}", 9 + number).parse().expect("the address is valid"),
        zone: (*zone).to_owned(),
        kind: (*kind).to_owned(),
        destination: *destination,
        state: EndpointState::Active,
        capacity_hint,
        health: HealthStatus::Passing,
    };
    listed.iter().enumerate().map(entry).collect()
}

/// Returns the text of the first configuration.
pub fn config(listen: &str, discovery: &str, entries: Vec<EndpointEntry>) -> String {
    let known = serde_json::to_string(&WatchEvent {
        version: 1,
        is_snapshot: true,
        endpoints: entries,
        origin: String::new(),
    })
    .expect("the list can be written as JSON");
    format!(
        r#"{{"name":"t0","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024,"disk_mb":0.2}},"known":{known},
        "settings":{{"az":"a","zones":["a"],"classes":[
          {{"name":"status","effect":"retryable","on_time_us":1000000,"hard_limit_us":8000000,"credit":1,"late_share":0.1}},
          {{"name":"orders","effect":"fragile","on_time_us":3000000,"hard_limit_us":28000000,"credit":1,"late_share":0.4}}],
        "family_info":{{"batch_by_kind":[5,1],"own_limits":[false,false],"loses_worth":"halving","slots":6,"toll":[0]}},
        "fleet_size":1,"host_types":["many","one"],"registry_mode":"pushed","tick_us":5000,"weights":"nominal",
        "limits":{{"dial_timeout_us":1000000,"idle_close_us":10000000,"max_open":40,"max_retry_after_us":3000000,
          "may_cancel":true,"multiplex":1,"retry_after":true,"second_copies":false,"try_limit":8}},
        "rules":{{"answer_slack_us":20000,"cold_from":0.18,"drain_grace_us":250000,"fall_multiple":2,
          "tip_after_us":2000000,"warm_within_us":9400000}},
        "tenants":[{{"name":"acme","quota_rps":20}}]}}}}"#
    )
}

/// Returns the endpoints of the second configuration, in two zones. One destination takes several messages in a call.
/// The endpoints of the other two destinations have separate routes.
pub fn second_endpoint_entries() -> Vec<EndpointEntry> {
    let listed = [
        ("s-a", "a", "chains", 1),
        ("s-b", "b", "chains", 1),
        ("s-c", "a", "shops", 2),
        ("s-d", "b", "shops", 2),
        ("s-e", "b", "shops", 3),
    ];
    numbered(&listed, 1.0)
}

/// Returns the text of the second configuration, with six attempts per message and no tenants. Its class `bread` needs
/// an idempotency key, and the endpoints of a zone drop repeats for two seconds.
pub fn second_config(listen: &str, discovery: &str, entries: Vec<EndpointEntry>) -> String {
    let known = serde_json::to_string(&WatchEvent {
        version: 1,
        is_snapshot: true,
        endpoints: entries,
        origin: String::new(),
    })
    .expect("the list can be written as JSON");
    format!(
        r#"{{"name":"t1","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024,"disk_mb":0.2}},"known":{known},
        "settings":{{"az":"a","zones":["a","b"],"classes":[
          {{"name":"state","effect":"retryable","on_time_us":4000000,"hard_limit_us":8000000,"credit":3,"late_share":0.4}},
          {{"name":"bread","effect":"dedup","group":"zone","window_us":2000000,"on_time_us":2000000,"hard_limit_us":24000000,
            "credit":1,"late_share":0.5}}],
        "family_info":{{"batch_by_kind":[20,1],"own_limits":[false,true],"loses_worth":"halving","slots":6,"toll":[0.01,0.04],
          "report_x0":"left","report_x1":"limit"}},
        "feedback":{{"names":["x0","x1"],"source":"piggyback"}},
        "fleet_size":1,"host_types":["chains","shops"],"registry_mode":"pushed","tick_us":5000,"weights":"silent",
        "limits":{{"dial_timeout_us":1000000,"idle_close_us":10000000,"max_open":40,"max_retry_after_us":2000000,
          "may_cancel":true,"may_probe":false,"multiplex":1,"retry_after":true,"second_copies":true,"try_limit":6}},
        "rules":{{"answer_slack_us":20000,"cold_from":0.2,"drain_grace_us":1000000,"fall_multiple":2,
          "tip_after_us":3000000,"warm_within_us":11000000}},
        "tenants":[]}}}}"#
    )
}

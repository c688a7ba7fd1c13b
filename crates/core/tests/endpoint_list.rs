//! Tests of how watch events change the endpoint list.

use orchidyoke_core::endpoint_list::{EndpointList, EndpointState, WatchEvent};

fn line(rev: u64, all: bool, uid: &str, state: &str) -> String {
    format!(
        "{{\"rev\":{rev},\"all\":{all},\"targets\":[{{\"uid\":\"{uid}\",\"endpoint\":\"127.0.0.1:8000\",\
         \"az\":\"a\",\"model\":\"m\",\"pod_group\":3,\"state\":\"{state}\",\"capacity_hint\":1.0,\
         \"boot_ms\":0}}]}}\n"
    )
}

// Guards against an endpoint that stays in use although a later snapshot does not contain it.
#[test]
fn endpoint_missing_from_a_snapshot_is_removed() {
    let event = |text: &str| serde_json::from_str::<WatchEvent>(text).expect("a watch event");
    let mut map = EndpointList::default();
    map.apply(&event(&line(1, true, "s1", "in_service")));
    map.apply(&event(&line(2, false, "s2", "in_service")));
    assert!(map.get("s1").is_some() && map.get("s2").is_some());
    map.apply(&event(&line(3, true, "s2", "terminating")));
    assert!(map.get("s1").is_none());
    assert_eq!(map.get("s2").map(|t| t.state), Some(EndpointState::Draining));
    map.apply(&event(&line(4, false, "s2", "terminated")));
    assert!(map.get("s2").is_none() && map.version() == 4);
}

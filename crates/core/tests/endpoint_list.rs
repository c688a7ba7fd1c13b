//! Tests of how watch events change the endpoint list.

use orchidyoke_core::endpoint_list::{EndpointList, EndpointState, WatchEvent};

fn event_json(rev: u64, all: bool, uid: &str, state: &str) -> String {
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
    let mut list = EndpointList::default();
    list.apply(&event(&event_json(1, true, "s1", "in_service")));
    list.apply(&event(&event_json(2, false, "s2", "in_service")));
    assert!(list.get("s1").is_some() && list.get("s2").is_some());
    list.apply(&event(&event_json(3, true, "s2", "terminating")));
    assert!(list.get("s1").is_none());
    assert_eq!(list.get("s2").map(|endpoint| endpoint.state), Some(EndpointState::Draining));
    list.apply(&event(&event_json(4, false, "s2", "terminated")));
    assert!(list.get("s2").is_none() && list.version() == 4);
}

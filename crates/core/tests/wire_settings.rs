//! Guards the settings JSON that the platform and the simulator write: the name of each field and of each choice, and
//! the setting that it becomes. Also guards the JSON in which the endpoint list is written and read.

use orchidyoke_core::endpoint_list::{EndpointEntry, EndpointState, HealthStatus, WatchEvent, parse_list};
use orchidyoke_core::interface::{
    CapacityHints, Class, DeduplicationScope, DestinationKind, DiscoveryMode, Idempotency, Settings,
    WeightDecay,
};
use orchidyoke_core::settings::read;

const FULL: &str = include_str!("fixtures/wire/settings.json");
const LIST: &str = include_str!("fixtures/wire/list.json");

#[test]
fn each_field_of_the_settings_is_read_by_its_name() {
    let class = |objective, deadline, weight, late_share, class_idempotency| Class {
        latency_objective: objective,
        deadline,
        priority_weight: weight,
        late_weight_share: late_share,
        idempotency: class_idempotency,
        keep_order: objective == 106,
    };
    let keyed = |key_scope, window| Idempotency::IdempotencyKey { scope: key_scope, window };
    let expected = Settings {
        fleet_size: 15,
        zone: 1,
        classes: vec![
            class(101, 102, 1.03, 0.104, Idempotency::Idempotent),
            class(106, 107, 1.08, 0.109, keyed(DeduplicationScope::Zone, 105)),
            class(111, 112, 1.13, 0.114, keyed(DeduplicationScope::All, 110)),
            class(116, 117, 1.18, 0.119, keyed(DeduplicationScope::Endpoint, 115)),
            class(120, 121, 0.0, 0.0, Idempotency::NonIdempotent),
        ],
        kinds: vec![
            DestinationKind { max_batch: 20, separate_routes: true },
            DestinationKind { max_batch: 1, separate_routes: false },
            DestinationKind { max_batch: 1, separate_routes: false },
        ],
        tenant_quotas: vec![34.5, 0.0],
        over_quota_weight: 0.17,
        decay: WeightDecay::Halving,
        max_calls: 14,
        max_open_messages: 22,
        max_attempts: 25,
        allow_hedging: true,
        allow_cancel: true,
        send_retry_after: true,
        max_retry_after: 23,
        streams_per_connection: 24,
        idle_timeout: 21,
        connect_timeout: 20,
        handshake_cost: 0.18,
        cross_zone_cost: 0.19,
        zone_costs: vec![0.01, 0.04],
        capacity_hints: CapacityHints::Nominal,
        discovery_mode: DiscoveryMode::Poll,
        tick: 16,
        final_answer_grace: 26,
        max_poll_interval: 27,
        drain_grace: 29,
        overload_factor: 3.0,
        overload_window: 31,
        cold_capacity_share: 0.28,
        warm_up_time: 32,
        key_cooldown: 33,
    };
    let (settings, names) = read(FULL).expect("settings");
    assert_eq!(settings, expected);
    assert_eq!(names.classes, ["status", "bread", "milk", "eggs", "orders"]);
    assert_eq!(names.tenants, ["acme", "bolt"]);
    assert_eq!(names.kinds, ["many", "one", "unsaid"]);
    assert_eq!(names.zones, ["a", "b", "c"]);
}

#[test]
fn each_switch_of_the_settings_is_read_by_its_own_name() {
    let read_with = |original: &str, replacement: &str| {
        assert_eq!(FULL.matches(original).count(), 1, "{original}");
        read(&FULL.replace(original, replacement)).expect("settings").0
    };
    assert!(!read_with("\"may_cancel\": true", "\"may_cancel\": false").allow_cancel);
    assert!(!read_with("\"retry_after\": true", "\"retry_after\": false").send_retry_after);
    assert!(!read_with("\"second_copies\": true", "\"second_copies\": false").allow_hedging);
    assert!(!read_with(", \"keep_order\": true", "").classes[1].keep_order);
    let (nominal, rough, silent) =
        ("\"weights\": \"nominal\"", "\"weights\": \"rough\"", "\"weights\": \"silent\"");
    assert_eq!(read_with(nominal, rough).capacity_hints, CapacityHints::Rough);
    assert_eq!(read_with(nominal, silent).capacity_hints, CapacityHints::None);
    assert_eq!(read_with("\"on_request\"", "\"pushed\"").discovery_mode, DiscoveryMode::Push);
    assert_eq!(read_with("\"halving\"", "\"linear\"").decay, WeightDecay::Linear);
}

#[test]
fn empty_settings_have_the_default_values() {
    let (settings, names) = read("{}").expect("settings");
    assert_eq!(settings, Settings::default());
    assert_eq!(names.zones, [""], "the forwarder's own zone, which has no name");
    assert!(names.classes.is_empty() && names.tenants.is_empty() && names.kinds.is_empty());
    for missing in [
        "\"name\": \"orders\", ",
        "\"effect\": \"fragile\", ",
        "\"on_time_us\": 120, ",
        ", \"hard_limit_us\": 121",
    ] {
        assert_eq!(FULL.matches(missing).count(), 1, "{missing}");
        assert!(read(&FULL.replace(missing, "")).is_err(), "a class without {missing}");
    }
    assert!(read(&FULL.replace("\"name\": \"bolt\"", "")).is_err(), "a tenant without its name");
}

#[test]
fn endpoint_list_json_matches_the_fixture() {
    let target = |uid: &str, endpoint: &str, state, status| EndpointEntry {
        uid: uid.to_owned(),
        address: endpoint.parse().expect("an address"),
        zone: "a".to_owned(),
        kind: "m2".to_owned(),
        destination: 3,
        state,
        capacity_hint: 1.5,
        health: status,
    };
    let list = WatchEvent {
        version: 41,
        is_snapshot: false,
        endpoints: vec![
            target("s-1", "10.1.0.18:8000", EndpointState::Active, HealthStatus::Passing),
            target("s-2", "[fd00::1]:8000", EndpointState::Draining, HealthStatus::Warning),
            target("s-3", "10.1.0.19:8000", EndpointState::Removed, HealthStatus::Critical),
        ],
        origin: "consul:5be2".to_owned(),
    };
    assert_eq!(serde_json::to_string(&list).expect("JSON") + "\n", LIST);
    assert_eq!(parse_list(LIST.as_bytes()).expect("a list"), list);
    let empty = WatchEvent { version: 1, is_snapshot: true, endpoints: Vec::new(), origin: String::new() };
    assert_eq!(serde_json::to_string(&empty).expect("JSON"), "{\"rev\":1,\"all\":true,\"targets\":[]}");
}

//! Guards against changes in the platform's configuration file: the name of each field, and the value that it sets.

use orchidyoke_core::endpoint_list::{EndpointEntry, EndpointState, HealthStatus, WatchEvent};
use orchidyoke_core::interface::{
    CapacityHints, Class, DestinationKind, DiscoveryMode, Idempotency, Settings, WeightDecay,
};
use orchidyoke_forwarder::config::Config;

const FULL: &str = include_str!("fixtures/wire/config.json");
const EXAMPLE: &str = include_str!("../../../examples/config.json");

#[test]
fn each_field_of_a_configuration_is_read_by_its_name() {
    let config = Config::read(FULL, None, None).expect("the configuration is valid");
    assert_eq!(config.name, "n7");
    assert_eq!(config.listen.to_string(), "127.0.0.1:8001");
    assert_eq!(config.discovery.from_command_line, None);
    assert_eq!(config.discovery.configured.to_string(), "127.0.0.1:8502");
    assert_eq!(config.console.map(|at| at.to_string()).as_deref(), Some("127.0.0.1:8003"));
    assert_eq!(config.seed, 0x8c1f_30d2_7a5b_e964);
    assert_eq!((config.limits.max_descriptors, config.limits.disk_mb), (1025, 3.5));
    assert!(config.policy_ejected.iter().map(String::as_str).eq(["s-1", "s-9"]));
    let expected_endpoints = vec![EndpointEntry {
        uid: "s-1".to_owned(),
        address: "127.0.0.1:8600".parse().expect("a valid address"),
        zone: "a".to_owned(),
        kind: "shops".to_owned(),
        destination: 7,
        state: EndpointState::Draining,
        capacity_hint: 10.5,
        health: HealthStatus::Critical,
    }];
    assert_eq!(
        config.initial_list,
        WatchEvent {
            version: 3,
            is_snapshot: true,
            endpoints: expected_endpoints,
            origin: "consul:5be2".to_owned()
        }
    );
    assert_eq!(config.settings.max_calls, 14);
    assert_eq!(config.names.classes, ["status"]);
    assert!(config.catalogue.is_none() && config.owners.is_none());
}

#[test]
fn example_configuration_keeps_its_values() {
    let config =
        Config::read(EXAMPLE, Some("127.0.0.1:1"), Some("127.0.0.1:2")).expect("the configuration is valid");
    assert_eq!((&config.name[..], config.listen.port()), ("n0", 1));
    assert_eq!(config.discovery.from_command_line.map(|at| at.port()), Some(2));
    assert_eq!(config.discovery.configured.port(), 8500);
    assert!(config.console.is_none() && config.policy_ejected.is_empty());
    assert_eq!((config.limits.max_descriptors, config.limits.disk_mb), (1024, 3.0));
    let endpoint = |uid: &str, port: u16, destination_id| EndpointEntry {
        uid: uid.to_owned(),
        address: ([127, 0, 0, 1], port).into(),
        zone: "a".to_owned(),
        kind: "shops".to_owned(),
        destination: destination_id,
        state: EndpointState::Active,
        capacity_hint: 10.0,
        health: HealthStatus::Passing,
    };
    let expected_endpoints = vec![endpoint("s-good", 8600, 7), endpoint("s-bad", 8601, 8)];
    assert_eq!(
        config.initial_list,
        WatchEvent { version: 1, is_snapshot: true, endpoints: expected_endpoints, origin: String::new() }
    );
    let class = |objective, deadline, late_share, class_idempotency| Class {
        latency_objective: objective,
        deadline,
        priority_weight: 1.0,
        late_weight_share: late_share,
        idempotency: class_idempotency,
        keep_order: false,
    };
    let settings = Settings {
        fleet_size: 1,
        zone: 0,
        classes: vec![
            class(1_000_000, 8_000_000, 0.1, Idempotency::Idempotent),
            class(3_000_000, 28_000_000, 0.4, Idempotency::NonIdempotent),
        ],
        kinds: vec![
            DestinationKind { max_batch: 20, separate_routes: false },
            DestinationKind { max_batch: 1, separate_routes: false },
        ],
        tenant_quotas: vec![20.0],
        over_quota_weight: 0.2,
        decay: WeightDecay::Halving,
        max_calls: 14,
        max_open_messages: 272,
        max_attempts: 8,
        allow_hedging: false,
        allow_cancel: true,
        send_retry_after: true,
        max_retry_after: 3_000_000,
        streams_per_connection: 1,
        idle_timeout: 10_000_000,
        connect_timeout: 1_000_000,
        handshake_cost: 0.02,
        cross_zone_cost: 0.0,
        zone_costs: vec![0.0],
        capacity_hints: CapacityHints::Nominal,
        discovery_mode: DiscoveryMode::Push,
        tick: 5_000,
        final_answer_grace: 20_000,
        max_poll_interval: 10_000_000,
        drain_grace: 250_000,
        overload_factor: 2.0,
        overload_window: 2_000_000,
        cold_capacity_share: 0.18,
        warm_up_time: 9_400_000,
        key_cooldown: 0,
    };
    assert_eq!(config.settings, settings);
    assert_eq!(config.names.classes, ["status", "orders"]);
    assert_eq!(config.names.tenants, ["acme"]);
    assert_eq!(config.names.kinds, ["carriers", "shops"]);
    assert_eq!(config.names.zones, ["a"]);
}

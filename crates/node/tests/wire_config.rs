//! Protects the platform's configuration as a file: the name of each field, and what becomes of it.

use orchidyoke_core::interface::{Class, Decay, Directory, Effect, Kind, Settings, Weights};
use orchidyoke_core::transport_map::{Checks, News, State, Target};
use orchidyoke_node::config::Config;

const FULL: &str = include_str!("fixtures/wire/config.json");
const EXAMPLE: &str = include_str!("../../../examples/config.json");

#[test]
fn each_field_of_a_configuration_is_read_by_its_name() {
    let config = Config::read(FULL, None, None).expect("a configuration");
    assert_eq!(config.name, "n7");
    assert_eq!(config.listen.to_string(), "127.0.0.1:8001");
    assert_eq!(config.discovery.given, None);
    assert_eq!(config.discovery.file.to_string(), "127.0.0.1:8502");
    assert_eq!(config.console.map(|at| at.to_string()).as_deref(), Some("127.0.0.1:8003"));
    assert_eq!(config.seed, 0x8c1f_30d2_7a5b_e964);
    assert_eq!((config.limits.sockets, config.limits.disk_mb), (1025, 3.5));
    assert!(config.policy_out.iter().map(String::as_str).eq(["s-1", "s-9"]));
    let targets = vec![Target {
        uid: "s-1".to_owned(),
        endpoint: "127.0.0.1:8600".parse().expect("an address"),
        az: "a".to_owned(),
        model: "shops".to_owned(),
        pod_group: 7,
        state: State::Terminating,
        capacity_hint: 10.5,
        checks: Checks::Critical,
    }];
    assert_eq!(config.known, News { rev: 3, all: true, targets, origin: "consul:5be2".to_owned() });
    assert_eq!(config.settings.slots, 14);
    assert_eq!(config.names.classes, ["status"]);
    assert!(config.catalogue.is_none() && config.owners.is_none());
}

#[test]
fn the_example_is_read_as_before() {
    let config = Config::read(EXAMPLE, Some("127.0.0.1:1"), Some("127.0.0.1:2")).expect("a configuration");
    assert_eq!((&config.name[..], config.listen.port()), ("n0", 1));
    assert_eq!(config.discovery.given.map(|at| at.port()), Some(2));
    assert_eq!(config.discovery.file.port(), 8500);
    assert!(config.console.is_none() && config.policy_out.is_empty());
    assert_eq!((config.limits.sockets, config.limits.disk_mb), (1024, 3.0));
    let target = |uid: &str, port: u16, pod_group| Target {
        uid: uid.to_owned(),
        endpoint: ([127, 0, 0, 1], port).into(),
        az: "a".to_owned(),
        model: "shops".to_owned(),
        pod_group,
        state: State::InService,
        capacity_hint: 10.0,
        checks: Checks::Passing,
    };
    let targets = vec![target("s-good", 8600, 7), target("s-bad", 8601, 8)];
    assert_eq!(config.known, News { rev: 1, all: true, targets, origin: String::new() });
    let class = |aim, deadline, late_share, effect| Class {
        aim,
        deadline,
        worth: 1.0,
        late_share,
        effect,
        keep_order: false,
    };
    let settings = Settings {
        fleet_size: 1,
        zone: 0,
        classes: vec![
            class(1_000_000, 8_000_000, 0.1, Effect::Safe),
            class(3_000_000, 28_000_000, 0.4, Effect::Unsafe),
        ],
        kinds: vec![Kind { batch: 20, apart: false }, Kind { batch: 1, apart: false }],
        tenant_quotas: vec![20.0],
        over_share_worth: 0.2,
        decay: Decay::Halving,
        slots: 14,
        max_open: 272,
        max_attempts: 8,
        second_copies: false,
        may_cancel: true,
        retry_after: true,
        max_retry_after: 3_000_000,
        streams: 1,
        idle_close: 10_000_000,
        connect_timeout: 1_000_000,
        handshake_cost: 0.02,
        cross_zone_cost: 0.0,
        zone_fees: vec![0.0],
        weights: Weights::Nominal,
        directory: Directory::Pushed,
        tick: 5_000,
        answer_slack: 20_000,
        ask_every: 10_000_000,
        drain_grace: 250_000,
        fall_multiple: 2.0,
        tip_after: 2_000_000,
        cold_from: 0.18,
        warm_within: 9_400_000,
        key_quiet: 0,
    };
    assert_eq!(config.settings, settings);
    assert_eq!(config.names.classes, ["status", "orders"]);
    assert_eq!(config.names.tenants, ["acme"]);
    assert_eq!(config.names.kinds, ["carriers", "shops"]);
    assert_eq!(config.names.zones, ["a"]);
}

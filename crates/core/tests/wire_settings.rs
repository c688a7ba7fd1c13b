//! Protects the settings JSON that the platform and the simulator write: the name of each field and of each choice, and
//! what becomes of it; and the form in which the list of endpoints is written.

use orchidyoke_core::interface::{Class, Decay, Directory, Effect, Group, Kind, Settings, Weights};
use orchidyoke_core::settings::read;
use orchidyoke_core::transport_map::{Checks, News, State, Target, read_list};

const FULL: &str = include_str!("fixtures/wire/settings.json");
const LIST: &str = include_str!("fixtures/wire/list.json");

#[test]
fn each_field_of_the_settings_is_read_by_its_name() {
    let class = |aim, deadline, worth, late_share, effect| Class {
        aim,
        deadline,
        worth,
        late_share,
        effect,
        keep_order: aim == 106,
    };
    let keyed = |group, window| Effect::Keyed { group, window };
    let expected = Settings {
        fleet_size: 15,
        zone: 1,
        classes: vec![
            class(101, 102, 1.03, 0.104, Effect::Safe),
            class(106, 107, 1.08, 0.109, keyed(Group::Zone, 105)),
            class(111, 112, 1.13, 0.114, keyed(Group::All, 110)),
            class(116, 117, 1.18, 0.119, keyed(Group::Endpoint, 115)),
            class(120, 121, 0.0, 0.0, Effect::Unsafe),
        ],
        kinds: vec![
            Kind { batch: 20, apart: true },
            Kind { batch: 1, apart: false },
            Kind { batch: 1, apart: false },
        ],
        tenant_quotas: vec![34.5, 0.0],
        over_share_worth: 0.17,
        decay: Decay::Halving,
        slots: 14,
        max_open: 22,
        max_attempts: 25,
        second_copies: true,
        may_cancel: true,
        retry_after: true,
        max_retry_after: 23,
        streams: 24,
        idle_close: 21,
        connect_timeout: 20,
        handshake_cost: 0.18,
        cross_zone_cost: 0.19,
        zone_fees: vec![0.01, 0.04],
        weights: Weights::Nominal,
        directory: Directory::OnRequest,
        tick: 16,
        answer_slack: 26,
        ask_every: 27,
        drain_grace: 29,
        fall_multiple: 3.0,
        tip_after: 31,
        cold_from: 0.28,
        warm_within: 32,
        key_quiet: 33,
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
    let read_with = |said: &str, instead: &str| {
        assert_eq!(FULL.matches(said).count(), 1, "{said}");
        read(&FULL.replace(said, instead)).expect("settings").0
    };
    assert!(!read_with("\"may_cancel\": true", "\"may_cancel\": false").may_cancel);
    assert!(!read_with("\"retry_after\": true", "\"retry_after\": false").retry_after);
    assert!(!read_with("\"second_copies\": true", "\"second_copies\": false").second_copies);
    assert!(!read_with(", \"keep_order\": true", "").classes[1].keep_order);
    let (nominal, rough, silent) =
        ("\"weights\": \"nominal\"", "\"weights\": \"rough\"", "\"weights\": \"silent\"");
    assert_eq!(read_with(nominal, rough).weights, Weights::Rough);
    assert_eq!(read_with(nominal, silent).weights, Weights::None);
    assert_eq!(read_with("\"on_request\"", "\"pushed\"").directory, Directory::Pushed);
    assert_eq!(read_with("\"halving\"", "\"linear\"").decay, Decay::Linear);
}

#[test]
fn settings_that_say_nothing_are_read_as_before() {
    let (settings, names) = read("{}").expect("settings");
    assert_eq!(settings, Settings::default());
    assert_eq!(names.zones, [""], "its own zone, which has no name");
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
fn the_list_of_endpoints_is_written_and_read_as_before() {
    let target = |uid: &str, endpoint: &str, state, checks| Target {
        uid: uid.to_owned(),
        endpoint: endpoint.parse().expect("an address"),
        az: "a".to_owned(),
        model: "m2".to_owned(),
        pod_group: 3,
        state,
        capacity_hint: 1.5,
        checks,
    };
    let list = News {
        rev: 41,
        all: false,
        targets: vec![
            target("s-1", "10.1.0.18:8000", State::InService, Checks::Passing),
            target("s-2", "[fd00::1]:8000", State::Terminating, Checks::Warning),
            target("s-3", "10.1.0.19:8000", State::Terminated, Checks::Critical),
        ],
        origin: "consul:5be2".to_owned(),
    };
    assert_eq!(serde_json::to_string(&list).expect("JSON") + "\n", LIST);
    assert_eq!(read_list(LIST.as_bytes()).expect("a list"), list);
    let bare = News { rev: 1, all: true, targets: Vec::new(), origin: String::new() };
    assert_eq!(serde_json::to_string(&bare).expect("JSON"), "{\"rev\":1,\"all\":true,\"targets\":[]}");
}

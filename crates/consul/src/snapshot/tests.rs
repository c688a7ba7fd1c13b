//! Tests of [`super`] that need its private items.

use super::*;
use crate::api::{Check, Instance, Node};
use orchidyoke_core::endpoint_list::EndpointList;
use proptest::prelude::*;

fn settings(services: &[(&str, u64)]) -> Settings {
    let service = |(name, destination): &(&str, u64)| Service {
        name: (*name).to_owned(),
        destination: *destination,
        kind: "one".to_owned(),
        zone: "a".to_owned(),
        zone_meta: Some("zone".to_owned()),
        ..Service::default()
    };
    Settings {
        services: services.iter().map(service).collect(),
        networks: vec!["127.0.0.0/8".parse().expect("a network")],
        ..Settings::default()
    }
}

fn entry(node: &str, id: &str, address: &str, port: i64, status: &str) -> ServiceEntry {
    ServiceEntry {
        node: Node { node: node.to_owned(), address: "127.0.0.1".to_owned(), ..Node::default() },
        service: Instance { id: id.to_owned(), address: address.to_owned(), port, ..Instance::default() },
        checks: vec![Check { status: status.to_owned(), ..Check::default() }],
    }
}

fn current(endpoints: Vec<EndpointEntry>) -> WatchEvent {
    WatchEvent { version: 7, is_snapshot: true, endpoints, origin: String::new() }
}

fn uids(event: &WatchEvent) -> Vec<(String, EndpointState)> {
    event.endpoints.iter().map(|endpoint| (endpoint.uid.clone(), endpoint.state)).collect()
}

#[test]
fn moved_instance_is_a_new_endpoint_after_removal_of_the_old() {
    let mut snapshot = CatalogueSnapshot::new(&settings(&[("web", 3)]), &current(vec![]));
    snapshot.apply(0, &[entry("n1", "web-1", "", 8001, "passing")]);
    let delta = snapshot.apply(0, &[entry("n1", "web-1", "127.0.0.2", 8001, "passing")]);
    assert_eq!(
        uids(&delta.events[0]),
        [
            ("web.3/n1/web-1@127.0.0.1:8001".to_owned(), EndpointState::Removed),
            ("web.3/n1/web-1@127.0.0.2:8001".to_owned(), EndpointState::Active),
        ]
    );
    let delta = snapshot.apply(0, &[entry("n2", "web-1", "127.0.0.2", 8001, "passing")]);
    assert_eq!(delta.events[0].endpoints.len(), 2, "the same id on another node is another endpoint");
    let both =
        [entry("n1", "web-1", "", 8001, "passing"), entry("n2", "web-1", "127.0.0.2", 8001, "passing")];
    assert_eq!(
        snapshot.apply(0, &both).events[0].endpoints.len(),
        1,
        "an id on two nodes belongs to two endpoints"
    );
}

#[test]
fn unusable_instance_is_no_endpoint_and_reported_once() {
    let mut snapshot = CatalogueSnapshot::new(&settings(&[("web", 3)]), &current(vec![]));
    let unusable = [
        entry("n1", "out", "10.0.0.1", 80, "passing"),
        entry("n1", "name", "web.example", 80, "passing"),
        entry("n1", "mapped", "::ffff:10.0.0.1", 80, "passing"),
        entry("n1", "portless", "127.0.0.1", 0, "passing"),
        entry("n1", "high", "127.0.0.1", 65_536, "passing"),
    ];
    let delta = snapshot.apply(0, &unusable);
    assert_eq!((delta.events.len(), delta.unusable.len()), (0, 5), "{:?}", delta.unusable);
    assert_eq!(snapshot.apply(0, &unusable), SnapshotDelta::default());
    let mapped = entry("n1", "in", "::ffff:127.0.0.1", 80, "passing");
    assert_eq!(snapshot.apply(0, &[mapped]).events.len(), 1);
}

#[test]
fn endpoint_takes_zone_state_and_health_from_the_entry() {
    let mut snapshot = CatalogueSnapshot::new(&settings(&[("web", 3)]), &current(vec![]));
    let mut one = entry("n1", "w", "", 80, "warning");
    one.node.meta.insert("zone".to_owned(), "b".to_owned());
    let endpoint = snapshot.apply(0, &[one.clone()]).events[0].endpoints[0].clone();
    assert_eq!(
        (endpoint.zone.as_str(), endpoint.state, endpoint.health),
        ("b", EndpointState::Active, HealthStatus::Warning)
    );
    one.service.meta.insert("zone".to_owned(), "c".to_owned());
    assert_eq!(
        snapshot.apply(0, &[one]).events[0].endpoints[0].zone,
        "c",
        "the zone of the instance takes precedence"
    );
}

// Guards against full load for a destination that has endpoints again, when only the catalogue showed that it had none.
#[test]
fn returning_destination_is_listed_as_critical_first() {
    let mut snapshot = CatalogueSnapshot::new(&settings(&[("web", 3)]), &current(vec![]));
    let all = [entry("n1", "w", "", 80, "passing"), entry("n2", "w", "", 81, "passing")];
    assert_eq!(snapshot.apply(0, &all).events.len(), 1, "the destination is new, it has not returned");
    let removals = snapshot.apply(0, &[]).events;
    assert!(removals[0].endpoints.iter().all(
        |endpoint| (endpoint.state, endpoint.health) == (EndpointState::Removed, HealthStatus::Critical)
    ));
    let returned = snapshot.apply(0, &all).events;
    let checks: Vec<_> = returned.iter().map(|event| event.endpoints[0].health).collect();
    assert_eq!(checks, [HealthStatus::Critical, HealthStatus::Passing]);
    assert!(
        returned[0].version < returned[1].version && returned.iter().all(|event| event.endpoints.len() == 2)
    );
}

#[test]
fn endpoints_of_another_source_stay_until_their_destination_is_known() {
    let old = |uid: &str, destination| EndpointEntry {
        uid: uid.to_owned(),
        address: "127.0.0.1:9".parse().expect("an address"),
        zone: String::new(),
        kind: "one".to_owned(),
        destination,
        state: EndpointState::Active,
        capacity_hint: 1.0,
        health: HealthStatus::Passing,
    };
    let current = current(vec![old("s1", 3), old("s2", 4), old("s3", 5)]);
    let mut snapshot = CatalogueSnapshot::new(&settings(&[("web", 3), ("web-2", 3), ("api", 4)]), &current);
    let removed_uids = |events: &[WatchEvent]| -> Vec<String> {
        let all = events.iter().flat_map(|event| &event.endpoints);
        all.filter(|endpoint| endpoint.state == EndpointState::Removed)
            .map(|endpoint| endpoint.uid.clone())
            .collect()
    };
    assert_eq!(removed_uids(&snapshot.apply(0, &[entry("n1", "w", "", 80, "passing")]).events), ["s3"]);
    assert_eq!(
        removed_uids(&snapshot.apply(1, &[]).events),
        ["s1"],
        "both services of destination 3 have had a response"
    );
    let last = snapshot.apply(2, &[]).events;
    assert_eq!(
        (removed_uids(&last), last[0].version),
        (vec!["s2".to_owned()], 10),
        "a valid empty response removes the endpoints"
    );
}

#[test]
fn restart_continues_from_the_stored_list() {
    let settings = settings(&[("web", 3)]);
    let mut list = EndpointList::default();
    let both = [entry("n1", "w", "", 80, "passing"), entry("n2", "w", "", 81, "passing")];
    let mut snapshot = CatalogueSnapshot::new(&settings, &current(vec![]));
    snapshot.apply(0, &both).events.iter().for_each(|event| list.apply(event));
    let mut restarted = CatalogueSnapshot::new(&settings, &list.snapshot());
    assert!(restarted.apply(0, &both).events.is_empty(), "nothing has changed");
    assert_eq!(restarted.apply(0, &both[1..]).events[0].endpoints.len(), 1);
    assert_eq!(
        (
            restarted.endpoint_count(0),
            restarted.services_on_node("n2").count(),
            restarted.services_on_node("n1").count()
        ),
        (1, 1, 0)
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, rng_seed: prop::test_runner::RngSeed::Fixed(3), ..Default::default() })]

    // Guards against a list that differs from the catalogue. After any responses in any order, the list equals the last
    // response of each service, and its versions have only increased.
    #[test]
    fn endpoint_list_equals_the_last_response_of_each_service(
        responses in prop::collection::vec((0usize..3, prop::collection::vec((0u8..3, 0u8..4, 0u8..3), 0..6)), 1..40)
    ) {
        let settings = settings(&[("web", 3), ("api", 4), ("more", 4)]);
        let mut snapshot = CatalogueSnapshot::new(&settings, &current(vec![]));
        let mut list = EndpointList::default();
        let mut last = BTreeMap::new();
        for (service, instances) in responses {
            let status = ["passing", "warning", "critical"];
            let entries: Vec<_> = instances
                .iter()
                .map(|(n, i, s)| entry(&format!("n{n}"), &format!("i{i}"), "", 80 + i64::from(*i), status[usize::from(*s)]))
                .collect();
            for event in snapshot.apply(service, &entries).events {
                prop_assert!(event.version > list.version() && !event.endpoints.is_empty());
                list.apply(&event);
            }
            last.insert(service, entries);
            let mut expected = BTreeMap::new();
            for (service, entries) in &last {
                for entry in entries {
                    let endpoint = endpoint_entry(&settings.services[*service], &AllowedNetworks::new(&settings.networks), entry);
                    let endpoint = endpoint.expect("usable");
                    expected.insert(endpoint.uid.clone(), endpoint);
                }
            }
            let listed: BTreeMap<_, _> =
                list.snapshot().endpoints.into_iter().map(|endpoint| (endpoint.uid.clone(), endpoint)).collect();
            prop_assert_eq!(listed, expected);
        }
    }
}

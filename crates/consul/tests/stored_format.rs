//! Protects what is stored in a forwarder's journal from Consul's catalogue: the id of the list's source and the uids
//! of its endpoints. If they changed, a forwarder that starts would treat the stored list as that of another source,
//! and the endpoints of Consul as new ones.

use orchidyoke_consul::Settings;
use orchidyoke_consul::api::ServiceEntry;
use orchidyoke_consul::settings::{Consistency, Service, Tls};
use orchidyoke_consul::snapshot::CatalogueSnapshot;
use orchidyoke_core::endpoint_list::{EndpointEntry, EndpointState, HealthStatus, WatchEvent};
use std::time::Duration;

/// The ids of the settings below, one on each line.
const IDS: &str = include_str!("fixtures/ids");

fn service() -> Service {
    Service {
        name: "web".to_owned(),
        destination: 11,
        kind: "m-1".to_owned(),
        zone: "z-1".to_owned(),
        zone_meta: Some("where".to_owned()),
        capacity: 20.5,
        filter: Some("x == \"1\"".to_owned()),
    }
}

fn full() -> Settings {
    Settings {
        addresses: vec!["127.0.0.1:8500".parse().expect("an address")],
        tls: Some(Tls {
            ca: "/etc/ca.pem".into(),
            cert: Some("/etc/cert.pem".into()),
            key: Some("/etc/key.pem".into()),
            server_name: Some("server.dc1.consul".to_owned()),
        }),
        token_file: Some("/etc/token".into()),
        datacenter: Some("dc1".to_owned()),
        namespace: Some("n-1".to_owned()),
        consistency: Consistency::Stale,
        max_stale: Duration::from_millis(1500),
        wait: Duration::from_secs(20),
        connections: 7,
        services: vec![service(), Service { name: "other".to_owned(), ..Service::default() }],
        networks: vec!["10.0.0.0/8".parse().expect("a network")],
    }
}

fn ids() -> String {
    let consistency = Consistency::Consistent;
    let all = [Settings::default(), full(), Settings { consistency, ..Settings::default() }];
    all.iter().map(|settings| settings.id() + "\n").collect()
}

#[test]
fn settings_id_equals_the_stored_one() {
    assert_eq!(ids(), IDS);
}

#[test]
fn endpoint_uid_equals_the_stored_one() {
    let text = r#"[{"Node": {"Node": "n-1", "Address": "10.0.0.1", "Meta": {"where": "z-2"}},
        "Service": {"ID": "web-1", "Port": 8001}, "Checks": []}]"#;
    let entries: Vec<ServiceEntry> = serde_json::from_str(text).expect("an answer");
    let current = WatchEvent { version: 3, is_snapshot: true, endpoints: Vec::new(), origin: String::new() };
    let delta = CatalogueSnapshot::new(&full(), &current).apply(0, &entries);
    let endpoint = EndpointEntry {
        uid: "web.11/n-1/web-1@10.0.0.1:8001".to_owned(),
        address: "10.0.0.1:8001".parse().expect("an address"),
        zone: "z-2".to_owned(),
        kind: "m-1".to_owned(),
        destination: 11,
        state: EndpointState::Active,
        capacity_hint: 20.5,
        health: HealthStatus::Passing,
    };
    let origin = IDS.lines().nth(1).expect("an id").to_owned();
    assert_eq!(
        delta.events,
        [WatchEvent { version: 4, is_snapshot: false, endpoints: vec![endpoint], origin }]
    );
}

//! Protects the scripts of installations: the names of the functions that a script may call, the names of their
//! parameters, and the settings that result from them.

use orchidyoke_config::{EvaluationLimits, Installation, MemberSettings, OwnershipSettings, evaluate};
use orchidyoke_consul::Settings as Consul;
use orchidyoke_consul::settings::{Consistency, Service, Tls};
use orchidyoke_fakes::certificates::CertificateAuthority;
use orchidyoke_policy_commit::Settings as Policy;
use std::collections::BTreeSet;
use std::net::IpAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

const FULL: &str = include_str!("fixtures/wire/full.star");
const LEAST: &str = include_str!("fixtures/wire/least.star");

/// A folder with the files that the scripts refer to. It is removed when it is dropped.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("forms-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a folder");
        let address = IpAddr::from([127, 0, 0, 1]);
        CertificateAuthority::new(&path, "east").sign("n1", address, time::Duration::days(1));
        std::fs::write(path.join("token"), "5be2a07c\n").expect("written");
        Folder(path)
    }

    fn evaluate(&self, text: &str) -> Result<Installation, String> {
        let script = self.0.join("edge.star");
        evaluate(&script, text.to_owned(), EvaluationLimits::default()).map_err(|error| error.to_string())
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn tls(folder: &Path) -> Tls {
    Tls {
        ca: folder.join("east-ca.pem"),
        cert: Some(folder.join("n1.pem")),
        key: Some(folder.join("n1.key")),
        server_name: Some("server.dc1.consul".to_owned()),
    }
}

fn full_consul(folder: &Path) -> Consul {
    let refunds = Service {
        name: "refunds".to_owned(),
        destination: 7,
        kind: "one".to_owned(),
        zone: "a".to_owned(),
        zone_meta: Some("rack".to_owned()),
        capacity: 20.5,
        filter: Some("Service.Meta.live == yes".to_owned()),
    };
    let pickups = Service {
        name: "pickups".to_owned(),
        destination: 9,
        kind: "many".to_owned(),
        zone: "b".to_owned(),
        zone_meta: None,
        capacity: 0.0,
        filter: None,
    };
    Consul {
        addresses: vec!["10.2.0.1:8500".parse().expect("one"), "10.2.0.2:8501".parse().expect("one")],
        tls: Some(tls(folder)),
        token_file: Some(folder.join("token")),
        datacenter: Some("dc1".to_owned()),
        namespace: Some("edge".to_owned()),
        consistency: Consistency::Stale,
        max_stale: Duration::from_secs(5),
        wait: Duration::from_secs(11),
        connections: 17,
        services: vec![refunds, pickups],
        networks: vec!["10.2.0.0/16".parse().expect("one"), "fd00::/8".parse().expect("one")],
    }
}

#[test]
fn each_script_parameter_is_read_by_its_name() {
    let folder = Folder::new("full");
    let installation = folder.evaluate(FULL).expect("the script is valid");
    assert_eq!(installation.consul, Some(full_consul(&folder.0)));
    let policy = Policy {
        consul: Consul {
            addresses: vec!["10.2.0.3:8502".parse().expect("an address")],
            tls: Some(tls(&folder.0)),
            token_file: Some(folder.0.join("token")),
            datacenter: Some("dc2".to_owned()),
            namespace: Some("ops".to_owned()),
            ..Consul::default()
        },
        prefix: "fleet/policy".to_owned(),
        name: Some("n1".to_owned()),
        ttl: Duration::from_secs(12),
    };
    assert_eq!(installation.policy, Some(policy));
    let member = |name: &str, zone: &str, address: &str, weight| MemberSettings {
        name: name.to_owned(),
        zone: zone.to_owned(),
        address: address.parse().expect("an address"),
        weight,
    };
    let ownership = OwnershipSettings {
        name: "n1".to_owned(),
        region: "east".to_owned(),
        zones: BTreeSet::from(["a".to_owned(), "b".to_owned()]),
        regions: 2,
        members: vec![member("n1", "a", "10.2.0.1:8080", 1.0), member("n2", "b", "10.2.0.2:8081", 2.5)],
    };
    assert_eq!(installation.ownership, Some(ownership));
}

#[test]
fn omitted_parameters_keep_their_defaults() {
    let folder = Folder::new("least");
    let installation = folder.evaluate(LEAST).expect("the script is valid");
    let consul = installation.consul.expect("the script requests Consul");
    let ca = folder.0.join("east-ca.pem");
    assert_eq!(consul.tls, Some(Tls { ca, cert: None, key: None, server_name: None }));
    assert_eq!((&consul.token_file, &consul.datacenter, &consul.namespace), (&None, &None, &None));
    assert_eq!(consul.consistency, Consistency::Default);
    assert_eq!((consul.max_stale.as_secs(), consul.wait.as_secs(), consul.connections), (10, 30, 64));
    let policy = installation.policy.expect("the script requests a policy commit point");
    assert_eq!((&policy.prefix[..], policy.name, policy.ttl.as_secs()), ("orchidyoke/policy", None, 10));
    assert_eq!(installation.ownership, None);
    for (word, expected) in [("default", Consistency::Default), ("consistent", Consistency::Consistent)] {
        let text = LEAST.replace("    tls =", &format!("    consistency = \"{word}\",\n    tls ="));
        let consul =
            folder.evaluate(&text).expect("the script is valid").consul.expect("the script requests Consul");
        assert_eq!(consul.consistency, expected);
    }
}

#[test]
fn required_parameters_are_unchanged() {
    let folder = Folder::new("needed");
    for line in [
        "    addresses = [\"10.2.0.1:8500\", \"10.2.0.2:8501\"],\n",
        "    networks = [\"10.2.0.0/16\", \"fd00::/8\"],\n",
        "            name = \"refunds\",\n",
        "            destination = 7,\n",
        "            kind = \"one\",\n",
        "            zone = \"a\",\n",
        "    addresses = [\"10.2.0.3:8502\"],\n",
        "    name = \"n1\",\n    region = \"east\",\n",
        "    region = \"east\",\n",
        "    regions = {\"east\": [\"a\", \"b\"], \"west\": [\"c\"]},\n",
        "ca = \"east-ca.pem\", ",
        "zone = \"a\", address",
        ", address = \"10.2.0.1:8080\"",
    ] {
        assert_eq!(FULL.matches(line).count(), 1, "{line}");
        let replacement = if line.starts_with("zone") { "address" } else { "" };
        assert!(folder.evaluate(&FULL.replace(line, replacement)).is_err(), "without {line}");
    }
}

// Guards against a changed id of the Consul settings. A forwarder stores its endpoint list with this id, and does not
// use the stored list if the id differs.
#[test]
fn consul_settings_id_is_unchanged() {
    let consul = full_consul(Path::new("/etc/edge"));
    assert_eq!(consul.id(), include_str!("fixtures/wire/consul_id.txt").trim());
}

//! The snapshot of all services that are followed, and the changes from one answer to the next. No I/O, no clock.

use crate::api::ServiceEntry;
use crate::instance_health::instance_health;
use crate::settings::{Service, Settings};
use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use iprange::IpRange;
use orchidyoke_core::endpoint_list::{EndpointEntry, EndpointState, HealthStatus, WatchEvent};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::{IpAddr, SocketAddr};

/// Why an instance of the catalogue is no endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Unusable {
    /// Its address is none that can be dialled without a look-up.
    Address(String),
    /// It has no port.
    Port(i64),
    /// It lies outside the networks that are allowed.
    Outside(SocketAddr),
}

impl fmt::Display for Unusable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Unusable::Address(text) => write!(f, "{text:?} is no IP address, and names are not looked up"),
            Unusable::Port(port) => write!(f, "{port} is no port"),
            Unusable::Outside(address) => write!(f, "{address} lies outside the networks that are allowed"),
        }
    }
}

/// The networks in which endpoints may lie.
#[derive(Debug, Default)]
struct Networks {
    v4: IpRange<Ipv4Net>,
    v6: IpRange<Ipv6Net>,
}

impl Networks {
    fn new(networks: &[IpNet]) -> Self {
        let mut all = Networks::default();
        for network in networks {
            match network {
                IpNet::V4(network) => drop(all.v4.add(network.trunc())),
                IpNet::V6(network) => drop(all.v6.add(network.trunc())),
            }
        }
        all.v4.simplify();
        all.v6.simplify();
        all
    }

    fn allow(&self, address: IpAddr) -> bool {
        match address.to_canonical() {
            IpAddr::V4(address) => self.v4.contains(&address),
            IpAddr::V6(address) => self.v6.contains(&address),
        }
    }
}

/// What is known of one service.
#[derive(Debug)]
struct Known {
    service: Service,
    heard: bool,
    targets: BTreeMap<String, EndpointEntry>,
    /// Instances that are no endpoints, as told last.
    unusable: BTreeSet<String>,
}

/// What one answer has brought.
#[derive(Debug, Default, PartialEq)]
pub struct Change {
    /// For the transport map, in this order.
    pub news: Vec<WatchEvent>,
    /// Instances that are no endpoints and were not so before, each with its reason.
    pub unusable: Vec<String>,
}

/// All services as they were told last.
#[derive(Debug)]
pub struct CatalogueSnapshot {
    origin: String,
    rev: u64,
    networks: Networks,
    services: Vec<Known>,
    /// Endpoints of the list held at the start that no service has named: they stay in use until all services of
    /// their destination are known.
    strays: BTreeMap<String, EndpointEntry>,
    /// Destinations that have had an endpoint.
    known: BTreeSet<u64>,
}

impl CatalogueSnapshot {
    /// A snapshot that goes on from the list held, whoever told that.
    pub fn new(settings: &Settings, held: &WatchEvent) -> Self {
        let mut strays: BTreeMap<_, _> = held.endpoints.iter().map(|t| (t.uid.clone(), t.clone())).collect();
        let known = |service: &Service| {
            let prefix = prefix(service);
            let mine = |uid: &String, target: &mut EndpointEntry| {
                uid.starts_with(&prefix) && target.destination == service.destination
            };
            let targets = strays.extract_if(.., mine).collect();
            Known { service: service.clone(), heard: false, targets, unusable: BTreeSet::new() }
        };
        let services = settings.services.iter().map(known).collect();
        CatalogueSnapshot {
            origin: settings.id(),
            rev: held.version,
            networks: Networks::new(&settings.networks),
            services,
            strays,
            known: held.endpoints.iter().map(|target| target.destination).collect(),
        }
    }

    /// Endpoints of a service.
    pub fn len_of(&self, service: usize) -> usize {
        self.services[service].targets.len()
    }

    /// Services that have an instance on this node.
    pub fn on_node<'a>(&'a self, node: &'a str) -> impl Iterator<Item = usize> + 'a {
        let on = move |known: &Known| known.targets.keys().any(|uid| node_of(uid) == Some(node));
        self.services.iter().enumerate().filter(move |(_, known)| on(known)).map(|(place, _)| place)
    }

    /// Takes a whole and believed answer for one service. What it leaves out is gone.
    pub fn take(&mut self, service: usize, entries: &[ServiceEntry]) -> Change {
        let known = &self.services[service];
        let (mut targets, mut unusable) = (BTreeMap::new(), BTreeMap::new());
        for entry in entries {
            match target(&known.service, &self.networks, entry) {
                Ok(target) => drop(targets.insert(target.uid.clone(), target)),
                Err(why) => {
                    let name = format!("{}/{}", entry.node.node, entry.service.id);
                    unusable.insert(format!("{}: {name}: {why}", known.service.name), ());
                }
            }
        }
        let news = self.changes(service, targets);
        let known = &mut self.services[service];
        let unusable: BTreeSet<String> = unusable.into_keys().collect();
        let fresh = unusable.difference(&known.unusable).cloned().collect();
        known.unusable = unusable;
        Change { news, unusable: fresh }
    }

    /// The changes that lead to these targets. What is gone comes first: an address may have a new owner.
    fn changes(&mut self, service: usize, now: BTreeMap<String, EndpointEntry>) -> Vec<WatchEvent> {
        let destination = self.services[service].service.destination;
        let empty = !self.has_endpoints(destination);
        let known = &mut self.services[service];
        known.heard = true;
        let before = std::mem::replace(&mut known.targets, now);
        let after = &known.targets;
        let mut gone: Vec<EndpointEntry> =
            before.values().filter(|t| !after.contains_key(&t.uid)).cloned().collect();
        let changed: Vec<EndpointEntry> =
            after.values().filter(|t| before.get(&t.uid) != Some(t)).cloned().collect();
        gone.extend(self.strays_over(destination));
        // Gone is unfit: where the last one goes, the destination is in trouble, and comes back cold.
        let gone = gone.into_iter().map(|t| EndpointEntry {
            state: EndpointState::Removed,
            health: HealthStatus::Critical,
            ..t
        });
        let back = empty && self.known.contains(&destination);
        if !changed.is_empty() {
            self.known.insert(destination);
        }
        // A destination that had none for a while was away, though only the catalogue saw it: its endpoints are told
        // as unfit first, so that their good report alone does not open them.
        let unfit = changed
            .iter()
            .filter(|_| back)
            .map(|t| EndpointEntry { health: HealthStatus::Critical, ..t.clone() });
        let first: Vec<EndpointEntry> = gone.chain(unfit).collect();
        let (first, then) =
            if back { (first, changed) } else { (first.into_iter().chain(changed).collect(), vec![]) };
        [first, then]
            .into_iter()
            .filter(|targets| !targets.is_empty())
            .map(|targets| self.news(targets))
            .collect()
    }

    fn news(&mut self, targets: Vec<EndpointEntry>) -> WatchEvent {
        self.rev += 1;
        WatchEvent { version: self.rev, is_snapshot: false, endpoints: targets, origin: self.origin.clone() }
    }

    fn has_endpoints(&self, destination: u64) -> bool {
        let of = |known: &&Known| known.service.destination == destination;
        self.services.iter().filter(of).any(|known| !known.targets.is_empty())
            || self.strays.values().any(|target| target.destination == destination)
    }

    /// Strays whose time is over: those of a destination whose services are all known, and, with the first answer,
    /// those of destinations that no service stands for.
    fn strays_over(&mut self, destination: u64) -> Vec<EndpointEntry> {
        if self.strays.is_empty() {
            return Vec::new();
        }
        let followed: BTreeSet<u64> = self.services.iter().map(|known| known.service.destination).collect();
        let mut of = self.services.iter().filter(|known| known.service.destination == destination);
        let all_heard = of.all(|known| known.heard);
        let over = |_: &String, target: &mut EndpointEntry| {
            !followed.contains(&target.destination) || all_heard && target.destination == destination
        };
        self.strays.extract_if(.., over).map(|(_, target)| target).collect()
    }
}

/// What the uids of a service begin with.
fn prefix(service: &Service) -> String {
    format!("{}.{}/", service.name, service.destination)
}

fn node_of(uid: &str) -> Option<&str> {
    uid.split('/').nth(1)
}

/// An instance as an endpoint. Its uid holds all that makes it another one: the same id on another node or at another
/// address inherits nothing.
fn target(service: &Service, networks: &Networks, entry: &ServiceEntry) -> Result<EndpointEntry, Unusable> {
    let (node, instance) = (&entry.node, &entry.service);
    let text = if instance.address.is_empty() { &node.address } else { &instance.address };
    let address: IpAddr = text.parse().map_err(|_| Unusable::Address(text.clone()))?;
    let port = u16::try_from(instance.port).ok().filter(|port| *port > 0);
    let endpoint = SocketAddr::new(address, port.ok_or(Unusable::Port(instance.port))?);
    if !networks.allow(address) {
        return Err(Unusable::Outside(endpoint));
    }
    let health = instance_health(entry);
    let meta = |key: &String| instance.meta.get(key).or_else(|| node.meta.get(key));
    Ok(EndpointEntry {
        uid: format!("{}{}/{}@{endpoint}", prefix(service), node.node, instance.id),
        address: endpoint,
        zone: service.zone_meta.as_ref().and_then(meta).unwrap_or(&service.zone).clone(),
        kind: service.kind.clone(),
        destination: service.destination,
        state: health.state,
        capacity_hint: service.capacity,
        health: health.checks,
    })
}

#[cfg(test)]
mod tests {
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

    fn held(targets: Vec<EndpointEntry>) -> WatchEvent {
        WatchEvent { version: 7, is_snapshot: true, endpoints: targets, origin: String::new() }
    }

    fn uids(news: &WatchEvent) -> Vec<(String, EndpointState)> {
        news.endpoints.iter().map(|t| (t.uid.clone(), t.state)).collect()
    }

    #[test]
    fn the_same_id_elsewhere_is_another_endpoint_and_the_old_one_goes_first() {
        let mut snapshot = CatalogueSnapshot::new(&settings(&[("web", 3)]), &held(vec![]));
        snapshot.take(0, &[entry("n1", "web-1", "", 8001, "passing")]);
        let change = snapshot.take(0, &[entry("n1", "web-1", "127.0.0.2", 8001, "passing")]);
        assert_eq!(
            uids(&change.news[0]),
            [
                ("web.3/n1/web-1@127.0.0.1:8001".to_owned(), EndpointState::Removed),
                ("web.3/n1/web-1@127.0.0.2:8001".to_owned(), EndpointState::Active),
            ]
        );
        let change = snapshot.take(0, &[entry("n2", "web-1", "127.0.0.2", 8001, "passing")]);
        assert_eq!(change.news[0].endpoints.len(), 2, "the same id on another node");
        let both =
            [entry("n1", "web-1", "", 8001, "passing"), entry("n2", "web-1", "127.0.0.2", 8001, "passing")];
        assert_eq!(
            snapshot.take(0, &both).news[0].endpoints.len(),
            1,
            "one id on two nodes is two endpoints"
        );
    }

    #[test]
    fn what_lies_elsewhere_or_nowhere_is_never_an_endpoint_and_told_once() {
        let mut snapshot = CatalogueSnapshot::new(&settings(&[("web", 3)]), &held(vec![]));
        let bad = [
            entry("n1", "out", "10.0.0.1", 80, "passing"),
            entry("n1", "name", "web.example", 80, "passing"),
            entry("n1", "mapped", "::ffff:10.0.0.1", 80, "passing"),
            entry("n1", "portless", "127.0.0.1", 0, "passing"),
            entry("n1", "high", "127.0.0.1", 65_536, "passing"),
        ];
        let change = snapshot.take(0, &bad);
        assert_eq!((change.news.len(), change.unusable.len()), (0, 5), "{:?}", change.unusable);
        assert_eq!(snapshot.take(0, &bad), Change::default());
        let mapped = entry("n1", "in", "::ffff:127.0.0.1", 80, "passing");
        assert_eq!(snapshot.take(0, &[mapped]).news.len(), 1);
    }

    #[test]
    fn zone_state_and_checks_come_from_the_entry() {
        let mut snapshot = CatalogueSnapshot::new(&settings(&[("web", 3)]), &held(vec![]));
        let mut one = entry("n1", "w", "", 80, "warning");
        one.node.meta.insert("zone".to_owned(), "b".to_owned());
        let target = snapshot.take(0, &[one.clone()]).news[0].endpoints[0].clone();
        assert_eq!(
            (target.zone.as_str(), target.state, target.health),
            ("b", EndpointState::Active, HealthStatus::Warning)
        );
        one.service.meta.insert("zone".to_owned(), "c".to_owned());
        assert_eq!(snapshot.take(0, &[one]).news[0].endpoints[0].zone, "c", "the instance's own comes first");
    }

    // Guards against a partner that only the catalogue saw leave, and that gets its whole load when it is back.
    #[test]
    fn a_destination_that_was_empty_comes_back_unfit_first() {
        let mut snapshot = CatalogueSnapshot::new(&settings(&[("web", 3)]), &held(vec![]));
        let all = [entry("n1", "w", "", 80, "passing"), entry("n2", "w", "", 81, "passing")];
        assert_eq!(snapshot.take(0, &all).news.len(), 1, "new, not back");
        let gone = snapshot.take(0, &[]).news;
        assert!(
            gone[0]
                .endpoints
                .iter()
                .all(|t| (t.state, t.health) == (EndpointState::Removed, HealthStatus::Critical))
        );
        let back = snapshot.take(0, &all).news;
        let checks: Vec<_> = back.iter().map(|n| n.endpoints[0].health).collect();
        assert_eq!(checks, [HealthStatus::Critical, HealthStatus::Passing]);
        assert!(back[0].version < back[1].version && back.iter().all(|n| n.endpoints.len() == 2));
    }

    #[test]
    fn the_list_of_another_source_stays_until_its_destination_is_known() {
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
        let held = held(vec![old("s1", 3), old("s2", 4), old("s3", 5)]);
        let mut snapshot = CatalogueSnapshot::new(&settings(&[("web", 3), ("web-2", 3), ("api", 4)]), &held);
        let gone = |news: &[WatchEvent]| -> Vec<String> {
            let all = news.iter().flat_map(|n| &n.endpoints);
            all.filter(|t| t.state == EndpointState::Removed).map(|t| t.uid.clone()).collect()
        };
        assert_eq!(gone(&snapshot.take(0, &[entry("n1", "w", "", 80, "passing")]).news), ["s3"]);
        assert_eq!(gone(&snapshot.take(1, &[]).news), ["s1"], "both services of destination 3 are known now");
        let last = snapshot.take(2, &[]).news;
        assert_eq!(
            (gone(&last), last[0].version),
            (vec!["s2".to_owned()], 10),
            "an authoritative nothing is obeyed"
        );
    }

    #[test]
    fn a_restart_goes_on_from_what_the_same_catalogue_told() {
        let settings = settings(&[("web", 3)]);
        let (mut map, both) = (
            EndpointList::default(),
            [entry("n1", "w", "", 80, "passing"), entry("n2", "w", "", 81, "passing")],
        );
        let mut snapshot = CatalogueSnapshot::new(&settings, &held(vec![]));
        snapshot.take(0, &both).news.iter().for_each(|news| map.apply(news));
        let mut again = CatalogueSnapshot::new(&settings, &map.snapshot());
        assert!(again.take(0, &both).news.is_empty(), "nothing has changed");
        assert_eq!(again.take(0, &both[1..]).news[0].endpoints.len(), 1);
        assert_eq!((again.len_of(0), again.on_node("n2").count(), again.on_node("n1").count()), (1, 1, 0));
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 200, rng_seed: prop::test_runner::RngSeed::Fixed(3), ..Default::default() })]

        // Guards against a map that drifts from the catalogue: after any answers in any order it holds what the last
        // answer for each service says, with versions that only grow.
        #[test]
        fn the_map_holds_what_was_answered_last(
            answers in prop::collection::vec((0usize..3, prop::collection::vec((0u8..3, 0u8..4, 0u8..3), 0..6)), 1..40)
        ) {
            let settings = settings(&[("web", 3), ("api", 4), ("more", 4)]);
            let mut snapshot = CatalogueSnapshot::new(&settings, &held(vec![]));
            let (mut map, mut last) = (EndpointList::default(), BTreeMap::new());
            for (service, instances) in answers {
                let status = ["passing", "warning", "critical"];
                let entries: Vec<_> = instances
                    .iter()
                    .map(|(n, i, s)| entry(&format!("n{n}"), &format!("i{i}"), "", 80 + i64::from(*i), status[usize::from(*s)]))
                    .collect();
                for news in snapshot.take(service, &entries).news {
                    prop_assert!(news.version > map.version() && !news.endpoints.is_empty());
                    map.apply(&news);
                }
                last.insert(service, entries);
                let mut expected = BTreeMap::new();
                for (service, entries) in &last {
                    for entry in entries {
                        let target = target(&settings.services[*service], &Networks::new(&settings.networks), entry);
                        let target = target.expect("usable");
                        expected.insert(target.uid.clone(), target);
                    }
                }
                let held: BTreeMap<_, _> = map.snapshot().endpoints.into_iter().map(|t| (t.uid.clone(), t)).collect();
                prop_assert_eq!(held, expected);
            }
        }
    }
}

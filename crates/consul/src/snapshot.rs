//! The snapshot of all services that are followed, and the changes from one answer to the next. No I/O, no clock.

use crate::api::ServiceEntry;
use crate::instance_health::instance_health;
use crate::settings::{Service, Settings};
use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use iprange::IpRange;
use orchidyoke_core::endpoint_list::{EndpointEntry, HealthChecks, ListedState, WatchEvent};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::{IpAddr, SocketAddr};

/// Why an instance of the catalogue is no endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UnusableInstance {
    /// Its address is none that can be dialled without a look-up.
    NotAnIpAddress(String),
    /// It has no port.
    InvalidPort(i64),
    /// It lies outside the networks that are allowed.
    OutsideNetworks(SocketAddr),
}

impl fmt::Display for UnusableInstance {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            UnusableInstance::NotAnIpAddress(text) => {
                write!(f, "{text:?} is no IP address, and names are not looked up")
            }
            UnusableInstance::InvalidPort(port) => write!(f, "{port} is no port"),
            UnusableInstance::OutsideNetworks(address) => {
                write!(f, "{address} lies outside the networks that are allowed")
            }
        }
    }
}

/// The networks in which endpoints may lie.
#[derive(Debug, Default)]
struct AllowedNetworks {
    v4: IpRange<Ipv4Net>,
    v6: IpRange<Ipv6Net>,
}

impl AllowedNetworks {
    fn new(networks: &[IpNet]) -> Self {
        let mut all = AllowedNetworks::default();
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

    fn contains(&self, address: IpAddr) -> bool {
        match address.to_canonical() {
            IpAddr::V4(address) => self.v4.contains(&address),
            IpAddr::V6(address) => self.v6.contains(&address),
        }
    }
}

/// What is known of one service.
#[derive(Debug)]
struct ServiceState {
    service: Service,
    is_known: bool,
    endpoints: BTreeMap<String, EndpointEntry>,
    /// Instances that are no endpoints, as told last.
    unusable: BTreeSet<String>,
}

/// What one answer has brought.
#[derive(Debug, Default, PartialEq)]
pub struct SnapshotDelta {
    /// For the transport map, in this order.
    pub events: Vec<WatchEvent>,
    /// Instances that are no endpoints and were not so before, each with its reason.
    pub unusable: Vec<String>,
}

/// All services as they were told last.
#[derive(Debug)]
pub struct CatalogueSnapshot {
    origin: String,
    version: u64,
    networks: AllowedNetworks,
    services: Vec<ServiceState>,
    /// Endpoints of the list held at the start that no service has named: they stay in use until all services of
    /// their destination are known.
    unclaimed: BTreeMap<String, EndpointEntry>,
    /// Destinations that have had an endpoint.
    seen_destinations: BTreeSet<u64>,
}

impl CatalogueSnapshot {
    /// A snapshot that goes on from the list held, whoever told that.
    pub fn new(settings: &Settings, held: &WatchEvent) -> Self {
        let mut strays: BTreeMap<_, _> = held.endpoints.iter().map(|t| (t.uid.clone(), t.clone())).collect();
        let known = |service: &Service| {
            let prefix = uid_prefix(service);
            let mine = |uid: &String, target: &mut EndpointEntry| {
                uid.starts_with(&prefix) && target.destination == service.destination
            };
            let targets = strays.extract_if(.., mine).collect();
            ServiceState {
                service: service.clone(),
                is_known: false,
                endpoints: targets,
                unusable: BTreeSet::new(),
            }
        };
        let services = settings.services.iter().map(known).collect();
        CatalogueSnapshot {
            origin: settings.id(),
            version: held.version,
            networks: AllowedNetworks::new(&settings.networks),
            services,
            unclaimed: strays,
            seen_destinations: held.endpoints.iter().map(|target| target.destination).collect(),
        }
    }

    /// Endpoints of a service.
    pub fn endpoint_count(&self, service: usize) -> usize {
        self.services[service].endpoints.len()
    }

    /// Services that have an instance on this node.
    pub fn services_on_node<'a>(&'a self, node: &'a str) -> impl Iterator<Item = usize> + 'a {
        let on = move |known: &ServiceState| known.endpoints.keys().any(|uid| node_of_uid(uid) == Some(node));
        self.services.iter().enumerate().filter(move |(_, known)| on(known)).map(|(place, _)| place)
    }

    /// Takes a whole and believed answer for one service. What it leaves out is gone.
    pub fn apply(&mut self, service: usize, entries: &[ServiceEntry]) -> SnapshotDelta {
        let known = &self.services[service];
        let (mut targets, mut unusable) = (BTreeMap::new(), BTreeMap::new());
        for entry in entries {
            match endpoint_entry(&known.service, &self.networks, entry) {
                Ok(target) => drop(targets.insert(target.uid.clone(), target)),
                Err(why) => {
                    let name = format!("{}/{}", entry.node.node, entry.service.id);
                    unusable.insert(format!("{}: {name}: {why}", known.service.name), ());
                }
            }
        }
        let news = self.delta_events(service, targets);
        let known = &mut self.services[service];
        let unusable: BTreeSet<String> = unusable.into_keys().collect();
        let fresh = unusable.difference(&known.unusable).cloned().collect();
        known.unusable = unusable;
        SnapshotDelta { events: news, unusable: fresh }
    }

    /// The changes that lead to these targets. What is gone comes first: an address may have a new owner.
    fn delta_events(&mut self, service: usize, now: BTreeMap<String, EndpointEntry>) -> Vec<WatchEvent> {
        let destination = self.services[service].service.destination;
        let empty = !self.has_endpoints(destination);
        let known = &mut self.services[service];
        known.is_known = true;
        let before = std::mem::replace(&mut known.endpoints, now);
        let after = &known.endpoints;
        let mut gone: Vec<EndpointEntry> =
            before.values().filter(|t| !after.contains_key(&t.uid)).cloned().collect();
        let changed: Vec<EndpointEntry> =
            after.values().filter(|t| before.get(&t.uid) != Some(t)).cloned().collect();
        gone.extend(self.take_obsolete_unclaimed(destination));
        // Gone is unfit: where the last one goes, the destination is in trouble, and comes back cold.
        let gone = gone.into_iter().map(|t| EndpointEntry {
            state: ListedState::Removed,
            health: HealthChecks::Critical,
            ..t
        });
        let back = empty && self.seen_destinations.contains(&destination);
        if !changed.is_empty() {
            self.seen_destinations.insert(destination);
        }
        // A destination that had none for a while was away, though only the catalogue saw it: its endpoints are told
        // as unfit first, so that their good report alone does not open them.
        let unfit = changed
            .iter()
            .filter(|_| back)
            .map(|t| EndpointEntry { health: HealthChecks::Critical, ..t.clone() });
        let first: Vec<EndpointEntry> = gone.chain(unfit).collect();
        let (first, then) =
            if back { (first, changed) } else { (first.into_iter().chain(changed).collect(), vec![]) };
        [first, then]
            .into_iter()
            .filter(|targets| !targets.is_empty())
            .map(|targets| self.next_event(targets))
            .collect()
    }

    fn next_event(&mut self, targets: Vec<EndpointEntry>) -> WatchEvent {
        self.version += 1;
        WatchEvent {
            version: self.version,
            is_snapshot: false,
            endpoints: targets,
            origin: self.origin.clone(),
        }
    }

    fn has_endpoints(&self, destination: u64) -> bool {
        let of = |known: &&ServiceState| known.service.destination == destination;
        self.services.iter().filter(of).any(|known| !known.endpoints.is_empty())
            || self.unclaimed.values().any(|target| target.destination == destination)
    }

    /// Strays whose time is over: those of a destination whose services are all known, and, with the first answer,
    /// those of destinations that no service stands for.
    fn take_obsolete_unclaimed(&mut self, destination: u64) -> Vec<EndpointEntry> {
        if self.unclaimed.is_empty() {
            return Vec::new();
        }
        let followed: BTreeSet<u64> = self.services.iter().map(|known| known.service.destination).collect();
        let mut of = self.services.iter().filter(|known| known.service.destination == destination);
        let all_heard = of.all(|known| known.is_known);
        let over = |_: &String, target: &mut EndpointEntry| {
            !followed.contains(&target.destination) || all_heard && target.destination == destination
        };
        self.unclaimed.extract_if(.., over).map(|(_, target)| target).collect()
    }
}

/// What the uids of a service begin with.
fn uid_prefix(service: &Service) -> String {
    format!("{}.{}/", service.name, service.destination)
}

fn node_of_uid(uid: &str) -> Option<&str> {
    uid.split('/').nth(1)
}

/// An instance as an endpoint. Its uid holds all that makes it another one: the same id on another node or at another
/// address inherits nothing.
fn endpoint_entry(
    service: &Service,
    networks: &AllowedNetworks,
    entry: &ServiceEntry,
) -> Result<EndpointEntry, UnusableInstance> {
    let (node, instance) = (&entry.node, &entry.service);
    let text = if instance.address.is_empty() { &node.address } else { &instance.address };
    let address: IpAddr = text.parse().map_err(|_| UnusableInstance::NotAnIpAddress(text.clone()))?;
    let port = u16::try_from(instance.port).ok().filter(|port| *port > 0);
    let endpoint = SocketAddr::new(address, port.ok_or(UnusableInstance::InvalidPort(instance.port))?);
    if !networks.contains(address) {
        return Err(UnusableInstance::OutsideNetworks(endpoint));
    }
    let health = instance_health(entry);
    let meta = |key: &String| instance.meta.get(key).or_else(|| node.meta.get(key));
    Ok(EndpointEntry {
        uid: format!("{}{}/{}@{endpoint}", uid_prefix(service), node.node, instance.id),
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
mod tests;

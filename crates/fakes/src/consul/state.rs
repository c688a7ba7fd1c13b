//! The state of the server: the catalogue with its indexes, the store, the fault in force, and counts for tests.

use super::{ConnectionCounts, ConsulFault, Instance, kv};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

/// The fields that identify an instance.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct InstanceKey {
    pub(super) node: String,
    pub(super) id: String,
}

impl InstanceKey {
    pub(super) fn new(node: &str, id: &str) -> Self {
        InstanceKey { node: node.to_owned(), id: id.to_owned() }
    }
}

/// The first answer for a service with this index.
#[derive(Clone, Copy, Debug)]
pub(super) struct FirstAnswer {
    pub(super) index: u64,
    pub(super) at: Instant,
}

#[derive(Debug, Default)]
pub(super) struct State {
    pub(super) index: u64,
    pub(super) instances: BTreeMap<InstanceKey, Instance>,
    pub(super) node_checks: BTreeMap<String, BTreeMap<String, String>>,
    /// The index of the last change of each service, including services that are deregistered.
    pub(super) service_index: BTreeMap<String, u64>,
    pub(super) catalog_index: u64,
    pub(super) checks_index: u64,
    pub(super) fault: ConsulFault,
    pub(super) token: Option<String>,
    /// The first answer with each index, by service.
    pub(super) first_answers: BTreeMap<String, Vec<FirstAnswer>>,
    pub(super) request_count: u64,
    pub(super) connections: ConnectionCounts,
    pub(super) store: kv::Store,
}

impl State {
    /// Records a change of a service. `registered` says that its instances have changed, not only their checks.
    pub(super) fn record_change(&mut self, service: &str, registered: bool) {
        self.service_index.insert(service.to_owned(), self.index);
        self.checks_index = self.index;
        if registered {
            self.catalog_index = self.index;
        }
    }

    fn checks_of(&self, instance: &Instance) -> Vec<Value> {
        let check = |id: &String, status: &String, service: Option<&Instance>| {
            json!({"Node": instance.node, "CheckID": id, "Name": id, "Status": status, "Output": "",
                "ServiceID": service.map_or("", |s| &s.id), "ServiceName": service.map_or("", |s| &s.service)})
        };
        let own = instance.checks.iter().map(|(id, status)| check(id, status, Some(instance)));
        let node = self.node_checks.get(&instance.node).into_iter().flatten();
        node.map(|(id, status)| check(id, status, None)).chain(own).collect()
    }

    fn entry(&self, instance: &Instance) -> Value {
        json!({
            "Node": {"ID": "", "Node": instance.node, "Address": instance.address.ip().to_string(),
                "Datacenter": "dc1", "TaggedAddresses": null, "Meta": null},
            "Service": {"ID": instance.id, "Service": instance.service, "Tags": instance.tags,
                "Address": instance.address.ip().to_string(), "Port": instance.address.port(),
                "Meta": instance.meta, "EnableTagOverride": false,
                "Weights": {"Passing": instance.weights.passing, "Warning": instance.weights.warning}},
            "Checks": self.checks_of(instance),
        })
    }

    /// Records the time of an answer for a service, if it is the first answer with this index.
    pub(super) fn record_answer(&mut self, service: &str, index: u64) {
        let answers = self.first_answers.entry(service.to_owned()).or_default();
        if answers.last().is_none_or(|last| last.index < index) {
            answers.push(FirstAnswer { index, at: Instant::now() });
        }
    }

    /// Returns the answer for a path of the catalogue or of health, and its index; `None` for an unknown path.
    pub(super) fn answer(&self, path: &str) -> Option<(Value, u64)> {
        if let Some(service) = path.strip_prefix("/v1/health/service/") {
            return Some(self.service_health(service));
        }
        if let Some(status) = path.strip_prefix("/v1/health/state/") {
            return Some(self.checks_with_status(status));
        }
        if path == "/v1/catalog/services" {
            return Some(self.services());
        }
        None
    }

    fn service_health(&self, service: &str) -> (Value, u64) {
        let instances = self.instances.values().filter(|instance| instance.service == service);
        let index = self.service_index.get(service).copied().unwrap_or(self.index);
        (instances.map(|instance| self.entry(instance)).collect(), index)
    }

    fn checks_with_status(&self, status: &str) -> (Value, u64) {
        let checks = self.instances.values().flat_map(|instance| self.checks_of(instance));
        let checks = checks.filter(|check| status == "any" || check["Status"] == status);
        // The checks of a node are listed once for each of its instances.
        let mut seen = BTreeSet::new();
        let distinct = checks.filter(|check| seen.insert(check.to_string()));
        (distinct.collect(), self.checks_index.max(1))
    }

    fn services(&self) -> (Value, u64) {
        let mut services: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::from([("consul", BTreeSet::new())]);
        for instance in self.instances.values() {
            let tags = services.entry(&instance.service).or_default();
            tags.extend(instance.tags.iter().map(String::as_str));
        }
        (json!(services), self.catalog_index.max(1))
    }
}

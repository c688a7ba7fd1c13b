//! The state of the stand-in: its catalogue with its indexes, and what tests have asked of it.

use super::{ConsulFault, Instance, kv};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

#[derive(Debug, Default)]
pub(super) struct State {
    pub(super) index: u64,
    pub(super) instances: BTreeMap<(String, String), Instance>,
    pub(super) node_checks: BTreeMap<String, BTreeMap<String, String>>,
    /// When each service has last changed; of those that are gone too.
    pub(super) service_index: BTreeMap<String, u64>,
    pub(super) catalog_index: u64,
    pub(super) checks_index: u64,
    pub(super) fault: ConsulFault,
    pub(super) token: Option<String>,
    /// For each service: the first moment at which an answer with each index was written.
    pub(super) told: BTreeMap<String, Vec<(u64, Instant)>>,
    pub(super) questions: u64,
    pub(super) open: usize,
    pub(super) most_open: usize,
    pub(super) store: kv::Store,
}

impl State {
    /// A service has changed, in who is there or only in its checks.
    pub(super) fn touch(&mut self, service: &str, registered: bool) {
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
                "Weights": {"Passing": instance.weights.0, "Warning": instance.weights.1}},
            "Checks": self.checks_of(instance),
        })
    }

    /// What a path tells, and its index.
    pub(super) fn answer(&self, path: &str) -> Option<(Value, u64)> {
        if let Some(service) = path.strip_prefix("/v1/health/service/") {
            let of = self.instances.values().filter(|instance| instance.service == service);
            let index = self.service_index.get(service).copied().unwrap_or(self.index);
            return Some((of.map(|instance| self.entry(instance)).collect(), index));
        }
        if let Some(state) = path.strip_prefix("/v1/health/state/") {
            let all = self.instances.values().flat_map(|instance| self.checks_of(instance));
            let mut seen = BTreeSet::new();
            let of = all.filter(|check| state == "any" || check["Status"] == state);
            return Some((
                of.filter(|check| seen.insert(check.to_string())).collect(),
                self.checks_index.max(1),
            ));
        }
        if path == "/v1/catalog/services" {
            let mut services: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::from([("consul", BTreeSet::new())]);
            for instance in self.instances.values() {
                let tags = services.entry(&instance.service).or_default();
                tags.extend(instance.tags.iter().map(String::as_str));
            }
            return Some((json!(services), self.catalog_index.max(1)));
        }
        None
    }
}

//! Changes the catalogue: instances, their checks and their tags. Each method returns the index after its change.

use super::ConsulServer;
use super::instance::Instance;
use super::state::InstanceKey;
use std::collections::{BTreeMap, BTreeSet};

/// Sets the status of a check; `None` removes the check.
fn set_or_remove(checks: &mut BTreeMap<String, String>, check: &str, status: Option<&str>) {
    match status {
        Some(status) => checks.insert(check.to_owned(), status.to_owned()),
        None => checks.remove(check),
    };
}

impl ConsulServer {
    /// Registers an instance. Replaces an instance with the same node and id.
    pub fn register(&self, instance: Instance) -> u64 {
        self.change(|state| {
            state.index += 1;
            let key = InstanceKey::new(&instance.node, &instance.id);
            let replaced = state.instances.insert(key, instance.clone());
            let services = replaced.map(|replaced| replaced.service).into_iter().chain([instance.service]);
            services.for_each(|service| state.record_change(&service, true));
            state.index
        })
    }

    /// Removes an instance.
    pub fn deregister(&self, node: &str, id: &str) -> u64 {
        self.change(|state| {
            if let Some(removed) = state.instances.remove(&InstanceKey::new(node, id)) {
                state.index += 1;
                state.record_change(&removed.service, true);
            }
            state.index
        })
    }

    /// Sets the status of a check of an instance. `None` removes the check.
    pub fn set_check(&self, node: &str, id: &str, check: &str, status: Option<&str>) -> u64 {
        self.change(|state| {
            state.index += 1;
            if let Some(instance) = state.instances.get_mut(&InstanceKey::new(node, id)) {
                set_or_remove(&mut instance.checks, check, status);
                let service = instance.service.clone();
                state.record_change(&service, false);
            }
            state.index
        })
    }

    /// Sets the status of the check that the instance was registered with.
    pub fn set_status(&self, node: &str, id: &str, status: &str) -> u64 {
        self.set_check(node, id, &format!("service:{id}"), Some(status))
    }

    /// Sets the status of a check of a node, which applies to all instances on the node. `None` removes the check.
    pub fn set_node_check(&self, node: &str, check: &str, status: Option<&str>) -> u64 {
        self.change(|state| {
            state.index += 1;
            set_or_remove(state.node_checks.entry(node.to_owned()).or_default(), check, status);
            let on_node = state.instances.values().filter(|instance| instance.node == node);
            let services: BTreeSet<_> = on_node.map(|instance| instance.service.clone()).collect();
            services.iter().for_each(|service| state.record_change(service, false));
            state.index
        })
    }

    /// Turns maintenance mode of an instance on or off.
    pub fn set_maintenance(&self, node: &str, id: &str, on: bool) -> u64 {
        self.set_check(node, id, &format!("_service_maintenance:{id}"), on.then_some("critical"))
    }

    /// Adds a tag to an instance, or removes it.
    pub fn set_tag(&self, node: &str, id: &str, tag: &str, on: bool) -> u64 {
        let found = self.inner.state().instances.get(&InstanceKey::new(node, id)).cloned();
        let Some(mut instance) = found else { return self.inner.state().index };
        instance.tags.retain(|other| other != tag);
        instance.tags.extend(on.then(|| tag.to_owned()));
        self.register(instance)
    }
}

//! Reload: applies the parts of a new configuration that can change while the process runs.
//!
//! The following parts take effect only after a restart, and no log line reports that: [`Config::name`],
//! [`Config::listen`], [`Config::console`], [`Config::seed`] and [`Config::initial_list`].

use super::Reducer;
use super::durability::Bounds;
use crate::config::Config;
use orchidyoke_core::interface::{Event, ListEventKind, Micros};
use orchidyoke_journal::Record;

impl Reducer {
    /// Applies a valid configuration. Messages and calls in flight continue. The list stays in use until discovery,
    /// perhaps at another address, sends an update.
    pub(super) fn reload_config(&mut self, now: Micros, config: Config) {
        let Config { discovery, catalogue, owners, settings, names, limits, policy_ejected, .. } = config;
        self.log(format!("configuration: reloaded discovery={}", discovery.configured));
        let superseded =
            discovery.from_command_line.filter(|given| Some(*given) != self.discovery.superseded());
        if let Some(discovery) = superseded {
            self.append_record(&Record::DiscoverySuperseded { discovery });
            self.discovery.supersede(discovery);
        }
        if self.discovery.address() != discovery.configured {
            self.final_answers.post_now(now);
        }
        self.discovery.reload(now, discovery, catalogue, &settings);
        let bounds = Bounds::new(&settings, limits);
        self.pool.set_limits(settings.idle_timeout, bounds.connections);
        self.durability.set_limit_bytes(bounds.disk_bytes);
        self.update_own_share();
        self.finished.set_max_ids(bounds.finished_ids);
        self.settings = settings;
        self.names = names;
        self.policy.set_ejected(policy_ejected);
        self.metrics.register_classes(&self.names.classes);
        self.controller.replace_settings(self.controller_settings());
        self.report_all_endpoints(now);
        self.replace_owners(now, owners);
    }

    /// Reports the whole list to the controller, because the numbers of zones and kinds may have changed.
    fn report_all_endpoints(&mut self, now: Micros) {
        let listed = self.endpoints.list().iter();
        let updates = listed.filter_map(|listed| {
            let id = self.endpoints.id_of(&listed.uid)?;
            Some(self.endpoint_update(now, id, listed.into()))
        });
        let entries = updates.collect();
        self.controller.push(Event::EndpointList { kind: ListEventKind::Snapshot, entries });
    }
}

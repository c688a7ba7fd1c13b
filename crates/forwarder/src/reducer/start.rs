//! The start of a forwarder: builds its state from the configuration and from the content of its journal.

use super::Reducer;
use super::call_table::CallTable;
use super::clients::Clients;
use super::controller_driver::ControllerDriver;
use super::durability::{Bounds, Durability};
use super::endpoint_discovery::EndpointDiscovery;
use super::endpoint_table::EndpointTable;
use super::final_answers::{FinishedIds, PendingAnswers};
use super::fleet_policy::FleetPolicy;
use super::handover_schedule::HandoverSchedule;
use super::list_record::ListRecord;
use super::message_table::MessageTable;
use super::ownership::Ownership;
use super::recovered_state::{RecoveredState, replay};
use super::retry_after_table::RetryAfterTable;
use super::upgrade::Upgrade;
use crate::config::Config;
use crate::connection_pool::ConnectionPool;
use crate::metrics::Metrics;
use orchidyoke_core::endpoint_list::{EndpointList, WatchEvent};
use orchidyoke_core::interface::{ListEventKind, Micros, Settings};
use orchidyoke_journal::{Generation, ProcessStage, Record, RecordsWithBodies};

impl Reducer {
    /// Creates the state of a forwarder that starts, from the records of its journal. `generation` is the generation of
    /// the journal file, and `journal_size` its size in bytes. `now` is Unix time in microseconds.
    pub fn new(
        mut config: Config,
        generation: Generation,
        records: RecordsWithBodies,
        journal_size: usize,
        now: Micros,
    ) -> Self {
        let mut recovered = replay(records);
        let configured_list = std::mem::replace(&mut config.initial_list, EndpointList::default().snapshot());
        let mut reducer = Reducer::with_components(config, generation, &mut recovered, journal_size, now);
        for finished in std::mem::take(&mut recovered.finished) {
            reducer.finished.remember(finished);
        }
        reducer.metrics.register_classes(&reducer.names.classes);
        let recovered_list = std::mem::take(&mut recovered.endpoint_list);
        let is_list_recorded = reducer.restore_list(now, configured_list, recovered_list);
        let faulty = reducer.faulty_routes.iter();
        let events: Vec<_> = faulty.filter_map(|route| reducer.route_state_event(route, true, 0)).collect();
        reducer.controller.extend(events);
        for (route, until) in recovered.retry_after {
            reducer.adopt_retry_after(now, route, until);
        }
        let messages: Vec<_> = reducer.durability.messages().iter().cloned().collect();
        for (accepted, body) in messages {
            reducer.restore(accepted, body, now);
        }
        // Appends must not come earlier, because an append may cause a compaction, which writes the reducer's complete
        // state.
        let is_first = generation == 0;
        if !is_list_recorded && !is_first {
            reducer.list_record = ListRecord::DEFERRED;
        }
        reducer.record_start(is_list_recorded);
        reducer
    }

    fn with_components(
        config: Config,
        generation: Generation,
        recovered: &mut RecoveredState,
        journal_size: usize,
        now: Micros,
    ) -> Self {
        let Config { settings, seed, .. } = config;
        let bounds = Bounds::new(&settings, config.limits);
        let ownership = Ownership::new(config.owners, now);
        let fleet_size = ownership.owners_per_destination().unwrap_or(settings.fleet_size);
        let answers = std::mem::take(&mut recovered.pending_answers);
        let messages = std::mem::take(&mut recovered.accepted).with_copied_bodies();
        Reducer {
            controller: ControllerDriver::new(Settings { fleet_size, ..settings.clone() }, seed, now),
            discovery: EndpointDiscovery::new(
                &config.discovery,
                config.catalogue,
                recovered.superseded_discovery,
                &settings,
                seed,
                now,
            ),
            endpoints: EndpointTable::default(),
            list_record: ListRecord::Recorded,
            retry_after: RetryAfterTable::default(),
            faulty_routes: std::mem::take(&mut recovered.faulty_routes),
            messages: MessageTable::default(),
            calls: CallTable::default(),
            pool: ConnectionPool::new(settings.idle_timeout, bounds.connections),
            durability: Durability::new(bounds.disk_bytes, journal_size, messages),
            finished: FinishedIds::new(bounds.finished_ids),
            final_answers: PendingAnswers::new(answers, now),
            ownership,
            handovers: HandoverSchedule::new(seed),
            upgrade: Upgrade::new(generation),
            operator_overrides: std::mem::take(&mut recovered.operator_overrides),
            policy: FleetPolicy::new(config.policy_ejected),
            clients: Clients::default(),
            shutdown: None,
            metrics: Metrics::default(),
            effects: Vec::new(),
            settings,
            names: config.names,
        }
    }

    /// Applies the list of the configuration and then the list of the journal. The configuration's list names
    /// destinations that may have no endpoint at present, and the journal's list is the last that discovery sent before
    /// the restart. Returns whether the journal holds the resulting list.
    fn restore_list(&mut self, now: Micros, configured: WatchEvent, recovered: EndpointList) -> bool {
        // Later changes are recorded as deltas. Without a snapshot before them, they would be taken for the whole list.
        let configured = WatchEvent { is_snapshot: true, ..configured };
        // A catalogue has its own version count, so its last list stays in use until the catalogue sends an update.
        let from_catalogue = !recovered.origin().is_empty() && self.discovery.has_catalogue();
        let is_newer = from_catalogue || recovered.version() > configured.version;
        self.apply_list(now, &configured, ListEventKind::Restored);
        drop(configured);
        if is_newer {
            self.apply_list(now, &recovered.snapshot(), ListEventKind::Restored);
        }
        self.discovery.set_newest_version(self.endpoints.list().version());
        *self.endpoints.list() == recovered
    }

    /// Records that this process has started, and records the list if the journal does not hold it and the file is the
    /// only one.
    fn record_start(&mut self, is_list_recorded: bool) {
        let interrupted = self.durability.end_interrupted_attempts();
        if is_list_recorded {
            // The list is not written again. A file that would have no room for it is compacted nevertheless, because
            // no client waits for a compaction at the start.
            self.compact_if_needed(self.endpoints.list().size());
        }
        // Without these records, a successor would leave the messages to this process, which hands them off.
        let ended = interrupted.into_iter().map(|message| Record::AttemptInDoubt { message });
        self.append_all(&ended.collect::<Vec<_>>(), None);
        self.append_record(&Record::ProcessStage { stage: ProcessStage::Started });
        if !is_list_recorded && self.list_record == ListRecord::Recorded {
            let list = Record::EndpointList(self.endpoints.list().snapshot());
            self.append_record(&list);
        }
    }
}

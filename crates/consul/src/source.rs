//! Provides the endpoint list from Consul's catalogue and health checks.
//!
//! [`EndpointSource`] runs while an installation's settings name Consul. Its tasks share one state. Query workers read
//! the services (`query_worker`). Two more tasks find services to read next if services take turns (`hints`). One task
//! logs which services fail (`failure_report`). All tasks run on the forwarder's thread.

mod failure_report;
mod hints;
mod query_worker;
mod shared;

use crate::settings::Settings;
use orchidyoke_core::endpoint_list::WatchEvent;
use orchidyoke_forwarder::catalogue::{Catalogue, UpdateSender};
use shared::Shared;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use tokio::task::JoinSet;

/// Connections that are reserved for the hints if services take turns.
const HINT_CONNECTIONS: usize = 2;

/// A source of endpoints that follows the services of its settings.
#[derive(Debug)]
pub struct EndpointSource {
    settings: Rc<Settings>,
    id: String,
}

impl EndpointSource {
    /// Creates a source. The settings must have been checked and have at least one address and one service.
    pub fn new(settings: Settings) -> Self {
        EndpointSource { id: settings.id(), settings: Rc::new(settings) }
    }
}

impl Catalogue for EndpointSource {
    fn id(&self) -> &str {
        &self.id
    }

    fn follow(&self, current: WatchEvent, updates: UpdateSender) -> Pin<Box<dyn Future<Output = String>>> {
        Box::pin(follow(self.settings.clone(), current, updates))
    }
}

/// How the connections are divided between queries and hints.
struct Workers {
    queries: usize,
    follow_hints: bool,
}

impl Workers {
    fn for_settings(settings: &Settings) -> Workers {
        let services = settings.services.len();
        if services <= settings.connections {
            return Workers { queries: services, follow_hints: false };
        }
        let queries = settings.connections.saturating_sub(HINT_CONNECTIONS).max(1);
        Workers { queries, follow_hints: settings.connections > HINT_CONNECTIONS }
    }
}

/// Runs the tasks until one of them panics, and returns the reason. Dropping the future closes all connections.
async fn follow(settings: Rc<Settings>, current: WatchEvent, updates: UpdateSender) -> String {
    let workers = Workers::for_settings(&settings);
    let shared = Rc::new(Shared::new(settings, &current, workers.queries, updates));
    let mut tasks = JoinSet::new();
    for _ in 0..workers.queries {
        tasks.spawn_local(query_worker::run(shared.clone()));
    }
    if workers.follow_hints {
        tasks.spawn_local(hints::follow_critical_checks(shared.clone()));
        tasks.spawn_local(hints::follow_service_names(shared.clone()));
    }
    tasks.spawn_local(failure_report::run(shared));
    match tasks.join_next().await {
        Some(Err(error)) => format!("Consul: a task of the endpoint source ended: {error}"),
        Some(Ok(())) | None => "Consul: a task of the endpoint source ended without an error".to_owned(),
    }
}

//! What the tasks of one endpoint source share: the schedule, the queries, the snapshot, and when to reconnect.

use crate::backoff::{exponential_backoff, with_jitter};
use crate::blocking_query::{BlockingQuery, QueryOutcome};
use crate::client::{Client, ClientError, Connection};
use crate::query_schedule::QuerySchedule;
use crate::request::ApiRequest;
use crate::response::{ResponseError, ResponseHead, parse_body};
use crate::settings::Settings;
use crate::snapshot::CatalogueSnapshot;
use bytes::Bytes;
use orchidyoke_core::endpoint_list::WatchEvent;
use orchidyoke_core::interface::Micros;
use orchidyoke_forwarder::catalogue::UpdateSender;
use orchidyoke_forwarder::log;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

const RECONNECT_BACKOFF_MIN_US: Micros = 100_000;
const RECONNECT_BACKOFF_MAX_US: Micros = 4_000_000;
/// Bounds a sleep without an end, which a notification ends: a later instant may not exist.
const LONGEST_SLEEP_US: Micros = 3_600_000_000_000;

/// The state of one endpoint source, and its connections' client.
pub(super) struct Shared {
    pub(super) settings: Rc<Settings>,
    pub(super) state: RefCell<State>,
    /// A service may be due earlier than a sleeping worker expects.
    pub(super) schedule_changed: Notify,
    client: Client,
    started_at: Instant,
    updates: UpdateSender,
}

/// What the tasks read and change. No borrow of it is held over an `await`.
pub(super) struct State {
    pub(super) schedule: QuerySchedule,
    pub(super) queries: Vec<BlockingQuery>,
    pub(super) snapshot: CatalogueSnapshot,
    /// Services by name: one name may stand for several destinations.
    pub(super) services_by_name: BTreeMap<String, Vec<usize>>,
    /// Services whose last request had no response that counts.
    pub(super) failing_services: BTreeSet<usize>,
    /// The service that failed last, and its error.
    pub(super) last_error: Option<ServiceError>,
    reconnect: Reconnect,
}

/// Why a service has no response that counts.
pub(super) struct ServiceError {
    pub(super) service: usize,
    pub(super) error: String,
}

/// When a connection may be tried again. All tasks wait together, so that a recovering Consul is not met by all of them.
#[derive(Default)]
struct Reconnect {
    not_before: Micros,
    consecutive_failures: u32,
}

impl Reconnect {
    /// A connection failed. Failures within a backoff are those of tasks that tried at the same time: they count once.
    fn on_failure(&mut self, now: Micros, jitter: f64) {
        if now < self.not_before {
            return;
        }
        let backoff = exponential_backoff(
            RECONNECT_BACKOFF_MIN_US,
            RECONNECT_BACKOFF_MAX_US,
            self.consecutive_failures,
        );
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.not_before = now + with_jitter(backoff, jitter);
    }
}

impl Shared {
    pub(super) fn new(
        settings: Rc<Settings>,
        current: &WatchEvent,
        query_connections: usize,
        updates: UpdateSender,
    ) -> Shared {
        let services = settings.services.len();
        let mut services_by_name: BTreeMap<String, Vec<usize>> = BTreeMap::new();
        for (index, service) in settings.services.iter().enumerate() {
            services_by_name.entry(service.name.clone()).or_default().push(index);
        }
        let state = State {
            schedule: QuerySchedule::new(services, query_connections),
            queries: vec![BlockingQuery::default(); services],
            snapshot: CatalogueSnapshot::new(&settings, current),
            services_by_name,
            failing_services: BTreeSet::new(),
            last_error: None,
            reconnect: Reconnect::default(),
        };
        Shared {
            client: Client::new(settings.clone()),
            settings,
            started_at: Instant::now(),
            state: RefCell::new(state),
            schedule_changed: Notify::new(),
            updates,
        }
    }

    /// Microseconds since the start of this source.
    pub(super) fn now(&self) -> Micros {
        self.started_at.elapsed().as_micros() as Micros
    }

    pub(super) fn instant(&self, at: Micros) -> Instant {
        self.started_at + Duration::from_micros(at.clamp(0, LONGEST_SLEEP_US) as u64)
    }

    /// The idle connection if it can be used, or else a new one.
    async fn connection(&self, idle: Option<Connection>) -> Result<Connection, ClientError> {
        if let Some(connection) = idle.filter(|connection| self.client.is_reusable(connection)) {
            return Ok(connection);
        }
        let not_before = self.state.borrow().reconnect.not_before;
        sleep_until(self.instant(not_before)).await;
        let connected = self.client.connect().await;
        let mut state = self.state.borrow_mut();
        match &connected {
            Ok(_) => state.reconnect.consecutive_failures = 0,
            Err(_) => state.reconnect.on_failure(self.now(), fastrand::f64()),
        }
        connected
    }

    /// Sends a request on the idle connection or a new one. Only after a whole response is there an idle one again.
    pub(super) async fn send(
        &self,
        idle: &mut Option<Connection>,
        request: &ApiRequest,
    ) -> Result<(ResponseHead, Bytes), ClientError> {
        let mut connection = self.connection(idle.take()).await?;
        let response = self.client.send(&mut connection, request).await?;
        *idle = Some(connection);
        Ok(response)
    }

    /// Handles the response of a service, or its absence; returns the earliest time of its next request.
    pub(super) fn handle_response(
        &self,
        service: usize,
        response: Result<(ResponseHead, Bytes), ClientError>,
    ) -> Micros {
        let now = self.now();
        let (head, body) = match response {
            Ok(response) => response,
            Err(error) => return self.fail_query(service, now, error.to_string()),
        };
        let (outcome, not_before) =
            self.state.borrow_mut().queries[service].on_response(now, &head, fastrand::f64());
        match outcome {
            QueryOutcome::Unchanged => drop(self.state.borrow_mut().failing_services.remove(&service)),
            QueryOutcome::Rejected(error) => self.record_failure(service, error.to_string()),
            QueryOutcome::Changed => {
                if let Err(error) = self.apply_body(service, &body) {
                    return self.fail_query(service, now, error.to_string());
                }
            }
        }
        not_before
    }

    /// Applies the body of a response that counts, and passes the changes on.
    fn apply_body(&self, service: usize, body: &[u8]) -> Result<(), ResponseError> {
        let entries: Vec<_> = parse_body(body)?;
        let mut state = self.state.borrow_mut();
        state.failing_services.remove(&service);
        let delta = state.snapshot.apply(service, &entries);
        for event in delta.events {
            self.updates.send(event);
        }
        for instance in delta.unusable {
            log!("Consul: instance ignored: {instance}");
        }
        Ok(())
    }

    fn fail_query(&self, service: usize, now: Micros, error: String) -> Micros {
        self.record_failure(service, error);
        self.state.borrow_mut().queries[service].on_failure(now, fastrand::f64())
    }

    fn record_failure(&self, service: usize, error: String) {
        let mut state = self.state.borrow_mut();
        state.failing_services.insert(service);
        state.last_error = Some(ServiceError { service, error });
    }
}

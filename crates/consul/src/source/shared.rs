//! The state that the tasks of one endpoint source share: the schedule, the queries, the snapshot, and the time of the
//! next connection attempt.

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
/// Limits a sleep that only a notification ends, because a later instant may not be representable.
const SLEEP_MAX_US: Micros = 3_600_000_000_000;

/// The shared state of one endpoint source, and the client for its connections.
pub(super) struct Shared {
    pub(super) settings: Rc<Settings>,
    pub(super) state: RefCell<State>,
    /// Wakes up workers when a service may be due earlier than they expect.
    pub(super) schedule_changed: Notify,
    client: Client,
    started_at: Instant,
    updates: UpdateSender,
}

/// The state that the tasks read and change. No borrow of it is held across an `await`.
pub(super) struct State {
    pub(super) schedule: QuerySchedule,
    pub(super) queries: Vec<BlockingQuery>,
    pub(super) snapshot: CatalogueSnapshot,
    /// Indices of the services by name. A name may occur several times, for several destinations.
    pub(super) services_by_name: BTreeMap<String, Vec<usize>>,
    /// Services whose last request had no valid response.
    pub(super) failing_services: BTreeSet<usize>,
    /// The service that failed last, and its error.
    pub(super) last_error: Option<ServiceError>,
    reconnect: Reconnect,
}

/// The reason why a service has no valid response.
pub(super) struct ServiceError {
    pub(super) service: usize,
    pub(super) error: String,
}

/// The time of the next connection attempt. All tasks share one backoff, so that they do not retry separately while
/// Consul recovers.
#[derive(Default)]
struct Reconnect {
    not_before: Micros,
    consecutive_failures: u32,
}

impl Reconnect {
    /// Handles a failed connection attempt. A failure within the backoff is that of a task that tried at the same time,
    /// so it is not counted again.
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

    /// Returns the microseconds since the start of this source.
    pub(super) fn now(&self) -> Micros {
        self.started_at.elapsed().as_micros() as Micros
    }

    pub(super) fn instant(&self, at: Micros) -> Instant {
        self.started_at + Duration::from_micros(at.clamp(0, SLEEP_MAX_US) as u64)
    }

    /// Returns the idle connection if it can be used, or else opens a new one.
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

    /// Sends a request on the idle connection or on a new one. The connection becomes idle again only after a complete
    /// response.
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

    /// Handles the response of a service, or the error instead of one. Returns the earliest time of its next request.
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

    /// Applies the body of a valid response to the snapshot, and sends the changes to the endpoint list.
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

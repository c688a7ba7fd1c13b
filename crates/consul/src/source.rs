//! Consul as a catalogue: workers that ask, one connection each, and what all of them know.

use crate::api::{Check, ServiceEntry};
use crate::blocking_query::{BlockingQuery, QueryOutcome};
use crate::client::{Client, Connection};
use crate::query_schedule::{NextQuery, QuerySchedule};
use crate::request::ApiRequest;
use crate::response::{ResponseError, ResponseHead};
use crate::settings::Settings;
use crate::snapshot::CatalogueSnapshot;
use bytes::Bytes;
use orchidyoke_core::endpoint_list::WatchEvent;
use orchidyoke_core::interface::Micros;
use orchidyoke_forwarder::catalogue::{Catalogue, UpdateSender};
use orchidyoke_forwarder::log;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

/// While services are not answered, the log says so this often.
const REPORT_INTERVAL_US: Micros = 30_000_000;
/// Connections kept for the hints, where services take turns.
const HINT_CONNECTIONS: usize = 2;
/// How often it is looked at whether all services are answered.
const REPORT_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Consul's catalogue and health, as these settings name them.
#[derive(Debug)]
pub struct EndpointSource {
    settings: Rc<Settings>,
    id: String,
}

impl EndpointSource {
    /// A source for settings that have been checked: at least one address and one service.
    pub fn new(settings: Settings) -> Self {
        EndpointSource { id: settings.id(), settings: Rc::new(settings) }
    }
}

impl Catalogue for EndpointSource {
    fn id(&self) -> &str {
        &self.id
    }

    fn follow(&self, held: WatchEvent, updates: UpdateSender) -> Pin<Box<dyn Future<Output = String>>> {
        Box::pin(follow(self.settings.clone(), held, updates))
    }
}

/// What all workers know.
struct Shared {
    settings: Rc<Settings>,
    client: Client,
    start: Instant,
    state: RefCell<State>,
    /// Something may be due earlier than a resting worker thinks.
    schedule_changed: Notify,
    updates: UpdateSender,
}

struct State {
    schedule: QuerySchedule,
    queries: Vec<BlockingQuery>,
    snapshot: CatalogueSnapshot,
    /// Services by name: a name may stand for several destinations.
    services_by_name: BTreeMap<String, Vec<usize>>,
    /// Services whose last question had no answer that counts.
    failing_services: BTreeSet<usize>,
    last_error: String,
    reported_at: Option<Micros>,
    /// Consul cannot be reached: nobody tries again before then.
    reconnect_not_before: Micros,
    connect_failures: u32,
}

/// Runs until a worker panics; dropped, it closes all its connections.
async fn follow(settings: Rc<Settings>, held: WatchEvent, updates: UpdateSender) -> String {
    let services = settings.services.len();
    // Where services take turns, two connections are for the hints that say whose turn comes first.
    let hinted = services > settings.connections;
    let connections =
        if hinted { settings.connections.saturating_sub(HINT_CONNECTIONS).max(1) } else { services };
    let mut by_name: BTreeMap<String, Vec<usize>> = BTreeMap::new();
    for (place, service) in settings.services.iter().enumerate() {
        by_name.entry(service.name.clone()).or_default().push(place);
    }
    let state = State {
        schedule: QuerySchedule::new(services, connections),
        queries: vec![BlockingQuery::default(); services],
        snapshot: CatalogueSnapshot::new(&settings, &held),
        services_by_name: by_name,
        failing_services: BTreeSet::new(),
        last_error: String::new(),
        reported_at: None,
        reconnect_not_before: 0,
        connect_failures: 0,
    };
    let shared = Rc::new(Shared {
        client: Client::new(settings.clone()),
        settings,
        start: Instant::now(),
        state: RefCell::new(state),
        schedule_changed: Notify::new(),
        updates,
    });
    let mut workers = JoinSet::new();
    for _ in 0..connections.min(services) {
        workers.spawn_local(run_query_worker(shared.clone()));
    }
    if hinted && shared.settings.connections > HINT_CONNECTIONS {
        workers.spawn_local(follow_critical_checks(shared.clone()));
        workers.spawn_local(follow_service_names(shared.clone()));
    }
    workers.spawn_local(report_failing_services(shared));
    match workers.join_next().await {
        Some(Err(error)) => format!("Consul: a worker ended: {error}"),
        _ => "Consul: nobody is left to ask".to_owned(),
    }
}

impl Shared {
    fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    fn instant(&self, at: Micros) -> Instant {
        // A rest without an end is one that ends with a stir.
        self.start + Duration::from_micros(at.clamp(0, 3_600_000_000_000) as u64)
    }

    /// A connection that can carry a question, the one at hand if it is good.
    async fn connection(&self, at_hand: Option<Connection>) -> Result<Connection, String> {
        if let Some(connection) = at_hand.filter(|connection| self.client.is_reusable(connection)) {
            return Ok(connection);
        }
        // All workers hold back together: when Consul is back, it is not met by a crowd that has piled up.
        let closed = self.state.borrow().reconnect_not_before;
        sleep_until(self.instant(closed)).await;
        let connected = self.client.connect().await;
        let mut state = self.state.borrow_mut();
        match connected {
            Ok(connection) => {
                state.connect_failures = 0;
                Ok(connection)
            }
            Err(error) => {
                let now = self.now();
                if now >= state.reconnect_not_before {
                    let pause = (100_000 << state.connect_failures.min(6)).min(4_000_000);
                    state.connect_failures += 1;
                    state.reconnect_not_before =
                        now + (pause as f64 * (0.75 + 0.5 * fastrand::f64())) as Micros;
                }
                Err(error.to_string())
            }
        }
    }

    /// Asks, on the connection at hand if it is good; only after a whole answer there is one at hand again.
    async fn send(
        &self,
        at_hand: &mut Option<Connection>,
        request: &ApiRequest,
    ) -> Result<(ResponseHead, Bytes), String> {
        let mut connection = self.connection(at_hand.take()).await?;
        let answer = self.client.send(&mut connection, request).await.map_err(|error| error.to_string())?;
        *at_hand = Some(connection);
        Ok(answer)
    }

    fn record_failure(&self, service: usize, why: String) {
        let mut state = self.state.borrow_mut();
        state.failing_services.insert(service);
        state.last_error = format!("{}: {why}", self.settings.services[service].name);
    }

    /// What an answer, or none, comes to; gives when the service may be asked again.
    fn handle_response(&self, service: usize, answer: Result<(ResponseHead, Bytes), String>) -> Micros {
        let now = self.now();
        let (head, body) = match answer {
            Ok(answer) => answer,
            Err(why) => {
                self.record_failure(service, why);
                return self.state.borrow_mut().queries[service].on_failure(now, fastrand::f64());
            }
        };
        let (verdict, again) =
            self.state.borrow_mut().queries[service].on_response(now, &head, fastrand::f64());
        match verdict {
            QueryOutcome::Unchanged => drop(self.state.borrow_mut().failing_services.remove(&service)),
            QueryOutcome::Rejected(refusal) => self.record_failure(service, refusal.to_string()),
            QueryOutcome::Changed => match serde_json::from_slice::<Vec<ServiceEntry>>(&body) {
                Ok(entries) => {
                    let mut state = self.state.borrow_mut();
                    state.failing_services.remove(&service);
                    let change = state.snapshot.apply(service, &entries);
                    change.events.into_iter().for_each(|news| self.updates.send(news));
                    change.unusable.into_iter().for_each(|why| log!("Consul: left out: {why}"));
                }
                Err(error) => {
                    let refusal = ResponseError::Malformed(error.to_string());
                    self.record_failure(service, refusal.to_string());
                    return self.state.borrow_mut().queries[service].on_failure(now, fastrand::f64());
                }
            },
        }
        again
    }
}

/// One connection: asks whose turn it is.
async fn run_query_worker(shared: Rc<Shared>) {
    let mut connection = None;
    loop {
        let turn = shared.state.borrow_mut().schedule.next(shared.now());
        let (service, wait) = match turn {
            NextQuery::Blocking(service) => (service, shared.settings.wait),
            NextQuery::Immediate(service) => (service, Duration::ZERO),
            NextQuery::NotBefore(until) => {
                tokio::select! {
                    () = shared.schedule_changed.notified() => {}
                    () = sleep_until(shared.instant(until)) => {}
                }
                continue;
            }
        };
        let index = {
            let mut state = shared.state.borrow_mut();
            if wait.is_zero() {
                state.queries[service].start_immediate(shared.now())
            } else {
                state.queries[service].start_blocking(shared.now())
            }
        };
        let of = &shared.settings.services[service];
        let request = ApiRequest::service(&of.name, of.filter.as_ref(), index, wait);
        let answer = shared.send(&mut connection, &request).await;
        let failed = answer.is_err();
        let again = shared.handle_response(service, answer);
        shared.state.borrow_mut().schedule.answered(shared.now(), service, again, failed);
        // Whoever rests may have this one to wait for now.
        shared.schedule_changed.notify_one();
    }
}

/// Follows one list that tells who has changed; gives each body that is news.
async fn follow_list(shared: &Shared, path: &str, mut news: impl FnMut(&[u8])) {
    let (mut connection, mut query) = (None, BlockingQuery::default());
    loop {
        let index = query.start_blocking(shared.now());
        let request = ApiRequest::read(path, index, shared.settings.wait);
        let again = match shared.send(&mut connection, &request).await {
            Ok((head, body)) => {
                let (verdict, again) = query.on_response(shared.now(), &head, fastrand::f64());
                if verdict == QueryOutcome::Changed {
                    news(&body);
                }
                again
            }
            // The services themselves tell of it in the log.
            Err(_) => query.on_failure(shared.now(), fastrand::f64()),
        };
        sleep_until(shared.instant(again)).await;
    }
}

/// The critical checks of all services: a short list as long as all is well. Who enters or leaves it is asked next.
async fn follow_critical_checks(shared: Rc<Shared>) {
    let mut before = BTreeSet::new();
    follow_list(&shared, "/v1/health/state/critical", |body| {
        let Ok(checks) = serde_json::from_slice::<Vec<Check>>(body) else { return };
        let now: BTreeSet<_> = checks.into_iter().map(|c| (c.service, c.node, c.id)).collect();
        let mut state = shared.state.borrow_mut();
        let mut named = BTreeSet::new();
        for (service, node, _) in now.symmetric_difference(&before) {
            match service.as_str() {
                "" => named.extend(state.snapshot.services_on_node(node)),
                service => named.extend(state.services_by_name.get(service).into_iter().flatten().copied()),
            }
        }
        named.into_iter().for_each(|service| state.schedule.hint(service));
        before = now;
        drop(state);
        shared.schedule_changed.notify_waiters();
    })
    .await;
}

/// The names of all services with their tags. A service whose tags have changed is asked next; where something else
/// has, all of them are asked sooner.
async fn follow_service_names(shared: Rc<Shared>) {
    let mut before: BTreeMap<String, Vec<String>> = BTreeMap::new();
    follow_list(&shared, "/v1/catalog/services", |body| {
        let Ok(mut now) = serde_json::from_slice::<BTreeMap<String, Vec<String>>>(body) else { return };
        now.values_mut().for_each(|tags| tags.sort());
        let mut state = shared.state.borrow_mut();
        let names: BTreeSet<_> =
            now.keys().chain(before.keys()).filter(|n| now.get(*n) != before.get(*n)).collect();
        let named: Vec<_> = names
            .iter()
            .flat_map(|n| state.services_by_name.get(*n).into_iter().flatten().copied())
            .collect();
        named.into_iter().for_each(|service| state.schedule.hint(service));
        state.schedule.expedite();
        before = now;
        drop(state);
        shared.schedule_changed.notify_waiters();
    })
    .await;
}

/// Says in the log that services are not answered, why, and how old the list is; and when all are again.
async fn report_failing_services(shared: Rc<Shared>) {
    loop {
        sleep(REPORT_CHECK_INTERVAL).await;
        let now = shared.now();
        let mut state = shared.state.borrow_mut();
        match (state.failing_services.len(), state.reported_at) {
            (0, None) => {}
            (0, Some(_)) => {
                log!("Consul: all {} services are answered again", shared.settings.services.len());
                state.reported_at = None;
            }
            (_, Some(at)) if now - at < REPORT_INTERVAL_US => {}
            (count, _) => {
                let ages = state
                    .failing_services
                    .iter()
                    .map(|service| now - state.queries[*service].last_success().unwrap_or(0));
                let age = ages.max().unwrap_or(0) / 1_000_000;
                let endpoints: usize = state
                    .failing_services
                    .iter()
                    .map(|service| state.snapshot.endpoint_count(*service))
                    .sum();
                log!(
                    "Consul: {count} of {} services are not answered: {}; their last list of {endpoints} endpoints \
                     stays in use, {age} s old",
                    shared.settings.services.len(),
                    state.last_error
                );
                state.reported_at = Some(now);
            }
        }
    }
}

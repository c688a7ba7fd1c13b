//! Consul as a catalogue: workers that ask, one connection each, and what all of them know.

use crate::api::{Check, ServiceEntry};
use crate::client::{ApiRequest, Client, Connection};
use crate::query::{Head, Query, Refusal, Verdict};
use crate::query_schedule::{NextQuery, QuerySchedule};
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
const REMIND: Micros = 30_000_000;
/// Connections kept for the hints, where services take turns.
const HINTS: usize = 2;
/// How often it is looked at whether all services are answered.
const LOOK: Duration = Duration::from_millis(500);

/// Consul's catalogue and health, as these settings name them.
#[derive(Debug)]
pub struct Consul {
    settings: Rc<Settings>,
    id: String,
}

impl Consul {
    /// A source for settings that have been checked: at least one address and one service.
    pub fn new(settings: Settings) -> Self {
        Consul { id: settings.id(), settings: Rc::new(settings) }
    }
}

impl Catalogue for Consul {
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
    stir: Notify,
    updates: UpdateSender,
}

struct State {
    schedule: QuerySchedule,
    queries: Vec<Query>,
    snapshot: CatalogueSnapshot,
    /// Services by name: a name may stand for several destinations.
    by_name: BTreeMap<String, Vec<usize>>,
    /// Services whose last question had no answer that counts.
    failing: BTreeSet<usize>,
    why: String,
    told_at: Option<Micros>,
    /// Consul cannot be reached: nobody tries again before then.
    closed_until: Micros,
    closures: u32,
}

/// Runs until a worker panics; dropped, it closes all its connections.
async fn follow(settings: Rc<Settings>, held: WatchEvent, updates: UpdateSender) -> String {
    let services = settings.services.len();
    // Where services take turns, two connections are for the hints that say whose turn comes first.
    let hinted = services > settings.connections;
    let connections = if hinted { settings.connections.saturating_sub(HINTS).max(1) } else { services };
    let mut by_name: BTreeMap<String, Vec<usize>> = BTreeMap::new();
    for (place, service) in settings.services.iter().enumerate() {
        by_name.entry(service.name.clone()).or_default().push(place);
    }
    let state = State {
        schedule: QuerySchedule::new(services, connections),
        queries: vec![Query::default(); services],
        snapshot: CatalogueSnapshot::new(&settings, &held),
        by_name,
        failing: BTreeSet::new(),
        why: String::new(),
        told_at: None,
        closed_until: 0,
        closures: 0,
    };
    let shared = Rc::new(Shared {
        client: Client::new(settings.clone()),
        settings,
        start: Instant::now(),
        state: RefCell::new(state),
        stir: Notify::new(),
        updates,
    });
    let mut workers = JoinSet::new();
    for _ in 0..connections.min(services) {
        workers.spawn_local(work(shared.clone()));
    }
    if hinted && shared.settings.connections > HINTS {
        workers.spawn_local(hint_by_checks(shared.clone()));
        workers.spawn_local(hint_by_services(shared.clone()));
    }
    workers.spawn_local(tell_of_silence(shared));
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
        if let Some(connection) = at_hand.filter(|connection| self.client.is_good(connection)) {
            return Ok(connection);
        }
        // All workers hold back together: when Consul is back, it is not met by a crowd that has piled up.
        let closed = self.state.borrow().closed_until;
        sleep_until(self.instant(closed)).await;
        let connected = self.client.connect().await;
        let mut state = self.state.borrow_mut();
        match connected {
            Ok(connection) => {
                state.closures = 0;
                Ok(connection)
            }
            Err(error) => {
                let now = self.now();
                if now >= state.closed_until {
                    let pause = (100_000 << state.closures.min(6)).min(4_000_000);
                    state.closures += 1;
                    state.closed_until = now + (pause as f64 * (0.75 + 0.5 * fastrand::f64())) as Micros;
                }
                Err(error.to_string())
            }
        }
    }

    /// Asks, on the connection at hand if it is good; only after a whole answer there is one at hand again.
    async fn ask(
        &self,
        at_hand: &mut Option<Connection>,
        request: &ApiRequest,
    ) -> Result<(Head, Bytes), String> {
        let mut connection = self.connection(at_hand.take()).await?;
        let answer = self.client.ask(&mut connection, request).await.map_err(|error| error.to_string())?;
        *at_hand = Some(connection);
        Ok(answer)
    }

    fn failed(&self, service: usize, why: String) {
        let mut state = self.state.borrow_mut();
        state.failing.insert(service);
        state.why = format!("{}: {why}", self.settings.services[service].name);
    }

    /// What an answer, or none, comes to; gives when the service may be asked again.
    fn take(&self, service: usize, answer: Result<(Head, Bytes), String>) -> Micros {
        let now = self.now();
        let (head, body) = match answer {
            Ok(answer) => answer,
            Err(why) => {
                self.failed(service, why);
                return self.state.borrow_mut().queries[service].failed(now, fastrand::f64());
            }
        };
        let (verdict, again) = self.state.borrow_mut().queries[service].answered(now, &head, fastrand::f64());
        match verdict {
            Verdict::Same => drop(self.state.borrow_mut().failing.remove(&service)),
            Verdict::Refuse(refusal) => self.failed(service, refusal.to_string()),
            Verdict::Take => match serde_json::from_slice::<Vec<ServiceEntry>>(&body) {
                Ok(entries) => {
                    let mut state = self.state.borrow_mut();
                    state.failing.remove(&service);
                    let change = state.snapshot.take(service, &entries);
                    change.news.into_iter().for_each(|news| self.updates.send(news));
                    change.unusable.into_iter().for_each(|why| log!("Consul: left out: {why}"));
                }
                Err(error) => {
                    let refusal = Refusal::Broken(format!("its answer is not of the form: {error}"));
                    self.failed(service, refusal.to_string());
                    return self.state.borrow_mut().queries[service].failed(now, fastrand::f64());
                }
            },
        }
        again
    }
}

/// One connection: asks whose turn it is.
async fn work(shared: Rc<Shared>) {
    let mut connection = None;
    loop {
        let turn = shared.state.borrow_mut().schedule.next(shared.now());
        let (service, wait) = match turn {
            NextQuery::Blocking(service) => (service, shared.settings.wait),
            NextQuery::Immediate(service) => (service, Duration::ZERO),
            NextQuery::NotBefore(until) => {
                tokio::select! {
                    () = shared.stir.notified() => {}
                    () = sleep_until(shared.instant(until)) => {}
                }
                continue;
            }
        };
        let index = {
            let mut state = shared.state.borrow_mut();
            if wait.is_zero() {
                state.queries[service].visit(shared.now())
            } else {
                state.queries[service].ask(shared.now())
            }
        };
        let of = &shared.settings.services[service];
        let request = ApiRequest::service(&of.name, of.filter.as_ref(), index, wait);
        let answer = shared.ask(&mut connection, &request).await;
        let failed = answer.is_err();
        let again = shared.take(service, answer);
        shared.state.borrow_mut().schedule.answered(shared.now(), service, again, failed);
        // Whoever rests may have this one to wait for now.
        shared.stir.notify_one();
    }
}

/// Follows one list that tells who has changed; gives each body that is news.
async fn follow_hint(shared: &Shared, path: &str, mut news: impl FnMut(&[u8])) {
    let (mut connection, mut query) = (None, Query::default());
    loop {
        let index = query.ask(shared.now());
        let request = ApiRequest::path(path, index, shared.settings.wait);
        let again = match shared.ask(&mut connection, &request).await {
            Ok((head, body)) => {
                let (verdict, again) = query.answered(shared.now(), &head, fastrand::f64());
                if verdict == Verdict::Take {
                    news(&body);
                }
                again
            }
            // The services themselves tell of it in the log.
            Err(_) => query.failed(shared.now(), fastrand::f64()),
        };
        sleep_until(shared.instant(again)).await;
    }
}

/// The critical checks of all services: a short list as long as all is well. Who enters or leaves it is asked next.
async fn hint_by_checks(shared: Rc<Shared>) {
    let mut before = BTreeSet::new();
    follow_hint(&shared, "/v1/health/state/critical", |body| {
        let Ok(checks) = serde_json::from_slice::<Vec<Check>>(body) else { return };
        let now: BTreeSet<_> = checks.into_iter().map(|c| (c.service, c.node, c.id)).collect();
        let mut state = shared.state.borrow_mut();
        let mut named = BTreeSet::new();
        for (service, node, _) in now.symmetric_difference(&before) {
            match service.as_str() {
                "" => named.extend(state.snapshot.on_node(node)),
                service => named.extend(state.by_name.get(service).into_iter().flatten().copied()),
            }
        }
        named.into_iter().for_each(|service| state.schedule.hint(service));
        before = now;
        drop(state);
        shared.stir.notify_waiters();
    })
    .await;
}

/// The names of all services with their tags. A service whose tags have changed is asked next; where something else
/// has, all of them are asked sooner.
async fn hint_by_services(shared: Rc<Shared>) {
    let mut before: BTreeMap<String, Vec<String>> = BTreeMap::new();
    follow_hint(&shared, "/v1/catalog/services", |body| {
        let Ok(mut now) = serde_json::from_slice::<BTreeMap<String, Vec<String>>>(body) else { return };
        now.values_mut().for_each(|tags| tags.sort());
        let mut state = shared.state.borrow_mut();
        let names: BTreeSet<_> =
            now.keys().chain(before.keys()).filter(|n| now.get(*n) != before.get(*n)).collect();
        let named: Vec<_> =
            names.iter().flat_map(|n| state.by_name.get(*n).into_iter().flatten().copied()).collect();
        named.into_iter().for_each(|service| state.schedule.hint(service));
        state.schedule.expedite();
        before = now;
        drop(state);
        shared.stir.notify_waiters();
    })
    .await;
}

/// Says in the log that services are not answered, why, and how old the list is; and when all are again.
async fn tell_of_silence(shared: Rc<Shared>) {
    loop {
        sleep(LOOK).await;
        let now = shared.now();
        let mut state = shared.state.borrow_mut();
        match (state.failing.len(), state.told_at) {
            (0, None) => {}
            (0, Some(_)) => {
                log!("Consul: all {} services are answered again", shared.settings.services.len());
                state.told_at = None;
            }
            (_, Some(at)) if now - at < REMIND => {}
            (count, _) => {
                let ages =
                    state.failing.iter().map(|service| now - state.queries[*service].heard().unwrap_or(0));
                let age = ages.max().unwrap_or(0) / 1_000_000;
                let endpoints: usize =
                    state.failing.iter().map(|service| state.snapshot.len_of(*service)).sum();
                log!(
                    "Consul: {count} of {} services are not answered: {}; their last list of {endpoints} endpoints \
                     stays in use, {age} s old",
                    shared.settings.services.len(),
                    state.why
                );
                state.told_at = Some(now);
            }
        }
    }
}

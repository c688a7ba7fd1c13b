//! The limit on client connections, compared with a model over random steps.

use orchidyoke_forwarder::connection_limit::{ConnectionId, ConnectionLimit, Eviction};
use quickcheck::{Gen, QuickCheck};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// Time within which a client sends its whole request.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(100);
const MAX_CONNECTIONS: usize = 5;

/// The state of a connection in the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    New,
    Receiving,
    AwaitingMemory,
    Busy,
    Idle,
    Closing,
    Lingering,
    Cut,
}

impl State {
    fn is_serving(self) -> bool {
        !matches!(self, State::Closing | State::Lingering | State::Cut)
    }
}

/// A connection in the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Connection {
    state: State,
    since: Instant,
    reserved_bytes: usize,
}

impl Connection {
    fn new(state: State, since: Instant) -> Self {
        Connection { state, since, reserved_bytes: 0 }
    }

    /// Returns the place in the order of eviction: overdue requests, idle connections, requests that have waited long for
    /// memory. `None` if the connection is not evicted.
    fn rank(&self, now: Instant) -> Option<u8> {
        let is_late = now - self.since >= REQUEST_TIMEOUT;
        match self.state {
            State::New | State::Receiving if is_late => Some(0),
            State::Idle => Some(1),
            State::AwaitingMemory if is_late => Some(2),
            _ => None,
        }
    }
}

type Model = BTreeMap<ConnectionId, Connection>;

/// Returns the rank and the start of the state of the connection to evict first, among the selected ones.
fn first_to_evict(
    model: &Model,
    now: Instant,
    selector: impl Fn(&Connection) -> bool,
) -> Option<(u8, Instant)> {
    let selected = model.values().filter(|connection| selector(connection));
    selected.filter_map(|connection| Some((connection.rank(now)?, connection.since))).min()
}

fn set_state(model: &mut Model, id: ConnectionId, state: State, now: Instant) {
    let connection = model.get_mut(&id).expect("the connection is in the model");
    (connection.state, connection.since) = (state, now);
}

/// Checks an eviction against the model and applies it to the model.
fn check_eviction(model: &mut Model, eviction: Option<Eviction>, now: Instant) {
    let full = model.len() >= MAX_CONNECTIONS;
    let is_closing = |state| matches!(state, State::Closing | State::Cut);
    match eviction {
        None => {
            let any_closing = model.values().any(|one| is_closing(one.state));
            let any_lingering = model.values().any(|one| one.state == State::Lingering);
            let none_evictable = first_to_evict(model, now, |_| true).is_none() && !any_lingering;
            assert!(
                !full || any_closing || none_evictable,
                "the limit is reached, and none is evicted: {model:?}"
            );
        }
        Some(Eviction::Cut(id)) => {
            let Connection { state, since, .. } = model[&id];
            assert!(full && state == State::Lingering);
            assert!(!model.values().any(|other| other.state == State::Cut));
            let lingering = model.values().filter(|other| other.state == State::Lingering);
            assert_eq!(lingering.map(|other| other.since).min(), Some(since));
            set_state(model, id, State::Cut, now);
        }
        Some(Eviction::Close(id)) => {
            let serving = model.values().filter(|one| one.state.is_serving()).count();
            assert!(full || serving == MAX_CONNECTIONS, "a connection is closed though there is room");
            let rank = model[&id].rank(now).expect("the connection may be evicted");
            assert_eq!(first_to_evict(model, now, |_| true), Some((rank, model[&id].since)));
            set_state(model, id, State::Closing, now);
        }
    }
}

/// Checks an eviction for memory against the model and applies it to the model.
fn check_memory_eviction(
    model: &mut Model,
    evicted: Option<ConnectionId>,
    missing_bytes: usize,
    now: Instant,
) {
    let closing = model.values().filter(|one| one.state == State::Closing);
    let freed_soon: usize = closing.map(|one| one.reserved_bytes).sum();
    let first = first_to_evict(model, now, |one| one.reserved_bytes > 0);
    match evicted {
        None => assert!(freed_soon >= missing_bytes || first.is_none(), "memory is missing: {model:?}"),
        Some(id) => {
            assert!(freed_soon < missing_bytes, "enough memory is being given back: {model:?}");
            assert!(model[&id].reserved_bytes > 0, "its eviction frees nothing");
            let rank = model[&id].rank(now).expect("the connection may be evicted");
            assert_eq!(first, Some((rank, model[&id].since)));
            set_state(model, id, State::Closing, now);
        }
    }
}

// Guards against evicting a connection whose request is being answered or has only just begun, against evicting the same
// connection twice, against evicting an idle connection before one whose request is overdue, against cutting a lingering
// close while there is room, and against evictions for memory that free none or more than is missing.
#[test]
fn busy_connections_stay_and_overdue_ones_are_evicted() {
    fn follows_model(steps: Vec<(u8, u8, u8)>) -> bool {
        let (mut limit, mut now) = (ConnectionLimit::new(MAX_CONNECTIONS), Instant::now());
        let mut model = Model::new();
        for (action, selector, elapsed_ms) in steps {
            now += Duration::from_millis(u64::from(elapsed_ms));
            let id = model.keys().nth(usize::from(selector) % model.len().max(1)).copied();
            assert_eq!(limit.is_full(), model.len() >= MAX_CONNECTIONS);
            check_next_overdue(&limit, &model, now);
            match (action % 11, id) {
                (0 | 1, _) if !limit.is_full() => {
                    model.insert(limit.on_connected(now), Connection::new(State::New, now));
                }
                (2, Some(id)) if !matches!(model[&id].state, State::Lingering | State::Cut) => {
                    // A request may arrive after the eviction, which stays in effect.
                    limit.on_request(id, now);
                    set_serving_state(&mut model, id, State::Busy, now);
                }
                (3, Some(id)) if model[&id].state == State::Busy => {
                    limit.on_answered(id, now);
                    set_state(&mut model, id, State::Idle, now);
                }
                (4, Some(id)) if model[&id].state == State::Closing => {
                    limit.on_lingering(id, now);
                    set_state(&mut model, id, State::Lingering, now);
                }
                (5, Some(id)) => {
                    limit.on_closed(id);
                    model.remove(&id);
                }
                (6, Some(id)) if model[&id].state != State::Busy => {
                    limit.on_receiving(id, now);
                    set_serving_state(&mut model, id, State::Receiving, now);
                }
                (7, Some(id)) if model[&id].state != State::Busy => {
                    limit.on_awaiting_memory(id, now);
                    set_serving_state(&mut model, id, State::AwaitingMemory, now);
                }
                (8, Some(id)) => {
                    let bytes = usize::from(selector);
                    if elapsed_ms % 2 == 0 {
                        limit.on_reserved(id, bytes);
                        model.get_mut(&id).expect("in the model").reserved_bytes += bytes;
                    } else {
                        let reserved = model[&id].reserved_bytes;
                        limit.on_released(id, reserved);
                        model.get_mut(&id).expect("in the model").reserved_bytes = 0;
                    }
                }
                (9, _) => {
                    let missing_bytes = usize::from(selector) * 2;
                    let evicted = limit.evict_for_memory(missing_bytes, now);
                    check_memory_eviction(&mut model, evicted, missing_bytes, now);
                }
                _ => {
                    let eviction = limit.evict(now);
                    check_eviction(&mut model, eviction, now);
                }
            }
        }
        true
    }
    let seeded = Gen::from_size_and_seed(200, 1);
    QuickCheck::new().tests(400).rng(seeded).quickcheck(follows_model as fn(Vec<(u8, u8, u8)>) -> bool);
}

/// Changes the state of a connection that has not been evicted.
fn set_serving_state(model: &mut Model, id: ConnectionId, state: State, now: Instant) {
    if model[&id].state.is_serving() {
        set_state(model, id, state, now);
    }
}

// A connection that is not evicted yet must be looked at again when its request becomes overdue.
fn check_next_overdue(limit: &ConnectionLimit, model: &Model, now: Instant) {
    let arriving = model.values().filter(|one| matches!(one.state, State::New | State::Receiving));
    let overdue_at = arriving.map(|one| one.since + REQUEST_TIMEOUT).filter(|at| *at > now);
    assert_eq!(limit.next_overdue(now), overdue_at.min());
}

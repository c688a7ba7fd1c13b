//! The limit on client connections, compared with a model over random steps.

use orchidyoke_forwarder::connection_limit::{ConnectionId, ConnectionLimit, Eviction};
use quickcheck::{Gen, QuickCheck};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// Time within which a client sends its first request.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(100);
const MAX_CONNECTIONS: usize = 5;

/// The state of a connection in the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    New,
    Busy,
    Idle,
    Closing,
    Lingering,
    Cut,
}

type Model = BTreeMap<ConnectionId, (State, Instant)>;

/// Returns the earliest start of the current state, among the connections for which `selector` returns `true`.
fn earliest_start(model: &Model, selector: impl Fn(State, Instant) -> bool) -> Option<Instant> {
    model.values().filter(|(state, since)| selector(*state, *since)).map(|(_, since)| *since).min()
}

/// Checks an eviction against the model and applies it to the model.
fn check_eviction(model: &mut Model, eviction: Option<Eviction>, now: Instant) {
    let full = model.len() >= MAX_CONNECTIONS;
    let is_overdue = |state, since| state == State::New && now - since >= FIRST_REQUEST_TIMEOUT;
    let is_evictable = |state: State| matches!(state, State::New | State::Idle);
    let is_closing = |state| matches!(state, State::Closing | State::Cut);
    match eviction {
        None => {
            let any_closing = model.values().any(|(state, _)| is_closing(*state));
            let none_evictable =
                model.values().all(|(state, _)| !is_evictable(*state) && *state != State::Lingering);
            assert!(
                !full || any_closing || none_evictable,
                "the limit is reached, and none is evicted: {model:?}"
            );
        }
        Some(Eviction::Cut(id)) => {
            let (state, since) = model[&id];
            assert!(full && state == State::Lingering && !model.values().any(|other| other.0 == State::Cut));
            assert_eq!(earliest_start(model, |state, _| state == State::Lingering), Some(since));
            model.insert(id, (State::Cut, now));
        }
        Some(Eviction::Close(id)) => {
            let (state, since) = model[&id];
            assert!(is_evictable(state), "a connection is closed while {state:?}");
            let serving =
                model.values().filter(|(state, _)| is_evictable(*state) || *state == State::Busy).count();
            assert!(full || serving == MAX_CONNECTIONS, "a connection is closed though there is room");
            match earliest_start(model, is_overdue) {
                Some(first) => assert!(is_overdue(state, since) && since == first),
                None => assert_eq!(earliest_start(model, |other, _| other == state), Some(since)),
            }
            assert!(state != State::New || is_overdue(state, since) || full, "a new connection is closed");
            assert!(
                state == State::Idle
                    || is_overdue(state, since)
                    || earliest_start(model, |other, _| other == State::Idle).is_none()
            );
            model.insert(id, (State::Closing, now));
        }
    }
}

// Guards against evicting a connection whose request is being answered, against evicting the same connection twice,
// against evicting an idle connection before one that has never sent a request, and against cutting a lingering close
// while there is room.
#[test]
fn busy_connections_stay_and_overdue_ones_are_evicted() {
    fn follows_model(steps: Vec<(u8, u8, u8)>) -> bool {
        let (mut limit, mut now) = (ConnectionLimit::new(MAX_CONNECTIONS), Instant::now());
        let mut model = Model::new();
        for (action, selector, elapsed_ms) in steps {
            now += Duration::from_millis(u64::from(elapsed_ms));
            let id = model.keys().nth(usize::from(selector) % model.len().max(1)).copied();
            assert_eq!(limit.is_full(), model.len() >= MAX_CONNECTIONS);
            match (action % 7, id) {
                (0 | 1, _) if !limit.is_full() => {
                    model.insert(limit.on_connected(now), (State::New, now));
                }
                (2, Some(id)) if matches!(model[&id].0, State::New | State::Idle | State::Closing) => {
                    // A request may arrive after the eviction, which stays in effect.
                    limit.on_request(id, now);
                    if model[&id].0 != State::Closing {
                        model.insert(id, (State::Busy, now));
                    }
                }
                (3, Some(id)) if model[&id].0 == State::Busy => {
                    limit.on_answered(id, now);
                    model.insert(id, (State::Idle, now));
                }
                (4, Some(id)) if model[&id].0 == State::Closing => {
                    limit.on_lingering(id, now);
                    model.insert(id, (State::Lingering, now));
                }
                (5, Some(id)) => {
                    limit.on_closed(id);
                    model.remove(&id);
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

//! The limit on client connections, compared with a model over random steps.

use orchidyoke_forwarder::connection_limit::{ConnectionId, ConnectionLimit, Eviction};
use quickcheck::{Gen, QuickCheck};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// Time within which a client sends its first request.
const SILENT: Duration = Duration::from_millis(100);
const MOST: usize = 5;

/// The state of a connection in the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Doing {
    New,
    Busy,
    Idle,
    Closing,
    Lingering,
    Cut,
}

type Model = BTreeMap<ConnectionId, (Doing, Instant)>;

/// Returns the earliest start of the current state, among the connections for which `which` returns `true`.
fn longest(model: &Model, which: impl Fn(Doing, Instant) -> bool) -> Option<Instant> {
    model.values().filter(|(doing, since)| which(*doing, *since)).map(|(_, since)| *since).min()
}

/// Checks an eviction against the model and applies it to the model.
fn evicted(model: &mut Model, eviction: Option<Eviction>, now: Instant) {
    let full = model.len() >= MOST;
    let silent = |doing, since| doing == Doing::New && now - since >= SILENT;
    let free = |doing: Doing| matches!(doing, Doing::New | Doing::Idle);
    let going = |doing| matches!(doing, Doing::Closing | Doing::Cut);
    match eviction {
        None => {
            let waits = model.values().any(|(doing, _)| going(*doing));
            let none = model.values().all(|(doing, _)| !free(*doing) && *doing != Doing::Lingering);
            assert!(!full || waits || none, "the limit is reached, and none is evicted: {model:?}");
        }
        Some(Eviction::Cut(id)) => {
            let (doing, since) = model[&id];
            assert!(full && doing == Doing::Lingering && !model.values().any(|other| other.0 == Doing::Cut));
            assert_eq!(longest(model, |doing, _| doing == Doing::Lingering), Some(since));
            model.insert(id, (Doing::Cut, now));
        }
        Some(Eviction::Close(id)) => {
            let (doing, since) = model[&id];
            assert!(free(doing), "a connection is closed while {doing:?}");
            let staying = model.values().filter(|(doing, _)| free(*doing) || *doing == Doing::Busy).count();
            assert!(full || staying == MOST, "a connection is closed though there is room");
            match longest(model, silent) {
                Some(first) => assert!(silent(doing, since) && since == first),
                None => assert_eq!(longest(model, |other, _| other == doing), Some(since)),
            }
            assert!(doing != Doing::New || silent(doing, since) || full, "a new connection is closed");
            assert!(
                doing == Doing::Idle
                    || silent(doing, since)
                    || longest(model, |d, _| d == Doing::Idle).is_none()
            );
            model.insert(id, (Doing::Closing, now));
        }
    }
}

// Guards against evicting a connection whose request is being answered, against evicting the same connection twice,
// against evicting an idle connection before one that has never sent a request, and against cutting a lingering close
// while there is room.
#[test]
fn busy_connections_stay_and_silent_ones_are_evicted() {
    fn keep(steps: Vec<(u8, u8, u8)>) -> bool {
        let (mut limit, mut now) = (ConnectionLimit::new(MOST), Instant::now());
        let mut model = Model::new();
        for (what, which, pause) in steps {
            now += Duration::from_millis(u64::from(pause));
            let id = model.keys().nth(usize::from(which) % model.len().max(1)).copied();
            assert_eq!(limit.is_full(), model.len() >= MOST);
            match (what % 7, id) {
                (0 | 1, _) if !limit.is_full() => {
                    model.insert(limit.on_connected(now), (Doing::New, now));
                }
                (2, Some(id)) if matches!(model[&id].0, Doing::New | Doing::Idle | Doing::Closing) => {
                    // A request may arrive after the eviction, which stays in effect.
                    limit.on_request(id, now);
                    if model[&id].0 != Doing::Closing {
                        model.insert(id, (Doing::Busy, now));
                    }
                }
                (3, Some(id)) if model[&id].0 == Doing::Busy => {
                    limit.on_answered(id, now);
                    model.insert(id, (Doing::Idle, now));
                }
                (4, Some(id)) if model[&id].0 == Doing::Closing => {
                    limit.on_lingering(id, now);
                    model.insert(id, (Doing::Lingering, now));
                }
                (5, Some(id)) => {
                    limit.on_closed(id);
                    model.remove(&id);
                }
                _ => {
                    let eviction = limit.evict(now);
                    evicted(&mut model, eviction, now);
                }
            }
        }
        true
    }
    let chance = Gen::from_size_and_seed(200, 1);
    QuickCheck::new().tests(400).rng(chance).quickcheck(keep as fn(Vec<(u8, u8, u8)>) -> bool);
}

//! The pool of connections to endpoints, compared with a model of the endpoints' side over random steps.

use orchidyoke_core::interface::{EndpointId, Micros};
use orchidyoke_forwarder::connection_pool::{CallId, Claim, ConnectionPool, EndpointConnectionId};
use quickcheck::{Gen, QuickCheck};
use std::collections::{BTreeMap, BTreeSet};

const IDLE_CLOSE: Micros = 1000;

/// The connections as the endpoints see them.
#[derive(Default)]
struct Model {
    /// The endpoint of each open connection, and the time since when it is idle.
    open: BTreeMap<EndpointConnectionId, (EndpointId, Option<Micros>)>,
    /// The connection of each call, and whether it is established.
    calls: BTreeMap<CallId, (EndpointConnectionId, bool)>,
    closed: BTreeSet<EndpointConnectionId>,
    /// Connections to a former address of their endpoint.
    retired: BTreeSet<EndpointConnectionId>,
}

// Guards against two calls on one connection, and against a call on a connection that is closed, about to be closed
// by the endpoint, or open to a different endpoint. Also guards against losing a call when its connection closes.
#[test]
fn connections_follow_the_model_over_random_steps() {
    fn keep(steps: Vec<(u8, u8, u8)>) -> bool {
        let (mut pool, mut model, mut now) = (ConnectionPool::new(IDLE_CLOSE, 6), Model::default(), 0);
        for (number, (what, which, pause)) in steps.into_iter().enumerate() {
            now += Micros::from(pause);
            let (call, hop) = (number as CallId, EndpointId::from(which % 3));
            let mine = model.calls.iter().nth(usize::from(which) % model.calls.len().max(1));
            let mine = mine.map(|(call, (link, up))| (*call, *link, *up));
            match (what % 7, mine) {
                (0 | 1, _) => {
                    let (link, up) = match pool.claim(hop, call, now) {
                        Claim::Reuse(link) => {
                            let (to, since) = model.open[&link];
                            assert_eq!(to, hop);
                            assert!(!model.retired.contains(&link), "the endpoint's address has changed");
                            assert!(since.is_some_and(|s| now - s < IDLE_CLOSE * 95 / 100));
                            (link, true)
                        }
                        Claim::Connect(link) => {
                            assert!(!model.open.contains_key(&link) && !model.closed.contains(&link));
                            (link, false)
                        }
                    };
                    assert!(model.calls.values().all(|(other, _)| *other != link));
                    model.open.insert(link, (hop, None));
                    model.calls.insert(call, (link, up));
                }
                (2, Some((call, link, up))) => {
                    assert_eq!(pool.on_connected(link), (!up).then_some(call));
                    model.calls.insert(call, (link, true));
                }
                (3, Some((call, link, true))) => {
                    assert_eq!(pool.connection_of(call), Some(link));
                    pool.release(link, now);
                    model.calls.remove(&call);
                    model.open.get_mut(&link).expect("the connection is open").1 = Some(now);
                }
                (4, Some((call, link, _))) => {
                    assert_eq!(pool.on_closed(link), Some(call));
                    assert_eq!(pool.on_closed(link), None);
                    model.calls.remove(&call);
                    model.open.remove(&link);
                    model.closed.insert(link);
                }
                (6, _) => {
                    pool.retire(hop);
                    let to = model.open.iter().filter(|(_, (to, _))| *to == hop).map(|(id, _)| *id);
                    model.retired.extend(to);
                    assert!(
                        model.retired.iter().all(|id| pool.is_retired(*id) || !model.open.contains_key(id))
                    );
                }
                (_, _) => {
                    let gone = if what % 2 == 0 { pool.take_expired(now) } else { pool.take_idle_to(hop) };
                    for link in gone {
                        assert!(
                            model.open.remove(&link).expect("the connection is open").1.is_some(),
                            "only idle connections are removed"
                        );
                        model.closed.insert(link);
                    }
                    let idle = model.open.values().filter(|(_, since)| since.is_some()).count();
                    assert!(what % 2 == 1 || idle == 0 || model.open.len() <= 6);
                }
            }
            let idle = model.open.iter().filter(|(id, _)| !model.retired.contains(id));
            let idle = idle.filter_map(|(_, (_, since))| *since).min();
            assert!(idle.is_none_or(|since| pool.next_expiry().is_some_and(|at| at <= since + IDLE_CLOSE)));
        }
        true
    }
    let chance = Gen::from_size_and_seed(200, 1);
    QuickCheck::new().tests(200).rng(chance).quickcheck(keep as fn(Vec<(u8, u8, u8)>) -> bool);
}

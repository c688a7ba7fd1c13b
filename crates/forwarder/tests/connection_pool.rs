//! The pool of connections to endpoints, compared with a model of the endpoints' side over random steps.

use orchidyoke_core::interface::{EndpointId, Micros};
use orchidyoke_forwarder::connection_pool::{CallId, Claim, ConnectionPool, EndpointConnectionId};
use quickcheck::{Gen, QuickCheck};
use std::collections::{BTreeMap, BTreeSet};

const ENDPOINT_IDLE_TIMEOUT: Micros = 1000;

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
    fn follows_model(steps: Vec<(u8, u8, u8)>) -> bool {
        let (mut pool, mut model, mut now) =
            (ConnectionPool::new(ENDPOINT_IDLE_TIMEOUT, 6), Model::default(), 0);
        for (number, (action, selector, elapsed)) in steps.into_iter().enumerate() {
            now += Micros::from(elapsed);
            let (call, endpoint) = (number as CallId, EndpointId::from(selector % 3));
            let tracked_call = model.calls.iter().nth(usize::from(selector) % model.calls.len().max(1));
            let tracked_call = tracked_call
                .map(|(call, (connection, is_established))| (*call, *connection, *is_established));
            match (action % 7, tracked_call) {
                (0 | 1, _) => {
                    let (connection, is_established) = match pool.claim(endpoint, call, now) {
                        Claim::Reuse(connection) => {
                            let (target, since) = model.open[&connection];
                            assert_eq!(target, endpoint);
                            assert!(
                                !model.retired.contains(&connection),
                                "the endpoint's address has changed"
                            );
                            assert!(
                                since.is_some_and(|since| now - since < ENDPOINT_IDLE_TIMEOUT * 95 / 100)
                            );
                            (connection, true)
                        }
                        Claim::Connect(connection) => {
                            assert!(
                                !model.open.contains_key(&connection) && !model.closed.contains(&connection)
                            );
                            (connection, false)
                        }
                    };
                    assert!(model.calls.values().all(|(other, _)| *other != connection));
                    model.open.insert(connection, (endpoint, None));
                    model.calls.insert(call, (connection, is_established));
                }
                (2, Some((call, connection, is_established))) => {
                    assert_eq!(pool.on_connected(connection), (!is_established).then_some(call));
                    model.calls.insert(call, (connection, true));
                }
                (3, Some((call, connection, true))) => {
                    assert_eq!(pool.connection_of(call), Some(connection));
                    pool.release(connection, now);
                    model.calls.remove(&call);
                    model.open.get_mut(&connection).expect("the connection is open").1 = Some(now);
                }
                (4, Some((call, connection, _))) => {
                    assert_eq!(pool.on_closed(connection), Some(call));
                    assert_eq!(pool.on_closed(connection), None);
                    model.calls.remove(&call);
                    model.open.remove(&connection);
                    model.closed.insert(connection);
                }
                (6, _) => {
                    pool.retire(endpoint);
                    let target =
                        model.open.iter().filter(|(_, (target, _))| *target == endpoint).map(|(id, _)| *id);
                    model.retired.extend(target);
                    assert!(
                        model.retired.iter().all(|id| pool.is_retired(*id) || !model.open.contains_key(id))
                    );
                }
                (_, _) => {
                    let removed =
                        if action % 2 == 0 { pool.take_expired(now) } else { pool.take_idle_to(endpoint) };
                    for connection in removed {
                        assert!(
                            model.open.remove(&connection).expect("the connection is open").1.is_some(),
                            "only idle connections are removed"
                        );
                        model.closed.insert(connection);
                    }
                    let idle = model.open.values().filter(|(_, since)| since.is_some()).count();
                    assert!(action % 2 == 1 || idle == 0 || model.open.len() <= 6);
                }
            }
            let idle = model.open.iter().filter(|(id, _)| !model.retired.contains(id));
            let idle = idle.filter_map(|(_, (_, since))| *since).min();
            assert!(idle.is_none_or(|since| {
                pool.next_expiry().is_some_and(|at| at <= since + ENDPOINT_IDLE_TIMEOUT)
            }));
        }
        true
    }
    let seeded = Gen::from_size_and_seed(200, 1);
    QuickCheck::new().tests(200).rng(seeded).quickcheck(follows_model as fn(Vec<(u8, u8, u8)>) -> bool);
}

//! The pool of connections to endpoints, compared with a model of the endpoints' side over random steps.

use orchidyoke_core::interface::{EndpointId, Micros};
use orchidyoke_forwarder::connection_pool::{
    CAUTIOUS_REUSE_DELAY_US, CallId, Claim, ConnectionPool, EndpointConnectionId, REUSE_DELAY_US,
    SUSPICION_US,
};
use quickcheck::{Gen, QuickCheck};
use std::collections::{BTreeMap, BTreeSet};

const ENDPOINT_IDLE_TIMEOUT: Micros = 2 * CAUTIOUS_REUSE_DELAY_US;
/// Longest time between two steps is 255 of these.
const STEP_US: Micros = ENDPOINT_IDLE_TIMEOUT / 1000;

/// A connection as its endpoint sees it.
struct OpenConnection {
    endpoint: EndpointId,
    idle_since: Option<Micros>,
    /// When the endpoint last answered on it.
    answered_at: Option<Micros>,
}

/// The connections as the endpoints see them.
#[derive(Default)]
struct Model {
    open: BTreeMap<EndpointConnectionId, OpenConnection>,
    /// The connection of each call, and whether it is established.
    calls: BTreeMap<CallId, (EndpointConnectionId, bool)>,
    closed: BTreeSet<EndpointConnectionId>,
    /// Connections to a former address of their endpoint.
    retired: BTreeSet<EndpointConnectionId>,
    /// When each endpoint last sent surplus bytes.
    suspected_at: BTreeMap<EndpointId, Micros>,
}

impl Model {
    /// Returns the connections to an endpoint that have rested long enough at `now` and have not reached their idle
    /// time-out, with the time of their last answer.
    fn rested(&self, endpoint: EndpointId, now: Micros) -> Vec<(Option<Micros>, EndpointConnectionId)> {
        let is_any_suspected = self.suspected_at.keys().any(|endpoint| self.is_suspected(*endpoint, now));
        let reuse_delay = if is_any_suspected { CAUTIOUS_REUSE_DELAY_US } else { REUSE_DELAY_US };
        let is_rested = |connection: &OpenConnection| {
            let is_fresh =
                connection.idle_since.is_some_and(|since| now - since < ENDPOINT_IDLE_TIMEOUT * 9 / 10);
            is_fresh && connection.answered_at.is_none_or(|at| now - at >= reuse_delay)
        };
        let to_endpoint = self
            .open
            .iter()
            .filter(|(id, connection)| connection.endpoint == endpoint && !self.retired.contains(id));
        let rested = to_endpoint.filter(|(_, connection)| is_rested(connection));
        rested.map(|(id, connection)| (connection.answered_at, *id)).collect()
    }

    fn is_suspected(&self, endpoint: EndpointId, now: Micros) -> bool {
        self.suspected_at.get(&endpoint).is_some_and(|at| now - at < SUSPICION_US)
    }
}

// Guards against two calls on one connection, and against a call on a connection that is closed, about to be closed
// by the endpoint, or open to a different endpoint. Also guards against losing a call when its connection closes, and
// against a call on a connection on which a copy of the response before may still arrive (issue 50).
#[test]
fn connections_follow_the_model_over_random_steps() {
    fn follows_model(steps: Vec<(u8, u8, u8)>) -> bool {
        let (mut pool, mut model, mut now) =
            (ConnectionPool::new(ENDPOINT_IDLE_TIMEOUT, 6), Model::default(), 0);
        for (number, (action, selector, elapsed)) in steps.into_iter().enumerate() {
            now += Micros::from(elapsed) * STEP_US;
            let (call, endpoint) = (number as CallId, EndpointId::from(selector % 3));
            let tracked_call = model.calls.iter().nth(usize::from(selector) % model.calls.len().max(1));
            let tracked_call = tracked_call
                .map(|(call, (connection, is_established))| (*call, *connection, *is_established));
            match (action % 8, tracked_call) {
                (0 | 1, _) => {
                    let (connection, is_established) = match pool.claim(endpoint, call, now) {
                        Claim::Reuse(connection) => {
                            let OpenConnection { endpoint: target, idle_since: since, answered_at } =
                                model.open[&connection];
                            assert_eq!(target, endpoint);
                            assert!(!model.is_suspected(endpoint, now), "the endpoint sends surplus bytes");
                            let rested = model.rested(endpoint, now);
                            assert_eq!(rested.iter().min(), Some(&(answered_at, connection)));
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
                            let has_rested = !model.rested(endpoint, now).is_empty();
                            assert!(
                                model.is_suspected(endpoint, now) || !has_rested,
                                "a connection has rested"
                            );
                            assert!(
                                !model.open.contains_key(&connection) && !model.closed.contains(&connection)
                            );
                            (connection, false)
                        }
                    };
                    assert!(model.calls.values().all(|(other, _)| *other != connection));
                    let answered_at = model.open.get(&connection).and_then(|open| open.answered_at);
                    model.open.insert(connection, OpenConnection { endpoint, idle_since: None, answered_at });
                    model.calls.insert(call, (connection, is_established));
                }
                (2, Some((call, connection, is_established))) => {
                    assert_eq!(pool.on_connected(connection), (!is_established).then_some(call));
                    model.calls.insert(call, (connection, true));
                }
                (3, Some((call, connection, true))) => {
                    assert_eq!(pool.connection_of(call), Some(connection));
                    model.calls.remove(&call);
                    let open = model.open.get_mut(&connection).expect("the connection is open");
                    open.idle_since = Some(now);
                    if elapsed % 4 == 0 {
                        // The call was not written.
                        pool.release(connection, now);
                    } else {
                        pool.on_answered(connection, now);
                        open.answered_at = Some(now);
                    }
                }
                (4, Some((call, connection, _))) => {
                    assert_eq!(pool.on_closed(connection), Some(call));
                    assert_eq!(pool.on_closed(connection), None);
                    model.calls.remove(&call);
                    model.open.remove(&connection);
                    model.closed.insert(connection);
                }
                (7, _) => {
                    if selector < 8 {
                        model.suspected_at.insert(endpoint, now);
                        for connection in pool.suspect(endpoint, now) {
                            assert_eq!(
                                model.open.remove(&connection).map(|open| open.endpoint),
                                Some(endpoint)
                            );
                            model.closed.insert(connection);
                        }
                        assert!(
                            model
                                .open
                                .values()
                                .all(|open| open.endpoint != endpoint || open.idle_since.is_none())
                        );
                    }
                }
                (6, _) => {
                    pool.retire(endpoint);
                    let target =
                        model.open.iter().filter(|(_, open)| open.endpoint == endpoint).map(|(id, _)| *id);
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
                            model.open.remove(&connection).expect("it is open").idle_since.is_some(),
                            "only idle connections are removed"
                        );
                        model.closed.insert(connection);
                    }
                    let idle = model.open.values().filter(|open| open.idle_since.is_some()).count();
                    assert!(action % 2 == 1 || idle == 0 || model.open.len() <= 6);
                }
            }
            let idle = model
                .open
                .iter()
                .filter(|(id, open)| !model.retired.contains(id) && !model.is_suspected(open.endpoint, now));
            let idle = idle.filter_map(|(_, open)| open.idle_since).min();
            assert!(idle.is_none_or(|since| {
                pool.next_expiry().is_some_and(|at| at <= since + ENDPOINT_IDLE_TIMEOUT)
            }));
        }
        true
    }
    let seeded = Gen::from_size_and_seed(200, 1);
    QuickCheck::new().tests(200).rng(seeded).quickcheck(follows_model as fn(Vec<(u8, u8, u8)>) -> bool);
}

// Guards against a call on a connection on which a copy of the response before may still arrive, and against opening a
// connection for each call when there is no need (issue 50).
#[test]
fn connection_is_reused_after_its_rest_and_the_longest_rested_first() {
    let mut pool = ConnectionPool::new(60 * REUSE_DELAY_US, 100);
    let mut connect = |call, now| match pool.claim(1, call, now) {
        Claim::Connect(connection) => {
            pool.on_connected(connection);
            pool.on_answered(connection, now);
            connection
        }
        Claim::Reuse(_) => panic!("no connection has rested"),
    };
    let (first, second) = (connect(1, 0), connect(2, REUSE_DELAY_US - 1));
    assert_eq!(pool.claim(1, 3, 3 * REUSE_DELAY_US), Claim::Reuse(first));
    assert_eq!(pool.claim(1, 4, 3 * REUSE_DELAY_US), Claim::Reuse(second));
}

// Guards against trust in the other connections to an endpoint that sends responses twice: a copy may be on its way on
// each of them (issue 50).
#[test]
fn endpoint_that_sent_surplus_bytes_gets_one_call_per_connection_for_a_time() {
    let mut pool = ConnectionPool::new(SUSPICION_US * 2, 100);
    let carry = |pool: &mut ConnectionPool, call, now| match pool.claim(1, call, now) {
        Claim::Connect(connection) => {
            pool.on_connected(connection);
            pool.on_answered(connection, now);
            Some(connection)
        }
        Claim::Reuse(_) => None,
    };
    let first = carry(&mut pool, 1, 0).expect("there is no connection yet");
    assert_eq!(pool.suspect(1, REUSE_DELAY_US), [first]);
    let suspicion_ends = REUSE_DELAY_US + SUSPICION_US;
    let second = carry(&mut pool, 2, suspicion_ends - REUSE_DELAY_US - 1).expect("the idle one was closed");
    assert_eq!(pool.take_expired(suspicion_ends - REUSE_DELAY_US - 1), [second]);
    let third = carry(&mut pool, 3, suspicion_ends).expect("each has carried one call");
    assert_eq!(pool.claim(1, 4, suspicion_ends + REUSE_DELAY_US), Claim::Reuse(third));
}

// Guards against trust in the connections to the other endpoints when the path to all of them sends responses twice
// (issue 50).
#[test]
fn connections_rest_longer_while_another_endpoint_is_suspected() {
    let mut pool = ConnectionPool::new(60 * CAUTIOUS_REUSE_DELAY_US, 100);
    let Claim::Connect(connection) = pool.claim(1, 1, 0) else { panic!("there is no connection yet") };
    pool.on_connected(connection);
    pool.on_answered(connection, 0);
    assert!(pool.suspect(2, 0).is_empty());
    assert!(matches!(pool.claim(1, 2, CAUTIOUS_REUSE_DELAY_US - 1), Claim::Connect(_)));
    assert_eq!(pool.claim(1, 3, CAUTIOUS_REUSE_DELAY_US), Claim::Reuse(connection));
}

// Guards against opening a connection for a call although an established one is unused: a call that was not written
// leaves no response whose copy could arrive.
#[test]
fn connection_whose_call_was_not_written_needs_no_rest() {
    let mut pool = ConnectionPool::new(60 * REUSE_DELAY_US, 100);
    let Claim::Connect(connection) = pool.claim(1, 1, 0) else { panic!("there is no connection yet") };
    pool.on_connected(connection);
    pool.release(connection, 10);
    assert_eq!(pool.claim(1, 2, 10), Claim::Reuse(connection));
}

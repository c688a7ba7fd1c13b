//! Restarts and stops: what a controller is told of the time before it, and what it begins before its end.

mod common;

use common::*;
use orchidyoke_core::interface::*;

// Guards against a restart that sends again what may have run and may not be repeated, or that lets such a
// message wait until its time is up: its end is decided at once.
#[test]
fn possible_delivery_before_a_restart_is_not_repeated() {
    let mut bench = Bench::new(settings(), &[entry(1, 1, 0, 0)]);
    let message = bench.message(1, 2);
    let history = Event::AttemptHistory {
        id: 1,
        attempts: 1,
        possible_delivery: Some(PriorAttempt { sent_ago: S, endpoint: 1, zone: 0 }),
    };
    let actions = bench.step(&[message, history]);
    assert_eq!((failed(&actions), sends(&actions).len()), (vec![1], 0));
    let message = bench.message(1, 2);
    let history = Event::AttemptHistory { id: 2, attempts: 1, possible_delivery: None };
    assert_eq!(sends(&bench.step(&[message, history])).len(), 1, "what never ran goes again");
}

// Guards against more attempts than a message may have, counted over a restart.
#[test]
fn attempts_before_a_restart_count_towards_the_limit() {
    let mut bench = Bench::new(settings(), &[entry(1, 1, 0, 0)]);
    let message = bench.message(1, 0);
    let actions =
        bench.step(&[message, Event::AttemptHistory { id: 1, attempts: 8, possible_delivery: None }]);
    assert_eq!((refused(&actions).len(), sends(&actions).len()), (1, 0));
}

// Guards against a call begun just before the forwarder stops: its message may have run and would be lost.
#[test]
fn call_that_would_outlast_the_shutdown_is_not_begun() {
    let mut bench = Bench::new(settings(), &[entry(1, 1, 0, 0), entry(2, 2, 0, 0)]);
    bench.step(&[Event::ShuttingDown { time_left: 4 * S }]);
    assert_eq!(sends(&bench.hand_in(1, 2, 1)).len(), 1, "there is time");
    bench.now += 3 * S;
    let actions = bench.hand_in(2, 2, 1);
    assert!(sends(&actions).is_empty() && refused(&actions).is_empty() && failed(&actions).is_empty());
}

// Guards against a crowd of kept messages sent to a cold destination by a forwarder that forgot its outage.
#[test]
fn faulty_destination_before_a_restart_stays_ejected() {
    let mut bench = Bench::new(settings(), &[entry(1, 1, 0, 0), entry(2, 2, 0, 0)]);
    assert!(bench.controller.faulty_routes().is_empty());
    bench.step(&[1, 99].map(|destination| Event::RouteState {
        destination,
        endpoint: None,
        ejected: true,
        retry_after: 0,
    }));
    assert_eq!(
        bench.controller.faulty_routes().into_iter().collect::<Vec<_>>(),
        [1, 99].map(|destination| FaultyRouteId { destination, endpoint: None })
    );
    let healthy = sends(&bench.hand_in(2, 0, 1));
    assert_eq!(healthy.len(), 1);
    let mut calls = sends(&bench.hand_in(1, 0, 20));
    for _ in 0..40 {
        for (id, _, _) in std::mem::take(&mut calls) {
            calls.extend(sends(&bench.end(id, Outcome::Rejected)));
        }
        calls.extend(sends(&bench.later(50 * MS)));
    }
    let tried: u32 = (2..=21).filter_map(|id| bench.copies.get(&id)).sum();
    // Twice a fifth of its 20 calls a second, for the 2 s that have passed.
    assert!(tried <= 16, "{tried} calls in 2 s");
}

// Guards against a destination whose endpoints were all gone when the forwarder stopped: those that come after the
// restart were taken for a healthy partner's.
#[test]
fn faulty_destination_before_a_restart_outlasts_an_empty_list() {
    for troubled in [false, true] {
        let mut bench = Bench::new(settings(), &[]);
        if troubled {
            bench.step(&[1, 2].map(|destination| Event::RouteState {
                destination,
                endpoint: None,
                ejected: true,
                retry_after: 0,
            }));
        }
        bench.later(5 * S);
        bench.list(ListEventKind::Snapshot, &[entry(1, 1, 0, 0)]);
        assert_eq!(
            bench.controller.faulty_routes().contains(&FaultyRouteId { destination: 1, endpoint: None }),
            troubled
        );
        let (mut calls, mut sent) = (sends(&bench.hand_in(1, 0, 80)), 0);
        for _ in 0..20 {
            sent += calls.len();
            bench.now += 100 * MS;
            for (id, ..) in std::mem::take(&mut calls) {
                calls.extend(sends(&bench.end(id, Outcome::Success)));
            }
            calls.extend(sends(&bench.later(0)));
        }
        // Twice a fifth of 20 calls a second, somewhat risen, for 2 s; without trouble more than that.
        assert_eq!((1..=20).contains(&sent), troubled, "{sent} calls in 2 s, in trouble: {troubled}");
    }
}

// Guards against messages that a start found taken on and untried, and that are given up with no call: their aim has passed
// by then, what is late comes last, and for want of room the last go first.
#[test]
fn message_recovered_unsent_is_not_shed() {
    let mut set = settings();
    set.max_open_messages = 10;
    let mut bench = Bench::new(set, &[entry(1, 7, 0, 0)]);
    let mut events = Vec::new();
    for _ in 0..4 {
        let Event::Message { id, destination, class, tenant, order_key: key, is_retry: repeat, .. } =
            bench.message(7, 0)
        else {
            unreachable!()
        };
        // Half of its time is left, and its aim has passed.
        let time_left = 8 * S;
        events.push(Event::Message {
            id,
            destination,
            class,
            tenant,
            order_key: key,
            time_left,
            is_retry: repeat,
        });
        events.push(Event::AttemptHistory { id, attempts: 0, possible_delivery: None });
    }
    let new: Vec<Event> = (0..12).map(|_| bench.message(7, 0)).collect();
    events.extend(new);
    let actions = bench.step(&events);
    let given_up: Vec<_> = refused(&actions).into_iter().map(|(id, _)| id).collect();
    assert!(given_up.len() >= 6 && given_up.iter().all(|id| *id > 4), "{given_up:?}");
    let mut order: Vec<_> = sends(&actions).into_iter().map(|(id, ..)| id).collect();
    while order.len() < 10 - given_up.len().saturating_sub(6) {
        let id = *order.last().expect("one at a time at first");
        bench.now += 100 * MS;
        let actions = bench.end(id, Outcome::Success);
        let next = sends(&actions);
        if next.is_empty() {
            break;
        }
        order.extend(next.into_iter().map(|(id, ..)| id));
    }
    assert!((1..=4).all(|id| order.contains(&id)), "{order:?}: each is tried");
}

//! Tests of restarts and shutdowns: the history that a controller starts with, and the calls that it starts before it
//! stops.

mod common;

use common::*;
use orchidyoke_core::interface::*;

// Guards against a restart after which a message that may have been executed and must not be repeated is sent again, or
// waits for its deadline. Its final answer is decided at once.
#[test]
fn possible_delivery_before_a_restart_is_not_repeated() {
    let mut harness = Harness::new(settings(), &[entry(1, 1, 0, 0)]);
    let message = harness.message(1, 2);
    let history = Event::AttemptHistory {
        id: 1,
        attempts: 1,
        possible_delivery: Some(PriorAttempt { sent_ago: SECOND, endpoint: 1, zone: 0 }),
    };
    let actions = harness.step(&[message, history]);
    assert_eq!((failed(&actions), sends(&actions).len()), (vec![1], 0));
    let message = harness.message(1, 2);
    let history = Event::AttemptHistory { id: 2, attempts: 1, possible_delivery: None };
    assert_eq!(
        sends(&harness.step(&[message, history])).len(),
        1,
        "a message that was not executed is sent again"
    );
}

// Guards against a restart that resets the number of attempts of a message.
#[test]
fn attempts_before_a_restart_count_towards_the_limit() {
    let mut harness = Harness::new(settings(), &[entry(1, 1, 0, 0)]);
    let message = harness.message(1, 0);
    let actions =
        harness.step(&[message, Event::AttemptHistory { id: 1, attempts: 8, possible_delivery: None }]);
    assert_eq!((rejected(&actions).len(), sends(&actions).len()), (1, 0));
}

// Guards against a call that starts just before the forwarder stops: its message may be executed and would be lost.
#[test]
fn call_that_would_outlast_the_shutdown_is_not_started() {
    let mut harness = Harness::new(settings(), &[entry(1, 1, 0, 0), entry(2, 2, 0, 0)]);
    harness.step(&[Event::ShuttingDown { time_left: 4 * SECOND }]);
    assert_eq!(sends(&harness.submit(1, 2, 1)).len(), 1, "the call can end before the shutdown");
    harness.now += 3 * SECOND;
    let actions = harness.submit(2, 2, 1);
    assert!(sends(&actions).is_empty() && rejected(&actions).is_empty() && failed(&actions).is_empty());
}

// Guards against a forwarder that loses the state of an outage in a restart and sends all recovered messages to a cold
// destination.
#[test]
fn faulty_destination_before_a_restart_stays_ejected() {
    let mut harness = Harness::new(settings(), &[entry(1, 1, 0, 0), entry(2, 2, 0, 0)]);
    assert!(harness.controller.faulty_routes().is_empty());
    harness.step(&[1, 99].map(|destination| Event::RouteState {
        destination,
        endpoint: None,
        begins_cold: true,
        retry_after: 0,
    }));
    assert_eq!(
        harness.controller.faulty_routes().into_iter().collect::<Vec<_>>(),
        [1, 99].map(|destination| RouteRef { destination, endpoint: None })
    );
    let healthy = sends(&harness.submit(2, 0, 1));
    assert_eq!(healthy.len(), 1);
    let mut calls = sends(&harness.submit(1, 0, 20));
    for _ in 0..40 {
        for (id, _, _) in std::mem::take(&mut calls) {
            calls.extend(sends(&harness.end_attempt(id, Outcome::Rejected)));
        }
        calls.extend(sends(&harness.advance(50 * MILLISECOND)));
    }
    let tried: u32 = (2..=21).filter_map(|id| harness.attempts.get(&id)).sum();
    // The budget is twice a fifth of its 20 calls a second, for the 2 s that have passed.
    assert!(tried <= 16, "{tried} calls in 2 s");
}

// Guards against a faulty destination without endpoints at the restart: endpoints that were listed after the restart
// were treated as healthy.
#[test]
fn faulty_destination_before_a_restart_stays_faulty_through_an_empty_list() {
    for faulty in [false, true] {
        let mut harness = Harness::new(settings(), &[]);
        if faulty {
            harness.step(&[1, 2].map(|destination| Event::RouteState {
                destination,
                endpoint: None,
                begins_cold: true,
                retry_after: 0,
            }));
        }
        harness.advance(5 * SECOND);
        harness.list(ListEventKind::Snapshot, &[entry(1, 1, 0, 0)]);
        assert_eq!(
            harness.controller.faulty_routes().contains(&RouteRef { destination: 1, endpoint: None }),
            faulty
        );
        let (mut calls, mut sent) = (sends(&harness.submit(1, 0, 80)), 0);
        for _ in 0..20 {
            sent += calls.len();
            harness.now += 100 * MILLISECOND;
            for (id, ..) in std::mem::take(&mut calls) {
                calls.extend(sends(&harness.end_attempt(id, Outcome::Success)));
            }
            calls.extend(sends(&harness.advance(0)));
        }
        // The budget is twice a fifth of 20 calls a second, a little more with the ramp, for 2 s. Without a fault there
        // are more calls.
        assert_eq!((1..=20).contains(&sent), faulty, "{sent} calls in 2 s, faulty: {faulty}");
    }
}

// Guards against messages that an earlier process accepted and did not send, and that are given up without a call.
// After the restart their latency objective has passed, so they are last in the queue, and the last messages are shed
// first.
#[test]
fn message_recovered_unsent_is_not_shed() {
    let mut custom_settings = settings();
    custom_settings.max_open_messages = 10;
    let mut harness = Harness::new(custom_settings, &[entry(1, 7, 0, 0)]);
    let mut events = Vec::new();
    for _ in 0..4 {
        let Event::Message { id, destination, class, tenant, order_key: key, is_retry: repeat, .. } =
            harness.message(7, 0)
        else {
            unreachable!()
        };
        // Half of the message's time is left, and its latency objective has passed.
        let time_left = 8 * SECOND;
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
    let new: Vec<Event> = (0..12).map(|_| harness.message(7, 0)).collect();
    events.extend(new);
    let actions = harness.step(&events);
    let given_up: Vec<_> = rejected(&actions).into_iter().map(|(id, _)| id).collect();
    assert!(given_up.len() >= 6 && given_up.iter().all(|id| *id > 4), "{given_up:?}");
    let mut order: Vec<_> = sends(&actions).into_iter().map(|(id, ..)| id).collect();
    while order.len() < 10 - given_up.len().saturating_sub(6) {
        let id = *order.last().expect("at least one message was sent");
        harness.now += 100 * MILLISECOND;
        let actions = harness.end_attempt(id, Outcome::Success);
        let next = sends(&actions);
        if next.is_empty() {
            break;
        }
        order.extend(next.into_iter().map(|(id, ..)| id));
    }
    assert!((1..=4).all(|id| order.contains(&id)), "each recovered message is sent: {order:?}");
}

//! Tests of limits, of the order of messages within them, and of invalid input.

mod common;

use common::*;
use orchidyoke_core::Controller;
use orchidyoke_core::interface::*;

#[test]
fn message_out_of_attempts_is_rejected() {
    let custom_settings = Settings { max_attempts: 3, ..settings() };
    let mut harness = Harness::new(custom_settings, &[entry(1, 1, 0, 0)]);
    harness.submit(1, 0, 1);
    for attempt in 1..=3 {
        let mut actions = harness.end_attempt(1, Outcome::ConnectFailed);
        actions.extend(harness.advance(4 * SECOND));
        assert_eq!(sends(&actions).len(), usize::from(attempt < 3));
        assert_eq!(rejected(&actions).len(), usize::from(attempt == 3));
    }
}

#[test]
fn capacity_shortage_sheds_queued_messages_with_retry_after_and_none_in_flight() {
    let custom_settings = Settings { max_open_messages: 10, tenant_quotas: vec![1.0], ..settings() };
    let mut harness = Harness::new(custom_settings, &[entry(1, 1, 0, 0)]);
    let actions = harness.submit(1, 0, 12);
    let rejections = rejected(&actions);
    assert_eq!(rejections.len(), 3);
    assert!(
        rejections.iter().all(|rejection| rejection.1 > 0 && rejection.1 <= 3 * SECOND),
        "the Retry-After is positive and within its maximum"
    );
    assert!(rejections.iter().all(|rejection| rejection.0 > 4), "the last messages are shed");
}

#[test]
fn calls_in_flight_stay_within_the_slots_and_none_go_without_slots() {
    let all: Vec<EndpointUpdate> = (1..=30).map(|number| entry(number, u64::from(number), 0, 0)).collect();
    let mut harness = Harness::new(settings(), &all);
    let events: Vec<Event> = (1..=30).map(|destination| harness.message(destination, 0)).collect();
    assert_eq!(sends(&harness.step(&events)).len(), 8);
    let mut harness = Harness::new(Settings { max_calls: 0, ..settings() }, &all);
    assert!(sends(&harness.submit(1, 0, 3)).is_empty());
}

#[test]
fn endpoint_with_idle_connection_is_preferred() {
    let mut harness = Harness::new(settings(), &[entry(1, 1, 0, 0), entry(2, 1, 0, 0)]);
    harness.list(
        ListEventKind::Delta,
        &[EndpointUpdate { state: EndpointState::Draining, ..entry(1, 1, 0, 0) }],
    );
    harness.warm_up(1, 1);
    harness.list(ListEventKind::Delta, &[entry(1, 1, 0, 0)]);
    assert_eq!(sends(&harness.submit(1, 0, 1))[0].1, 2);
}

#[test]
fn empty_settings_and_unknown_ids_are_handled() {
    let mut controller = Controller::new(Settings::default(), 0);
    let mut actions = Vec::new();
    let answer = AttemptResult {
        id: 9,
        attempt: 3,
        outcome: Outcome::Success,
        latency: -5,
        message_finished: true,
        retry_after: i64::MAX,
        reported_limit: Some(f64::NAN),
        reported_remaining: None,
    };
    let message = |id, time_left| Event::Message {
        id,
        destination: 77,
        class: 99,
        tenant: 99,
        order_key: Some(1),
        time_left,
        is_retry: true,
    };
    let events = [
        Event::AttemptEnded(answer),
        Event::Withdrawn { id: 4 },
        Event::Timer { token: 12 },
        Event::EndpointList { kind: ListEventKind::Delta, entries: vec![] },
        Event::EndpointList { kind: ListEventKind::Failed, entries: vec![] },
        message(1, -5),
        message(2, i64::MAX),
        message(3, i64::MIN),
        Event::ResponseStarted { id: 8, attempt: 0 },
        Event::HealthChecked { endpoint: 3, outcome: Outcome::Rejected },
        Event::Gossip { from: 1, bytes: vec![1] },
    ];
    controller.step(5, &events, &mut actions);
    assert_eq!(
        rejected(&actions).iter().map(|rejection| rejection.0).collect::<Vec<_>>(),
        [3, 1],
        "messages past their deadline"
    );
}

#[test]
fn endpoints_are_chosen_in_proportion_to_capacity_hints() {
    // Guards against hundreds of forwarders that all see the same costs and choose the same route.
    let entries = [
        EndpointUpdate { capacity_hint: 3000.0, ..entry(1, 1, 0, 1) },
        EndpointUpdate { capacity_hint: 1000.0, ..entry(2, 1, 0, 1) },
    ];
    let mut counts = [0, 0];
    for seed in 0..200 {
        let mut harness = Harness::new(settings(), &[]);
        harness.controller = Controller::new(Settings { fleet_size: 300, ..settings() }, seed);
        harness.list(ListEventKind::Snapshot, &entries);
        counts[sends(&harness.submit(1, 0, 1))[0].1 as usize - 1] += 1;
    }
    assert!(
        (130..=170).contains(&counts[0]) && counts[1] > 0,
        "three of four calls go to the larger route: {counts:?}"
    );
}

#[test]
fn partial_batch_waits_while_a_call_is_in_flight() {
    // Guards against calls with single messages that use up a limit on calls.
    let mut harness = Harness::new(settings(), &[entry(1, 1, 0, 2)]);
    harness.warm_up(1, 20);
    assert_eq!(sends(&harness.submit(1, 0, 1)).len(), 1, "no call is in flight");
    assert!(sends(&harness.submit(1, 0, 4)).is_empty(), "a batch of four of five waits");
    assert_eq!(sends(&harness.submit(1, 0, 1)).len(), 5, "a full batch is sent");
    assert!(sends(&harness.submit(1, 0, 2)).is_empty());
    assert_eq!(sends(&harness.advance(2 * SECOND)).len(), 2, "hanging calls do not delay a batch");
}

#[test]
fn least_late_message_is_sent_first() {
    // Guards against a queue that uses the rest of a limit for its oldest messages, which have lost the most weight.
    let mut harness = Harness::new(settings(), &[entry(1, 1, 0, 0)]);
    let first = sends(&harness.submit(1, 0, 1))[0].0;
    for _ in 0..3 {
        harness.submit(1, 0, 1);
        harness.advance(500 * MILLISECOND);
    }
    harness.advance(3 * SECOND);
    let next = sends(&harness.end_attempt(first, Outcome::Success));
    assert_eq!(
        next.iter().map(|send| send.0).collect::<Vec<_>>(),
        [first + 3],
        "the message that was submitted last"
    );
}

#[test]
fn invalid_capacity_hint_or_unusual_fleet_size_does_not_stop_calls() {
    // Guards against a missing or invalid capacity hint, or an unusual fleet size, that stops deliveries.
    for hint in [0.0, -3.0, f64::NAN, f64::INFINITY] {
        for fleet_size in [0, 1, 100, u32::MAX] {
            let custom_settings = Settings { fleet_size, ..settings() };
            let mut harness =
                Harness::new(custom_settings, &[EndpointUpdate { capacity_hint: hint, ..entry(1, 1, 0, 0) }]);
            harness.warm_up(1, 10);
        }
    }
    // A capacity that the fleet shares does limit the calls: one call in five seconds, plus the saved-up calls.
    for (fleet_size, calls) in [(0, 10..=10), (1, 10..=10), (100, 0..=2)] {
        let custom_settings = Settings { fleet_size, ..settings() };
        let mut harness = Harness::new(custom_settings, &[entry(1, 1, 0, 0)]);
        let mut sent = 0;
        for _ in 0..10 {
            if let Some(call) = sends(&harness.submit(1, 0, 1)).first() {
                sent += 1;
                harness.now += 100 * MILLISECOND;
                harness.step(&[Event::Withdrawn { id: call.0 }]);
                harness.end_attempt(call.0, Outcome::Success);
            }
        }
        assert!(calls.contains(&sent), "{sent} calls of one forwarder in a fleet of {fleet_size}");
    }
}

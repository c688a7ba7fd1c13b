//! Tests of a message's final answer, its retries, its order and the endpoints that it may go to.

mod common;

use common::*;
use orchidyoke_core::interface::*;

#[test]
fn unsendable_message_is_rejected_once_before_its_deadline() {
    let mut harness = Harness::new(settings(), &[]);
    harness.submit(9, 2, 1);
    assert!(
        harness
            .advance(16 * SECOND - 80 * MILLISECOND)
            .iter()
            .all(|action| matches!(action, Action::Timer { .. }))
    );
    let actions = harness.advance(20 * MILLISECOND);
    assert_eq!(rejected(&actions).len(), 1, "a message that was never sent may be rejected");
    assert!(rejected(&harness.advance(SECOND)).is_empty() && failed(&harness.advance(SECOND)).is_empty());
}

#[test]
fn scheduling_pause_before_the_deadline_does_not_delay_the_answer() {
    // Guards against a final answer that is decided so late that it is given after the deadline if the forwarder, which
    // has only part of a core, is descheduled for a short time (28 ms or more occur). Checks queued messages and calls
    // in flight.
    let (pause, used_settings) = (50 * MILLISECOND, settings());
    let timer = |actions: &[Action]| {
        let delay =
            |action: &Action| if let Action::Timer { delay, .. } = action { Some(*delay) } else { None };
        actions.iter().find_map(delay)
    };
    let mut queued = Harness::new(settings(), &[]);
    let mut timer_delay = timer(&queued.submit(9, 2, 1)).expect("a timer is set");
    while let actions = queued.advance(timer_delay)
        && rejected(&actions).is_empty()
    {
        timer_delay = timer(&actions).unwrap_or(MILLISECOND);
    }
    assert!(queued.now + pause <= 17 * SECOND, "final answer at {}", queued.now);
    let mut in_flight = Harness::new(settings(), &[entry(1, 1, 0, 0)]);
    let sent = sends(&in_flight.submit(1, 2, 1));
    assert!(
        sent[0].2 + pause + used_settings.tick <= 16 * SECOND,
        "a non-idempotent call ends after {}",
        sent[0].2
    );
}

#[test]
fn withdrawn_message_gets_no_answer_and_is_not_sent() {
    let mut harness = Harness::new(settings(), &[entry(1, 1, 0, 0)]);
    harness.submit(1, 0, 2);
    harness.step(&[Event::Withdrawn { id: 2 }]);
    assert!(sends(&harness.end_attempt(1, Outcome::Success)).is_empty());
    assert!(rejected(&harness.advance(20 * SECOND)).is_empty());
}

#[test]
fn non_idempotent_message_with_possible_delivery_fails_at_once() {
    for outcome in [Outcome::Error, Outcome::Timeout, Outcome::Reset, Outcome::Cancelled] {
        let mut harness = Harness::new(settings(), &[entry(1, 1, 0, 0)]);
        let id = sends(&harness.submit(1, 2, 1))[0].0;
        let actions = harness.end_attempt(id, outcome);
        assert_eq!(failed(&actions), [id], "{outcome:?}");
        assert!(rejected(&actions).is_empty() && sends(&harness.advance(5 * SECOND)).is_empty());
    }
}

// Guards against a hanging call that occupies its slot until the deadline of its message. With one such call at each of
// nine destinations all slots for faulty destinations were occupied, and no message was sent for up to 12 s.
#[test]
fn hanging_non_idempotent_call_times_out_as_soon_as_any_other() {
    let timeout = |class: usize| {
        let mut harness = Harness::new(settings(), &[entry(1, 1, 0, 0)]);
        harness.warm_up(1, 20);
        sends(&harness.submit(1, class, 1))[0].2
    };
    assert_eq!(timeout(2), timeout(0));
    assert!(timeout(2) <= 6 * SECOND, "the time-out is well before the deadline of 16 s");
}

#[test]
fn non_idempotent_message_that_was_not_executed_is_retried() {
    for outcome in [Outcome::Rejected, Outcome::ConnectFailed, Outcome::NotSent] {
        let mut harness = Harness::new(settings(), &[entry(1, 1, 0, 0)]);
        let id = sends(&harness.submit(1, 2, 1))[0].0;
        let mut retries = sends(&harness.end_attempt(id, outcome));
        retries.extend(sends(&harness.advance(7 * SECOND)));
        assert_eq!(retries.len(), 1, "{outcome:?}");
    }
}

#[test]
fn message_with_zone_scoped_key_is_retried_in_its_zone_and_window_only() {
    let zones = [entry(1, 1, 0, 1), entry(2, 1, 1, 1)];
    let mut harness = Harness::new(settings(), &zones);
    let (id, first, _) = sends(&harness.submit(1, 1, 1))[0];
    assert_eq!(first, 1, "the forwarder's own zone is preferred");
    harness.list(ListEventKind::Delta, &[EndpointUpdate { state: EndpointState::Removed, ..zones[0] }]);
    harness.end_attempt(id, Outcome::Timeout);
    assert!(sends(&harness.advance(5 * SECOND)).is_empty(), "the other zone would not drop the repeat");
    let actions = harness.advance(5 * SECOND);
    assert_eq!(failed(&actions), [id], "after its key window the message can be neither sent nor rejected");
}

#[test]
fn message_with_global_key_is_retried_anywhere_and_may_be_rejected() {
    let zones = [entry(1, 1, 0, 1), entry(2, 1, 1, 1)];
    let mut harness = Harness::new(settings(), &zones);
    let (id, ..) = sends(&harness.submit(1, 4, 1))[0];
    let retries = sends(&harness.end_attempt(id, Outcome::Error));
    assert_eq!(retries.iter().map(|send| send.1).collect::<Vec<_>>(), [2]);
    harness.end_attempt(id, Outcome::Error);
    harness.list(ListEventKind::Snapshot, &[]);
    assert_eq!(rejected(&harness.advance(15 * SECOND)).len(), 1);
}

#[test]
fn draining_or_removed_endpoint_gets_no_new_call() {
    for state in [EndpointState::Draining, EndpointState::Removed] {
        let mut harness = Harness::new(settings(), &[entry(1, 1, 0, 0)]);
        harness.list(ListEventKind::Delta, &[EndpointUpdate { state, ..entry(1, 1, 0, 0) }]);
        assert!(sends(&harness.submit(1, 0, 1)).is_empty());
        assert_eq!(sends(&harness.list(ListEventKind::Delta, &[entry(1, 1, 0, 0)])).len(), 1);
    }
    let mut harness = Harness::new(settings(), &[entry(1, 1, 0, 0)]);
    harness.list(ListEventKind::Snapshot, &[entry(2, 1, 0, 0)]);
    assert_eq!(sends(&harness.submit(1, 0, 1))[0].1, 2, "an endpoint missing from a snapshot is removed");
}

#[test]
fn retry_after_holds_for_the_destination_or_its_separate_route() {
    for (kind, calls_to_others) in [(0, 0), (1, 1)] {
        let mut harness = Harness::new(settings(), &[entry(1, 1, 0, kind), entry(2, 1, 0, kind)]);
        let id = sends(&harness.submit(1, 0, 1))[0].0;
        let answer =
            AttemptResult { retry_after: 700 * MILLISECOND, ..harness.answer(id, Outcome::Rejected) };
        let sent = sends(&harness.step(&[Event::AttemptEnded(answer)]));
        assert_eq!(sent.len(), calls_to_others, "kind {kind}");
        assert!(sends(&harness.submit(1, 0, 1)).is_empty());
        assert!(sends(&harness.advance(699 * MILLISECOND)).is_empty());
        assert!(
            !sends(&harness.advance(7 * SECOND)).is_empty(),
            "calls continue after the Retry-After and a pause"
        );
    }
}

#[test]
fn each_message_of_a_batch_may_set_a_retry_after() {
    let mut harness = Harness::new(settings(), &[entry(1, 1, 0, 2)]);
    let sent = sends(&harness.submit(1, 0, 2));
    let answer = |number: usize, wait| {
        Event::AttemptEnded(AttemptResult {
            retry_after: wait,
            ..harness.answer(sent[number].0, Outcome::Rejected)
        })
    };
    let answers = [answer(0, 300 * MILLISECOND), answer(1, 900 * MILLISECOND)];
    harness.step(&answers);
    assert!(sends(&harness.advance(899 * MILLISECOND)).is_empty());
    assert_eq!(sends(&harness.advance(7 * SECOND)).len(), 2);
}

// Guards against a Retry-After that is ignored because the answer was a success.
#[test]
fn retry_after_holds_whatever_the_outcome() {
    let mut harness = Harness::new(settings(), &[entry(1, 1, 0, 0)]);
    harness.submit(1, 0, 1);
    let answer = AttemptResult { retry_after: 500 * MILLISECOND, ..harness.answer(1, Outcome::Success) };
    harness.step(&[Event::AttemptEnded(answer)]);
    assert!(sends(&harness.submit(1, 0, 1)).is_empty());
    harness.now += 500 * MILLISECOND;
    assert_eq!(sends(&harness.step(&[Event::Timer { token: 0 }])).len(), 1);
}

#[test]
fn messages_of_an_order_key_go_one_at_a_time_and_cool_down_after_a_timeout() {
    let mut harness = Harness::new(settings(), &[entry(1, 1, 0, 1), entry(2, 1, 0, 1)]);
    let events: Vec<Event> = (0..3).map(|_| harness.message_with_key(1, 3, Some(5))).collect();
    assert_eq!(sends(&harness.step(&events)).iter().map(|send| send.0).collect::<Vec<_>>(), [1]);
    let next = harness.end_attempt(1, Outcome::Success);
    assert_eq!(sends(&next).iter().map(|send| send.0).collect::<Vec<_>>(), [2]);
    let after = harness.end_attempt(2, Outcome::Timeout);
    assert_eq!(failed(&after), [2]);
    assert!(
        sends(&after).is_empty() && sends(&harness.advance(299 * MILLISECOND)).is_empty(),
        "the key is in its cooldown"
    );
    assert_eq!(sends(&harness.advance(MILLISECOND)).iter().map(|send| send.0).collect::<Vec<_>>(), [3]);
}

#[test]
fn order_key_waits_for_attempts_in_flight_of_a_finished_message() {
    let mut harness = Harness::new(settings(), &[entry(1, 1, 0, 1), entry(2, 1, 0, 1)]);
    let events: Vec<Event> = (0..2).map(|_| harness.message_with_key(1, 3, Some(5))).collect();
    harness.step(&events);
    assert!(
        sends(&harness.step(&[Event::Withdrawn { id: 1 }])).is_empty(),
        "the attempt of the withdrawn message is in flight"
    );
    let mut answer = harness.answer(1, Outcome::Success);
    answer.message_finished = true;
    assert_eq!(sends(&harness.step(&[Event::AttemptEnded(answer)])).len(), 1);
}

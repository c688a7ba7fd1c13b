//! Tests of a route's concurrency window: how it grows and shrinks, and how destinations share the call slots.

mod common;

use common::*;
use orchidyoke_core::interface::*;

#[test]
fn window_starts_at_one_call() {
    let mut harness = Harness::new(settings(), &[entry(1, 1, 0, 0)]);
    assert_eq!(sends(&harness.submit(1, 0, 5)).len(), 1);
}

#[test]
fn eight_first_try_successes_allow_two_calls() {
    let mut harness = Harness::new(settings(), &[entry(1, 1, 0, 0)]);
    harness.warm_up(1, 7);
    assert_eq!(sends(&harness.submit(1, 0, 5)).len(), 1, "1.1^7 is less than two");
    let mut harness = Harness::new(settings(), &[entry(1, 1, 0, 0)]);
    harness.warm_up(1, 8);
    assert_eq!(sends(&harness.submit(1, 0, 5)).len(), 2, "1.1^8 is more than two");
}

#[test]
fn every_failure_halves_the_window_down_to_one_call() {
    for outcome in
        [Outcome::Rejected, Outcome::Error, Outcome::Timeout, Outcome::ConnectFailed, Outcome::Reset]
    {
        let mut harness = Harness::new(settings(), &[entry(1, 1, 0, 0)]);
        harness.warm_up(1, 15);
        let sent = sends(&harness.submit(1, 0, 9));
        assert_eq!(sent.len(), 4, "1.1^15 is more than four");
        let mut sent_after = Vec::new();
        for (id, ..) in &sent[1..] {
            sent_after.extend(sends(&harness.end_attempt(*id, outcome)));
        }
        sent_after.extend(sends(&harness.end_attempt(sent[0].0, Outcome::Success)));
        sent_after.extend(sends(&harness.advance(2 * SECOND)));
        assert_eq!(sent_after.len(), 1, "{outcome:?}: three failures reduce the window to its floor");
    }
}

#[test]
fn success_of_a_retry_does_not_grow_the_window() {
    let mut harness = Harness::new(settings(), &[entry(1, 1, 0, 0)]);
    harness.warm_up(1, 7);
    let id = sends(&harness.submit(1, 0, 1))[0].0;
    // One rejection halves the window down to its floor. Ten successes of retried messages leave it there.
    harness.end_attempt(id, Outcome::Rejected);
    harness.now += 3 * SECOND;
    assert_eq!(sends(&harness.advance(0)).len(), 1);
    harness.end_attempt(id, Outcome::Success);
    for _ in 0..10 {
        let mut event = harness.message(1, 0);
        if let Event::Message { is_retry: marked_as_retry, .. } = &mut event {
            *marked_as_retry = true;
        }
        let id = sends(&harness.step(&[event]))[0].0;
        harness.end_attempt(id, Outcome::Success);
    }
    assert_eq!(sends(&harness.submit(1, 0, 5)).len(), 1);
}

#[test]
fn one_destination_holds_three_quarters_of_the_slots_at_most() {
    let mut harness = Harness::new(settings(), &[entry(1, 1, 0, 0)]);
    harness.warm_up(1, 40);
    assert_eq!(sends(&harness.submit(1, 0, 20)).len(), 6);
}

#[test]
fn overdue_calls_make_a_destination_faulty_before_they_time_out() {
    let mut harness = Harness::new(settings(), &[entry(1, 1, 0, 0), entry(2, 2, 0, 0)]);
    harness.warm_up(1, 40);
    harness.warm_up(2, 40);
    assert_eq!(sends(&harness.submit(1, 0, 4)).len(), 4);
    harness.advance(SECOND);
    assert_eq!(
        sends(&harness.submit(1, 0, 9)).len(),
        0,
        "a faulty destination gets at most half of the slots"
    );
    assert_eq!(sends(&harness.submit(2, 0, 9)).len(), 4, "a healthy destination gets the other slots");
}

#[test]
fn faulty_destinations_together_hold_half_the_slots() {
    let all: Vec<EndpointUpdate> = (1..=6).map(|number| entry(number, u64::from(number), 0, 0)).collect();
    let mut harness = Harness::new(settings(), &all);
    for destination in 1..=6 {
        harness.warm_up(destination, 16);
    }
    for destination in 1..=2 {
        assert_eq!(sends(&harness.submit(destination, 0, 2)).len(), 2);
    }
    harness.advance(SECOND);
    for destination in 1..=2 {
        assert_eq!(
            sends(&harness.submit(destination, 0, 2)).len(),
            0,
            "faulty destinations already hold four of eight slots"
        );
    }
    assert_eq!(sends(&harness.submit(3, 0, 4)).len(), 4);
}

#[test]
fn batch_counts_as_one_call_and_one_outcome() {
    let mut harness = Harness::new(settings(), &[entry(1, 1, 0, 2)]);
    let sent = sends(&harness.submit(1, 0, 12));
    assert_eq!(sent.len(), 5, "one call of five messages fits a window of one");
    let answers: Vec<Event> =
        sent.iter().map(|send| Event::AttemptEnded(harness.answer(send.0, Outcome::Success))).collect();
    assert_eq!(
        sends(&harness.step(&answers)).len(),
        5,
        "five successes in one call count once, so the window is still one call"
    );
}

#[test]
fn separate_routes_have_separate_windows() {
    let mut harness = Harness::new(settings(), &[entry(1, 1, 0, 1), entry(2, 1, 0, 1)]);
    assert_eq!(sends(&harness.submit(1, 0, 5)).len(), 2);
    let mut harness = Harness::new(settings(), &[entry(1, 1, 0, 0), entry(2, 1, 0, 0)]);
    assert_eq!(sends(&harness.submit(1, 0, 5)).len(), 1);
}

#[test]
fn invalid_responses_count_as_failure_only_in_a_row() {
    let mut harness = Harness::new(settings(), &[entry(1, 7, 0, 0)]);
    harness.warm_up(7, 8);
    let sent = sends(&harness.submit(7, 2, 2));
    assert_eq!(sent.len(), 2, "the window allows two calls");
    let actions = harness.end_attempt(sent[0].0, Outcome::InvalidResponse);
    assert_eq!(failed(&actions), [sent[0].0], "the message may have been executed");
    harness.end_attempt(sent[1].0, Outcome::InvalidResponse);
    let sent = sends(&harness.submit(7, 2, 2));
    assert_eq!(sent.len(), 2, "the window still allows two calls");
    harness.end_attempt(sent[0].0, Outcome::InvalidResponse);
    harness.end_attempt(sent[1].0, Outcome::InvalidResponse);
    assert!(
        sends(&harness.submit(7, 2, 2)).is_empty(),
        "the third and fourth invalid response in a row count as failures"
    );
}

// Guards against two failures when the only endpoint of a destination is replaced: the new endpoint is limited by the
// window of the old one, or the destination's Retry-After is lost with the old endpoint.
#[test]
fn endpoint_that_replaces_the_last_one_starts_with_a_new_window() {
    let removed = |id| EndpointUpdate { state: EndpointState::Removed, ..entry(id, 7, 0, 0) };
    let mut harness = Harness::new(settings(), &[entry(1, 7, 0, 0)]);
    harness.warm_up(7, 8);
    assert_eq!(sends(&harness.submit(7, 0, 3)).len(), 2, "the window allows two calls");
    harness.list(ListEventKind::Delta, &[removed(1)]);
    let sent = sends(&harness.list(ListEventKind::Delta, &[entry(2, 7, 0, 0)]));
    assert_eq!(
        sent.iter().map(|sent| sent.1).collect::<Vec<_>>(),
        [2],
        "one call to the new endpoint, although two are still in flight at the old one"
    );
    let mut answer = harness.answer(sent[0].0, Outcome::Rejected);
    answer.retry_after = SECOND;
    harness.step(&[Event::AttemptEnded(answer)]);
    harness.list(ListEventKind::Delta, &[removed(2)]);
    assert!(
        sends(&harness.list(ListEventKind::Delta, &[entry(3, 7, 0, 0)])).is_empty(),
        "the Retry-After still applies"
    );
    assert_eq!(sends(&harness.advance(SECOND)).len(), 1);
}

// Guards against memory that grows with the number of endpoints that have ever been listed.
#[test]
fn removed_endpoints_free_their_memory() {
    let mut harness = Harness::new(settings(), &[entry(1, 7, 0, 0), entry(2, 8, 0, 1)]);
    let mut sizes = Vec::new();
    for id in 1..200 {
        harness.now += SECOND;
        let sent = sends(&harness.submit(7, 0, 1));
        let removed = |id, destination, kind| EndpointUpdate {
            state: EndpointState::Removed,
            ..entry(id, destination, 0, kind)
        };
        let (old, new) = (2 * id - 1, 2 * id + 1);
        harness.list(ListEventKind::Delta, &[entry(new, 7, 0, 0), entry(new + 1, 8, 0, 1)]);
        harness.list(ListEventKind::Delta, &[removed(old, 7, 0), removed(old + 1, 8, 1)]);
        sent.iter().for_each(|sent| drop(harness.end_attempt(sent.0, Outcome::Success)));
        sizes.push(format!("{:?}", harness.controller).len());
    }
    // The text may grow by a few more digits in the numbers only.
    assert!(sizes[198] < sizes[50] * 11 / 10, "state of {} bytes, later {} bytes", sizes[50], sizes[198]);
}

#[test]
fn attempt_not_sent_leaves_the_window_unchanged() {
    let mut harness = Harness::new(settings(), &[entry(1, 1, 0, 0)]);
    harness.warm_up(1, 8);
    let sent = sends(&harness.submit(1, 0, 2));
    assert_eq!(sent.len(), 2);
    assert_eq!(
        sends(&harness.end_attempt(sent[0].0, Outcome::NotSent)).len(),
        1,
        "the window still allows two calls"
    );
}

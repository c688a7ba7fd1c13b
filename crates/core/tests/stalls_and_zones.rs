//! Tests of retries by zone and key window, of separate routes, and of connections that stall while their endpoint
//! serves.

mod common;

use common::*;
use orchidyoke_core::interface::*;

/// Returns the settings of `common::settings`, which document the classes and kinds, with cancelling allowed.
fn settings_with_cancelling() -> Settings {
    Settings { allow_cancel: true, ..settings() }
}

fn cancelled(actions: &[Action]) -> Vec<MessageId> {
    let cancelled =
        |action: &Action| if let Action::Cancel { id, attempt: 0 } = action { Some(*id) } else { None };
    actions.iter().filter_map(cancelled).collect()
}

/// Sends a message of `class` to a warm endpoint, then a second message, whose call succeeds while the first call is
/// still in flight. Returns the messages whose calls the controller then cancels, and the first message.
fn stall_call(harness: &mut Harness, class: usize) -> (Vec<MessageId>, MessageId) {
    let first = sends(&harness.submit(1, class, 1))[0].0;
    harness.advance(400 * MILLISECOND);
    let second = sends(&harness.submit(1, 0, 1));
    harness.now += 100 * MILLISECOND;
    harness.end_attempt(second[0].0, Outcome::Success);
    (cancelled(&harness.advance(150 * MILLISECOND)), first)
}

// Guards against a dead connection that occupies a slot until its time-out while its endpoint serves.
#[test]
fn stalled_call_is_cancelled_and_retried() {
    let mut harness = Harness::new(settings_with_cancelling(), &[entry(1, 1, 0, 0)]);
    harness.warm_up(1, 16);
    let (cancelled_ids, id) = stall_call(&mut harness, 0);
    assert_eq!(cancelled_ids, [id], "a call sent later has been answered");
    let again = sends(&harness.end_attempt(id, Outcome::Cancelled));
    assert_eq!(
        again.iter().map(|send| send.0).collect::<Vec<_>>(),
        [id],
        "the slot of the cancelled call and its place in the window are free"
    );
    harness.now += 100 * MILLISECOND;
    harness.end_attempt(id, Outcome::Success);
    assert!(
        harness.controller.faulty_routes().is_empty(),
        "a dead connection does not make the route faulty"
    );
}

// Guards against cancelling a call whose message must not be repeated, a second call of one message, or a call to an
// endpoint that answers nothing, at which the next call would hang as well.
#[test]
fn call_is_not_cancelled_where_a_retry_would_not_help() {
    let mut harness = Harness::new(settings_with_cancelling(), &[entry(1, 1, 0, 0)]);
    harness.warm_up(1, 16);
    assert!(stall_call(&mut harness, 2).0.is_empty(), "a non-idempotent message would be lost");
    let mut harness =
        Harness::new(Settings { allow_cancel: false, ..settings_with_cancelling() }, &[entry(1, 1, 0, 0)]);
    harness.warm_up(1, 16);
    assert!(stall_call(&mut harness, 0).0.is_empty(), "the settings do not allow cancelling");
    let mut harness = Harness::new(settings_with_cancelling(), &[entry(1, 1, 0, 0)]);
    harness.warm_up(1, 16);
    harness.submit(1, 0, 2);
    assert!(cancelled(&harness.advance(700 * MILLISECOND)).is_empty(), "no call sent later was answered");
    let mut harness = Harness::new(settings_with_cancelling(), &[entry(1, 1, 0, 0)]);
    harness.warm_up(1, 16);
    let (_, id) = stall_call(&mut harness, 0);
    harness.end_attempt(id, Outcome::Cancelled);
    harness.advance(400 * MILLISECOND);
    let second = sends(&harness.submit(1, 0, 1))[0].0;
    harness.now += 100 * MILLISECOND;
    harness.end_attempt(second, Outcome::Success);
    assert!(cancelled(&harness.advance(300 * MILLISECOND)).is_empty(), "a message is cancelled only once");
}

// Guards against slow messages that are executed twice in vain. If stalled calls turn out to be slow messages, no more
// calls are cancelled until a stalled call times out.
#[test]
fn slow_messages_stop_the_cancelling_of_stalled_calls() {
    let mut harness = Harness::new(settings_with_cancelling(), &[entry(1, 1, 0, 0)]);
    harness.warm_up(1, 16);
    let (cancelled_ids, id) = stall_call(&mut harness, 0);
    assert_eq!(cancelled_ids, [id]);
    harness.end_attempt(id, Outcome::Cancelled);
    harness.advance(900 * MILLISECOND);
    harness.end_attempt(id, Outcome::Success);
    let (cancelled_ids, slow_id) = stall_call(&mut harness, 0);
    assert!(cancelled_ids.is_empty(), "the retry was slow too");
    harness.now += 900 * MILLISECOND;
    let mut again = sends(&harness.end_attempt(slow_id, Outcome::Timeout));
    again.extend(sends(&harness.advance(5 * SECOND)));
    assert_eq!(again[0].0, slow_id);
    harness.end_attempt(slow_id, Outcome::Success);
    harness.warm_up(1, 16);
    let (cancelled_ids, id) = stall_call(&mut harness, 0);
    assert_eq!(cancelled_ids, [id], "a stalled call that was not cancelled timed out");
}

// Guards against a retry in another zone after the endpoint of the first attempt has moved there or has left the list.
// The zone in which a repeat is dropped is fixed when the first attempt is sent.
#[test]
fn retry_keeps_to_the_zone_of_the_first_attempt() {
    for moved in [Some(1), None] {
        let mut harness = Harness::new(settings_with_cancelling(), &[entry(1, 1, 0, 0)]);
        let (id, ..) = sends(&harness.submit(1, 1, 1))[0];
        let mut places = vec![entry(2, 1, 1, 0), entry(3, 1, 0, 0)];
        places.extend(moved.map(|zone| entry(1, 1, zone, 0)));
        harness.list(ListEventKind::Snapshot, &places);
        let mut sent_again = sends(&harness.end_attempt(id, Outcome::Error));
        for _ in 0..40 {
            sent_again.extend(sends(&harness.advance(100 * MILLISECOND)));
        }
        assert_eq!(sent_again.iter().map(|send| send.1).collect::<Vec<_>>(), [3], "moved: {moved:?}");
    }
}

// Guards against two zones that the settings do not name being treated as one zone.
#[test]
fn unknown_zones_are_not_one_zone() {
    let mut harness = Harness::new(
        settings_with_cancelling(),
        &[entry(1, 1, UNKNOWN_ZONE, 0), entry(2, 1, UNKNOWN_ZONE, 0)],
    );
    let (id, first, _) = sends(&harness.submit(1, 1, 1))[0];
    let mut sent_again = sends(&harness.end_attempt(id, Outcome::Error));
    for _ in 0..60 {
        sent_again.extend(sends(&harness.advance(100 * MILLISECOND)));
    }
    assert!(
        !sent_again.is_empty() && sent_again.iter().all(|send| send.1 == first),
        "only to the first endpoint: {sent_again:?}"
    );
}

// Guards against a message that waits longer than the window of its idempotency key. No endpoint drops its repeat any
// more, so it must fail at once and must be neither sent nor rejected.
#[test]
fn message_fails_at_once_when_its_key_window_ends() {
    let mut harness = Harness::new(settings_with_cancelling(), &[entry(1, 1, 0, 0), entry(2, 1, 1, 0)]);
    let (id, endpoint, _) = sends(&harness.submit(1, 1, 1))[0];
    let zone = entry(endpoint, 1, endpoint as usize - 1, 0);
    harness.list(ListEventKind::Delta, &[EndpointUpdate { state: EndpointState::Draining, ..zone }]);
    let sent = harness.now;
    harness.now += 100 * MILLISECOND;
    assert!(
        sends(&harness.end_attempt(id, Outcome::Error)).is_empty(),
        "the other zone does not drop the repeat"
    );
    loop {
        let actions = harness.advance(50 * MILLISECOND);
        assert!(sends(&actions).is_empty() && rejected(&actions).is_empty());
        if failed(&actions) == [id] {
            break;
        }
        assert!(harness.now < sent + 10 * SECOND, "the message fails by the end of its key window");
    }
    assert!(
        harness.now >= sent + 9 * SECOND + 900 * MILLISECOND,
        "the message does not fail before its key window ends"
    );
}

// Guards against a fault or Retry-After of one route, known from an earlier process, that affects the other routes.
#[test]
fn state_of_a_separate_route_does_not_affect_the_others() {
    let mut harness = Harness::new(settings_with_cancelling(), &[entry(1, 1, 0, 1), entry(2, 1, 0, 1)]);
    let route_state = |is_cold, wait| Event::RouteState {
        destination: 1,
        endpoint: Some(1),
        begins_cold: is_cold,
        retry_after: wait,
    };
    harness.step(&[route_state(true, 0)]);
    assert_eq!(
        harness.controller.faulty_routes().into_iter().collect::<Vec<_>>(),
        [RouteRef { destination: 1, endpoint: Some(1) }]
    );
    let mut harness = Harness::new(settings_with_cancelling(), &[entry(1, 1, 0, 1), entry(2, 1, 0, 1)]);
    harness.step(&[route_state(false, SECOND)]);
    assert_eq!(sends(&harness.submit(1, 0, 1))[0].1, 2, "the other route gets the call at once");
    assert!(sends(&harness.submit(1, 0, 1)).is_empty());
    assert_eq!(
        sends(&harness.advance(SECOND + 100 * MILLISECOND))[0].1,
        1,
        "the route gets calls after its Retry-After"
    );
    harness.step(&[Event::RouteState {
        destination: 1,
        endpoint: Some(9),
        begins_cold: true,
        retry_after: 0,
    }]);
    assert!(
        harness.controller.faulty_routes().is_empty(),
        "the state of an unlisted endpoint does not affect the others"
    );
}

// Guards against an invalid or extreme reported limit that overflows a time, blocks a route for good, or leaves a
// message without a final answer. Calls continue as soon as a usable limit is reported.
#[test]
fn invalid_or_extreme_reported_limits_are_bounded() {
    for limit in [0.0, 1e-300, 1e-9, 1e300, f64::MAX, f64::NAN, f64::INFINITY, -5.0] {
        let settings =
            Settings { fleet_size: 3, capacity_hints: CapacityHints::None, ..settings_with_cancelling() };
        let mut harness = Harness::new(settings, &[entry(1, 1, 0, 1)]);
        let report = |harness: &mut Harness, id, limit| {
            let answer = AttemptResult {
                reported_limit: Some(limit),
                reported_remaining: Some(limit),
                ..harness.answer(id, Outcome::Success)
            };
            harness.step(&[Event::AttemptEnded(answer)])
        };
        let first = sends(&harness.submit(1, 0, 1))[0].0;
        report(&mut harness, first, limit);
        let mut in_flight = sends(&harness.submit(1, 0, 3));
        let (mut sent, mut ended) = (in_flight.len(), 0);
        for _ in 0..400 {
            let mut actions = Vec::new();
            for (id, ..) in in_flight {
                actions.extend(report(&mut harness, id, 30.0));
            }
            actions.extend(harness.advance(50 * MILLISECOND));
            ended += rejected(&actions).len() + failed(&actions).len();
            in_flight = sends(&actions);
            sent += in_flight.len();
        }
        assert!(sent + ended >= 3, "{limit}: {sent} sent and {ended} ended");
        let next = harness.submit(1, 0, 1);
        assert!(!sends(&next).is_empty(), "{limit}: no call after a usable limit was reported");
    }
}

// Guards against a slow route that gets the last slot because of its lower cost while many messages wait for a slot.
#[test]
fn last_slot_goes_to_the_faster_route_while_messages_wait() {
    for (slots, waiting, expected) in [(8, 0, 1), (2, 20, 2)] {
        let settings =
            Settings { max_calls: slots, zone_costs: vec![0.01, 0.04], ..settings_with_cancelling() };
        let slow_and_quick = [entry(1, 1, 0, 1), entry(2, 1, 1, 1)];
        let mut harness = Harness::new(settings, &[entry(3, 2, 0, 0), entry(1, 1, 0, 1), entry(2, 1, 1, 1)]);
        // Both latencies are known: 400 ms for the route with the lower cost, 50 ms for the other.
        for place in 0..2 {
            let others = EndpointUpdate { state: EndpointState::Draining, ..slow_and_quick[1 - place] };
            harness.list(ListEventKind::Delta, &[slow_and_quick[place], others]);
            for _ in 0..8 {
                let id = sends(&harness.submit(1, 0, 1))[0].0;
                let took = [400, 50][place] * MILLISECOND;
                harness.now += took;
                let answer = AttemptResult { latency: took, ..harness.answer(id, Outcome::Success) };
                harness.step(&[Event::AttemptEnded(answer)]);
            }
        }
        harness.list(ListEventKind::Delta, &slow_and_quick);
        // One slot is occupied. The waiting messages are for a destination whose window is full.
        assert_eq!(sends(&harness.submit(2, 0, 1 + waiting)).len(), 1);
        let sent = sends(&harness.submit(1, 0, 1));
        assert_eq!(
            sent.iter().map(|send| send.1).collect::<Vec<_>>(),
            [expected],
            "{slots} slots, {waiting} waiting messages"
        );
    }
}

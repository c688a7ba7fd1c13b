//! Tests of health checks in combination with the outcomes of calls.

mod common;

use common::*;
use orchidyoke_core::interface::*;

fn listed(endpoint: EndpointId, kind: usize, status: HealthStatus) -> EndpointUpdate {
    EndpointUpdate { health: status, ..entry(endpoint, 1, 0, kind) }
}

/// Submits a message every 50 ms for the time `span` and ends each attempt with `outcome`. Returns the number of calls,
/// and the number of those that went to `endpoint`.
fn count_calls(
    harness: &mut Harness,
    span: Micros,
    outcome: Outcome,
    endpoint: EndpointId,
) -> (usize, usize) {
    let (mut total, mut to_endpoint, mut calls) = (0, 0, Vec::new());
    let until = harness.now + span;
    while harness.now < until || !calls.is_empty() {
        if harness.now < until {
            calls.extend(sends(&harness.submit(1, 0, 1)));
        }
        harness.now += 50 * MILLISECOND;
        for (id, to, _) in std::mem::take(&mut calls) {
            (total, to_endpoint) = (total + 1, to_endpoint + usize::from(to == endpoint));
            calls.extend(sends(&harness.end_attempt(id, outcome)));
        }
        calls.extend(sends(&harness.advance(0)));
    }
    (total, to_endpoint)
}

// Guards against a call that was in flight when the health check became critical: its success started the ramp, which
// then ended while the destination was still down.
#[test]
fn success_sent_before_a_critical_health_check_does_not_start_recovery() {
    for sent_before in [true, false] {
        let mut harness = Harness::new(settings(), &[listed(1, 0, HealthStatus::Passing)]);
        count_calls(&mut harness, 5 * SECOND, Outcome::Success, 1);
        let mut calls = Vec::new();
        if sent_before {
            calls = sends(&harness.submit(1, 0, 1));
        }
        harness.now += 10 * MILLISECOND;
        harness.list(ListEventKind::Delta, &[listed(1, 0, HealthStatus::Critical)]);
        harness.now += 10 * MILLISECOND;
        if !sent_before {
            while calls.is_empty() {
                calls = sends(&harness.submit(1, 0, 1));
                harness.now += 50 * MILLISECOND;
            }
        }
        harness.end_attempt(calls[0].0, Outcome::Success);
        // A ramp takes 12 s. If the success started one, the ramp ends within these 13 s.
        harness.advance(13 * SECOND);
        assert_eq!(
            harness.controller.faulty_routes().is_empty(),
            !sent_before,
            "call sent before the health check: {sent_before}"
        );
    }
}

#[test]
fn critical_endpoint_gets_no_call_while_another_passes() {
    for kind in [0, 1] {
        let mut harness = Harness::new(
            settings(),
            &[listed(1, kind, HealthStatus::Passing), listed(2, kind, HealthStatus::Passing)],
        );
        harness.list(ListEventKind::Delta, &[listed(2, kind, HealthStatus::Critical)]);
        let (total, to_endpoint) = count_calls(&mut harness, 5 * SECOND, Outcome::Success, 2);
        assert!(
            total >= 90 && to_endpoint == 0,
            "kind {kind}: {total} calls, {to_endpoint} to the critical endpoint"
        );
        assert_eq!(harness.controller.faulty_routes().is_empty(), kind == 0, "a separate route is faulty");
    }
}

#[test]
fn endpoint_with_warning_is_chosen_last() {
    let mut harness =
        Harness::new(settings(), &[listed(1, 0, HealthStatus::Warning), listed(2, 0, HealthStatus::Passing)]);
    assert_eq!(count_calls(&mut harness, 2 * SECOND, Outcome::Success, 1).1, 0);
    harness.list(
        ListEventKind::Delta,
        &[EndpointUpdate { state: EndpointState::Draining, ..listed(2, 0, HealthStatus::Passing) }],
    );
    assert!(count_calls(&mut harness, 2 * SECOND, Outcome::Success, 1).1 >= 30);
    assert!(harness.controller.faulty_routes().is_empty());
}

// Guards against a recovering destination that gets all queued messages at once as soon as its health checks pass
// again, because no failed call, only the health checks, had shown that the destination was down.
#[test]
fn passing_health_check_alone_does_not_end_ejection() {
    for state in [EndpointState::Active, EndpointState::Draining, EndpointState::Removed] {
        let mut harness = Harness::new(settings(), &[listed(1, 0, HealthStatus::Passing)]);
        count_calls(&mut harness, 5 * SECOND, Outcome::Success, 1);
        harness
            .list(ListEventKind::Delta, &[EndpointUpdate { state, ..listed(1, 0, HealthStatus::Critical) }]);
        harness.advance(5 * SECOND);
        // Trial calls in the meantime do not belong to this test. They have ended before the endpoint returns.
        for (id, ..) in sends(&harness.submit(1, 0, 30)) {
            harness.end_attempt(id, Outcome::Timeout);
        }
        let listed_again =
            listed(if state == EndpointState::Removed { 2 } else { 1 }, 0, HealthStatus::Passing);
        let (mut sent, mut calls) = (0, sends(&harness.list(ListEventKind::Delta, &[listed_again])));
        assert!(!harness.controller.faulty_routes().is_empty(), "{state:?}: the route is still faulty");
        for _ in 0..20 {
            calls.extend(sends(&harness.advance(100 * MILLISECOND)));
            sent += calls.len();
            for (id, ..) in std::mem::take(&mut calls) {
                calls.extend(sends(&harness.end_attempt(id, Outcome::Success)));
            }
        }
        // The budget is twice a fifth of 20 calls a second, a little more with the ramp, for 2 s.
        assert!((1..=20).contains(&sent), "{state:?}: {sent} calls in 2 s");
    }
}

#[test]
fn call_outcomes_overrule_health_checks() {
    let mut harness = Harness::new(settings(), &[listed(1, 0, HealthStatus::Critical)]);
    assert!(!harness.controller.faulty_routes().is_empty());
    count_calls(&mut harness, 14 * SECOND, Outcome::Success, 1);
    assert!(harness.controller.faulty_routes().is_empty(), "successful calls end the fault");
    harness.list(ListEventKind::Delta, &[listed(1, 0, HealthStatus::Critical)]);
    assert!(harness.controller.faulty_routes().is_empty(), "an unchanged health check changes nothing");
    harness.list(ListEventKind::Delta, &[listed(1, 0, HealthStatus::Passing)]);
    count_calls(&mut harness, 5 * SECOND, Outcome::Reset, 1);
    harness.list(ListEventKind::Delta, &[listed(1, 0, HealthStatus::Passing)]);
    assert!(
        !harness.controller.faulty_routes().is_empty(),
        "passing health checks do not hide failing calls"
    );
}

// Guards against a budget that is exceeded because it is larger than the number of recent calls that are kept to check
// it: a destination with a capacity of 400 calls a second got all queued messages once its budget reached 64 calls in
// 2 s.
#[test]
fn calls_stay_within_a_large_slow_start_budget() {
    let custom_settings = Settings { max_calls: 400, max_open_messages: 4000, ..settings() };
    let large = |status| EndpointUpdate { capacity_hint: 400.0, ..listed(1, 0, status) };
    let mut harness = Harness::new(custom_settings, &[large(HealthStatus::Passing)]);
    harness.list(ListEventKind::Delta, &[large(HealthStatus::Critical)]);
    let mut calls = sends(&harness.list(ListEventKind::Delta, &[large(HealthStatus::Passing)]));
    calls.extend(sends(&harness.submit(1, 0, 3000)));
    let mut call_times = Vec::new();
    for _ in 0..400 {
        call_times.extend(calls.iter().map(|_| harness.now));
        harness.now += 20 * MILLISECOND;
        for (id, ..) in std::mem::take(&mut calls) {
            calls.extend(sends(&harness.end_attempt(id, Outcome::Success)));
        }
        calls.extend(sends(&harness.advance(0)));
    }
    let recovered_at = call_times[0];
    for (index, at) in call_times.iter().enumerate() {
        let calls_in_span = call_times[index..].iter().take_while(|other| **other - at < 2 * SECOND).count();
        let ramp_part = (at + 2 * SECOND - recovered_at) as f64 / (12 * SECOND) as f64;
        let limit = 2.0 * 2.0 * 400.0 * (0.2 + 0.8 * ramp_part.min(1.0));
        assert!(
            calls_in_span as f64 <= limit,
            "{calls_in_span} calls in 2 s at {} s, more than {limit}",
            (at - recovered_at) / SECOND
        );
    }
    assert!(call_times.len() > 1000, "most of the budget is unused: {} calls", call_times.len());
}

//! Tests of outages and rejections: trial calls, the ramp after a recovery, and budgets that a fleet keeps without
//! coordination.

mod common;

use common::*;
use orchidyoke_core::Controller;
use orchidyoke_core::interface::*;

#[test]
fn ejected_destination_gets_trial_calls_then_a_ramp_within_the_budget() {
    let mut harness = Harness::new(settings(), &[EndpointUpdate { capacity_hint: 7.0, ..entry(1, 1, 0, 0) }]);
    harness.warm_up(1, 40);
    let mut arrivals = Vec::new();
    let mut has_recovered = false;
    let mut in_flight: Vec<MessageId> = Vec::new();
    let start = harness.now;
    while harness.now < start + 30 * SECOND {
        has_recovered |= harness.now > start + 10 * SECOND;
        let mut events: Vec<Event> = in_flight
            .drain(..)
            .map(|id| {
                Event::AttemptEnded(
                    harness.answer(id, if has_recovered { Outcome::Success } else { Outcome::Timeout }),
                )
            })
            .collect();
        events.push(harness.message(1, 0));
        harness.now += 50 * MILLISECOND;
        let sent = sends(&harness.step(&events));
        arrivals.extend(sent.iter().map(|_| harness.now));
        in_flight.extend(sent.iter().map(|send| send.0));
    }
    // The capacity is 7 calls a second and starts at a fifth of that. More than twice the present capacity overloads
    // the destination, so no span of two seconds may have more calls than that.
    for at in (10..20).map(|seconds| start + seconds * SECOND) {
        let count = arrivals.iter().filter(|arrival| (at..at + 2 * SECOND).contains(*arrival)).count();
        let part = 0.2 + 0.8 * ((at - start - 9 * SECOND) as f64 / (12 * SECOND) as f64).min(1.0);
        assert!(count as f64 <= 2.0 * 7.0 * part * 2.0, "{count} calls in the span from {at}");
    }
    let during_outage = arrivals
        .iter()
        .filter(|arrival| (start + 4 * SECOND..start + 10 * SECOND).contains(*arrival))
        .count();
    assert!((1..=20).contains(&during_outage), "a few trial calls during the outage: {during_outage}");
    let after_ramp = arrivals
        .iter()
        .filter(|arrival| (start + 24 * SECOND..start + 28 * SECOND).contains(*arrival))
        .count();
    assert!(after_ramp >= 60, "full load after the ramp: {after_ramp} calls");
}

#[test]
fn partial_failure_does_not_eject() {
    // Guards against the ejection of a destination that fails often but serves some calls in between.
    let mut harness = Harness::new(settings(), &[EndpointUpdate { capacity_hint: 1.0, ..entry(1, 1, 0, 0) }]);
    harness.warm_up(1, 3);
    for round in 0..30 {
        let sent = sends(&harness.submit(1, 0, 1));
        let Some((id, ..)) = sent.first().copied() else { panic!("round {round}: nothing is sent") };
        harness.now += 300 * MILLISECOND;
        harness.step(&[Event::Withdrawn { id }]);
        harness.end_attempt(id, if round % 4 == 3 { Outcome::Success } else { Outcome::Timeout });
    }
}

#[test]
fn rejections_at_the_window_floor_back_off_over_a_doubling_span() {
    // Guards against forwarders that call again at once, or all at the same time, after rejections by a limit. Their
    // rejected calls would use up the limit.
    let mut gaps: [Vec<Micros>; 2] = [Vec::new(), Vec::new()];
    for seed in 0..100 {
        let mut harness = Harness::new(Settings { capacity_hints: CapacityHints::None, ..settings() }, &[]);
        harness.controller =
            Controller::new(Settings { capacity_hints: CapacityHints::None, ..settings() }, seed);
        harness.list(ListEventKind::Snapshot, &[entry(1, 1, 0, 0)]);
        for _ in 0..5 {
            harness.warm_up(1, 1);
            harness.now += 1900 * MILLISECOND;
        }
        let id = sends(&harness.submit(1, 0, 1))[0].0;
        for gaps in &mut gaps {
            let rejected_at = harness.now;
            let answer =
                AttemptResult { retry_after: 10 * MILLISECOND, ..harness.answer(id, Outcome::Rejected) };
            assert!(
                sends(&harness.step(&[Event::AttemptEnded(answer)])).is_empty(),
                "no call directly after a rejection"
            );
            while sends(&harness.advance(20 * MILLISECOND)).is_empty() {}
            gaps.push(harness.now - rejected_at);
        }
        assert_eq!(sends(&harness.submit(1, 0, 1)).len(), 0);
        assert_eq!(sends(&harness.end_attempt(id, Outcome::Success)).len(), 1, "a success ends the backoff");
    }
    let mean = |gaps: &[Micros]| gaps.iter().sum::<Micros>() / gaps.len() as Micros;
    // The route served 6 calls in 10 s. 0.64 of that is twice the rate that a cold destination of this size accepts:
    // one call in 2.6 s.
    assert!(
        (SECOND..1800 * MILLISECOND).contains(&mean(&gaps[0])),
        "mean pause after the first rejection: {}",
        mean(&gaps[0])
    );
    assert!(
        (15..30).contains(&(mean(&gaps[1]) * 10 / mean(&gaps[0]))),
        "the mean pause doubles after the second rejection"
    );
    let spread = |gaps: &[Micros]| (*gaps.iter().min().unwrap(), *gaps.iter().max().unwrap());
    let (soonest, latest) = spread(&gaps[0]);
    assert!(
        soonest < 300 * MILLISECOND && latest > 2 * SECOND && latest < 3 * SECOND,
        "pauses are not spread out: {soonest} to {latest}"
    );
}

/// Simulates forwarders with one destination that serves, rejects all calls from 30 s to 45 s, and serves again.
/// Returns the most calls in any span of two seconds after the recovery, and the number of calls served by 75 s.
fn calls_after_recovery(forwarders: u32, seed: u64) -> (usize, usize) {
    let custom_settings = Settings {
        fleet_size: forwarders,
        capacity_hints: CapacityHints::None,
        max_calls: 4,
        max_open_messages: 28,
        ..settings()
    };
    let (start, mut rng) = (100 * SECOND, fastrand::Rng::with_seed(seed));
    let mut fleet: Vec<Harness> = Vec::new();
    for number in 0..forwarders {
        let mut harness = Harness::new(custom_settings.clone(), &[]);
        harness.controller = Controller::new(custom_settings.clone(), seed * 1000 + u64::from(number));
        harness.now = start;
        harness.list(ListEventKind::Snapshot, &[entry(1, 1, 0, 0)]);
        fleet.push(harness);
    }
    let mut in_flight: Vec<Vec<(Micros, MessageId, Outcome)>> = vec![Vec::new(); fleet.len()];
    let (mut calls, mut served) = (Vec::new(), 0);
    for tick in 1..1500 {
        let at = tick * 50 * MILLISECOND;
        for (harness, in_flight) in fleet.iter_mut().zip(&mut in_flight) {
            harness.now = start + at;
            let mut events = vec![Event::Timer { token: u64::MAX }];
            // All forwarders together get two messages a second. At 41 s every second forwarder on average gets one
            // more.
            let extra_message = at == 41 * SECOND && rng.bool();
            if extra_message || rng.f64() < 2.0 * 0.05 / f64::from(forwarders) {
                events.push(harness.message(1, 0));
            }
            let ended = in_flight
                .iter()
                .filter(|call| call.0 <= at)
                .map(|call| Event::AttemptEnded(harness.answer(call.1, call.2)));
            events.extend(ended);
            served += in_flight.iter().filter(|call| call.0 <= at && call.2 == Outcome::Success).count();
            in_flight.retain(|call| call.0 > at);
            for (id, ..) in sends(&harness.step(&events)) {
                let rejected = (30 * SECOND..45 * SECOND).contains(&at);
                in_flight.push((
                    at + 150 * MILLISECOND,
                    id,
                    if rejected { Outcome::Rejected } else { Outcome::Success },
                ));
                calls.push(at);
            }
        }
    }
    let in_span = |from: Micros| calls.iter().filter(|at| (from..from + 2 * SECOND).contains(*at)).count();
    let max_calls_in_span =
        (0..40).map(|step| in_span(45 * SECOND + step * 50 * MILLISECOND)).max().unwrap_or(0);
    (max_calls_in_span, served)
}

#[test]
fn fleet_rejected_during_an_outage_does_not_overload_the_recovering_destination() {
    // Guards against forwarders that have one or two rejections each, too few to detect the outage, and that all return
    // after the same fixed pause. A destination with a capacity of 28 calls a second that recovers at a fifth of it can
    // serve 6.7 calls a second on average over the first spans. The test allows twice that for two seconds, plus three
    // standard deviations of the random draws.
    let budget = 2.0 * 6.7 * 2.0;
    for seed in 1..=4 {
        let (max_calls_in_span, served) = calls_after_recovery(280, seed);
        assert!(
            max_calls_in_span as f64 <= budget + 3.0 * f64::sqrt(budget),
            "{max_calls_in_span} calls in two seconds"
        );
        assert!(served >= 150, "too few calls served after the recovery: {served}");
    }
}

#[test]
fn retry_after_replaces_backoff_above_the_window_floor() {
    // Guards against longer pauses than necessary in small fleets, whose windows already reduce the load.
    let mut harness = Harness::new(settings(), &[entry(1, 1, 0, 0)]);
    harness.warm_up(1, 9);
    let id = sends(&harness.submit(1, 0, 1))[0].0;
    let answer = AttemptResult { retry_after: 400 * MILLISECOND, ..harness.answer(id, Outcome::Rejected) };
    assert!(sends(&harness.step(&[Event::AttemptEnded(answer)])).is_empty());
    assert_eq!(sends(&harness.advance(400 * MILLISECOND)).len(), 1);
}

#[test]
fn trial_calls_of_a_fleet_are_spread_by_chance() {
    // Guards against one call (a budget rounded up) from each of hundreds of forwarders that saw a call fail.
    let custom_settings = Settings { fleet_size: 200, ..settings() };
    let mut calls = 0;
    for seed in 0..100 {
        let fast = EndpointUpdate { capacity_hint: 200.0, ..entry(1, 1, 0, 0) };
        let mut harness = Harness::new(custom_settings.clone(), &[fast]);
        harness.controller = Controller::new(custom_settings.clone(), seed);
        harness.list(ListEventKind::Snapshot, &[fast]);
        let mut sent = sends(&harness.submit(1, 0, 1));
        for _ in 0..3 {
            for _ in 0..20 {
                // The share of this forwarder is one call a second.
                sent.extend(sends(&harness.advance(if sent.is_empty() { 50 * MILLISECOND } else { 0 })));
            }
            assert_eq!(sent.len(), 1);
            harness.now += 800 * MILLISECOND;
            sent = sends(&harness.end_attempt(1, Outcome::Timeout));
        }
        calls += sent.len();
        for _ in 0..40 {
            calls += sends(&harness.advance(50 * MILLISECOND)).len();
        }
    }
    // The present capacity is a fifth of 200 calls a second, and more than twice the present capacity overloads the
    // destination. Twice the present capacity is 160 calls in the 2 s in which calls were counted.
    assert!((1..=160).contains(&calls), "{calls} calls in two seconds");
}

#[test]
fn two_failed_connections_do_not_eject() {
    // Guards against a ramp that starts because a connection table was full for a moment.
    let custom_settings = Settings { connect_timeout: SECOND, ..settings() };
    let mut harness = Harness::new(
        custom_settings,
        &[EndpointUpdate { capacity_hint: 1.0, ..entry(1, 1, 0, 0) }, entry(2, 2, 0, 0)],
    );
    let id = sends(&harness.submit(2, 0, 1))[0].0;
    assert!(
        !harness.end_attempt(id, Outcome::Success).contains(&Action::CloseIdle { endpoint: 2 }),
        "the connection is kept"
    );
    let mut id = sends(&harness.submit(1, 0, 1))[0].0;
    for _ in 0..2 {
        harness.end_attempt(id, Outcome::ConnectFailed);
        let failed_at = harness.now;
        id = loop {
            let mut next = sends(&harness.submit(1, 0, 1));
            next.extend(sends(&harness.advance(50 * MILLISECOND)));
            if let Some(sent) = next.first() {
                break sent.0;
            }
            assert!(harness.now - failed_at < 32 * SECOND, "the route is not ejected and opens again");
        };
    }
    let id = sends(&harness.submit(2, 0, 1))[0].0;
    let after = harness.end_attempt(id, Outcome::Success);
    assert!(!after.contains(&Action::CloseIdle { endpoint: 2 }), "connections to another endpoint are kept");
}

#[test]
fn brief_rejections_neither_eject_nor_start_a_ramp() {
    // Guards against a ramp of twelve seconds that starts after one or two seconds over the limit, or after a few
    // seconds more if this forwarder's calls are rare anyway.
    let served_after = |outcome: Outcome, success_interval: Micros, failure_interval: Micros| {
        let mut harness =
            Harness::new(settings(), &[EndpointUpdate { capacity_hint: 3.0, ..entry(1, 1, 0, 0) }]);
        for _ in 0..30 {
            harness.warm_up(1, 1);
            harness.now += success_interval;
        }
        for _ in 0..3 {
            let id = sends(&harness.submit(1, 0, 1))[0].0;
            harness.end_attempt(id, outcome);
            harness.step(&[Event::Withdrawn { id }]);
            harness.now += failure_interval;
        }
        let mut served = 0;
        let mut sent = sends(&harness.submit(1, 0, 60));
        let end = harness.now + 4 * SECOND;
        while harness.now < end {
            harness.now += 50 * MILLISECOND;
            let mut next = Vec::new();
            for (id, ..) in sent.drain(..) {
                served += 1;
                next.extend(sends(&harness.end_attempt(id, Outcome::Success)));
            }
            next.extend(sends(&harness.advance(0)));
            sent = next;
        }
        served
    };
    for (success_interval, failure_interval) in
        [(0, 800 * MILLISECOND), (1400 * MILLISECOND, 1200 * MILLISECOND)]
    {
        let (rejected, broken) = (
            served_after(Outcome::Rejected, success_interval, failure_interval),
            served_after(Outcome::Reset, success_interval, failure_interval),
        );
        assert!(rejected > 2 * broken, "{rejected} served after rejections, {broken} after resets");
    }
}

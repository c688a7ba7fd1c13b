//! Tests of [`orchidyoke_consul::query_schedule`].

use orchidyoke_consul::query_schedule::{NextQuery, QuerySchedule};
use orchidyoke_core::interface::Micros;
use proptest::prelude::*;
use std::collections::VecDeque;

/// A millisecond, in microseconds.
const MS: Micros = 1_000;
/// Shortest time between two reads of one service, in microseconds.
const ROUND_MIN_US: Micros = 1_000_000;

#[test]
fn services_block_while_connections_suffice_and_take_turns_otherwise() {
    let mut few = QuerySchedule::new(2, 2);
    assert_eq!(
        (few.next(0), few.next(0), few.next(0)),
        (NextQuery::Blocking(0), NextQuery::Blocking(1), NextQuery::NotBefore(Micros::MAX))
    );
    few.answered(5, 1, 5, false);
    assert_eq!(few.next(5), NextQuery::Blocking(1));
    let mut many = QuerySchedule::new(3, 2);
    assert_eq!((many.next(0), many.next(0)), (NextQuery::Immediate(0), NextQuery::Immediate(1)));
    many.answered(MS, 0, MS, false);
    assert_eq!(
        (many.next(MS), many.next(MS)),
        (NextQuery::Immediate(2), NextQuery::NotBefore(MS + ROUND_MIN_US))
    );
}

#[test]
fn hinted_service_is_read_next_even_if_in_flight() {
    let mut schedule = QuerySchedule::new(4, 1);
    assert_eq!(schedule.next(0), NextQuery::Immediate(0));
    schedule.hint(3);
    schedule.hint(0);
    assert_eq!(schedule.next(0), NextQuery::Immediate(3));
    schedule.answered(MS, 0, MS, false);
    assert_eq!(schedule.next(MS), NextQuery::Immediate(1));
    schedule.hint(2);
    assert_eq!(
        (schedule.next(MS), schedule.next(MS)),
        (NextQuery::Immediate(2), NextQuery::Immediate(0)),
        "service 0 is read again, because it was in flight when it was hinted"
    );
}

#[test]
fn expedited_round_is_shorter_and_has_a_minimum() {
    let mut schedule = QuerySchedule::new(2000, 4);
    assert_eq!(schedule.round_us(), 4 * ROUND_MIN_US);
    while let NextQuery::Immediate(service) = schedule.next(0) {
        schedule.answered(0, service, 0, false);
    }
    assert_eq!(schedule.next(0), NextQuery::NotBefore(4 * ROUND_MIN_US));
    for _ in 0..100 {
        schedule.expedite();
        assert_eq!(schedule.next(0), NextQuery::NotBefore(600_000));
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 60, rng_seed: prop::test_runner::RngSeed::Fixed(11), ..Default::default() })]

    // Guards against a service that is starved or read twice at once. Each service is read within two rounds, for any
    // number of services and even if hints name the same few services all the time.
    #[test]
    fn every_service_is_read_within_two_rounds(services in 2usize..300, connections in 1usize..8, hinted in 0usize..3, read_ms in 1i64..4) {
        let mut schedule = QuerySchedule::new(services, connections);
        let mut last = vec![0; services];
        let mut in_flight = VecDeque::new();
        let mut now = 0;
        let end = schedule.round_us() * 6;
        while now < end {
            now += read_ms * MS;
            (0..hinted.min(services)).for_each(|service| schedule.hint(service));
            while in_flight.len() < connections {
                let (NextQuery::Blocking(service) | NextQuery::Immediate(service)) = schedule.next(now) else { break };
                prop_assert!(!in_flight.contains(&service), "service {service} is read twice at once");
                last[service] = now;
                in_flight.push_back(service);
            }
            if let Some(service) = in_flight.pop_front() {
                schedule.answered(now, service, now, false);
            }
            let bound = 2 * schedule.round_us() + (services as Micros + 1) * 2 * read_ms * MS;
            prop_assert!(last.iter().all(|at| now - at <= bound), "a service is starved");
        }
    }
}

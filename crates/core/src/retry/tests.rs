use super::*;

const SECOND: Micros = 1_000_000;
const KEYED: [DeduplicationScope; 3] =
    [DeduplicationScope::All, DeduplicationScope::Zone, DeduplicationScope::Endpoint];

fn keyed(scope: DeduplicationScope) -> Idempotency {
    Idempotency::IdempotencyKey { scope, window: 10 * SECOND }
}

fn delivery(zone: usize) -> Option<PossibleDelivery> {
    Some(PossibleDelivery { sent_at: SECOND, endpoint: 7, zone })
}

#[test]
fn outcomes_without_execution_leave_no_possible_delivery() {
    for outcome in [Outcome::Rejected, Outcome::ConnectFailed, Outcome::NotSent] {
        assert!(!may_have_been_executed(outcome), "{outcome:?}");
    }
    for outcome in
        [Outcome::Error, Outcome::Timeout, Outcome::Reset, Outcome::InvalidResponse, Outcome::Cancelled]
    {
        assert!(may_have_been_executed(outcome), "{outcome:?}");
    }
}

#[test]
fn answered_error_is_not_running_any_more() {
    assert!(!may_still_run(Outcome::Error));
    assert!(may_still_run(Outcome::Timeout));
    assert!(!may_still_run(Outcome::Rejected));
}

#[test]
fn message_that_cannot_have_run_may_be_sent_at_any_time() {
    assert_eq!(resendable_until(None, Idempotency::NonIdempotent), Micros::MAX);
    assert_eq!(resendable_until(delivery(0), Idempotency::Idempotent), Micros::MAX);
}

#[test]
fn possible_delivery_ends_resending_with_the_key_window() {
    assert_eq!(resendable_until(delivery(0), keyed(KEYED[0])), 11 * SECOND - 105_000);
    assert_eq!(resendable_until(delivery(0), Idempotency::NonIdempotent), Micros::MIN);
}

// Guards against a repeat that reaches its endpoint after the deduplication window, because the forwarder was paused for
// 150 ms between its look at the clock and the write. The protocol extends the window by 50 ms on sockets.
#[test]
fn repeat_stays_in_its_window_if_the_forwarder_is_paused_before_the_write() {
    const LONGEST_PAUSE: Micros = 150_000;
    const SOCKET_TOLERANCE: Micros = 50_000;
    let sent_at = 7 * SECOND;
    for window in [SECOND, 2_150_000, 10 * SECOND] {
        let idempotency = Idempotency::IdempotencyKey { scope: DeduplicationScope::All, window };
        let last_write_at = idempotency.repeat_until(sent_at) - 1 + LONGEST_PAUSE;
        assert!(last_write_at < sent_at + window + SOCKET_TOLERANCE, "{window}");
    }
}

#[test]
fn attempts_end_at_their_limit() {
    assert!(has_attempts_left(2, 3) && !has_attempts_left(3, 3));
    assert!(has_attempts_left(1_000, 0), "0 means no limit");
}

#[test]
fn rejection_needs_a_harmless_repeat() {
    assert!(may_be_rejected(Idempotency::Idempotent, delivery(0), 1));
    assert!(may_be_rejected(keyed(DeduplicationScope::All), delivery(0), 1));
    for idempotency in [Idempotency::NonIdempotent, keyed(KEYED[1]), keyed(KEYED[2])] {
        assert!(may_be_rejected(idempotency, None, 0), "{idempotency:?}");
        assert!(!may_be_rejected(idempotency, None, 1), "{idempotency:?}: an attempt is in flight");
        assert!(!may_be_rejected(idempotency, delivery(0), 0), "{idempotency:?}: it may have been executed");
    }
}

#[test]
fn possible_delivery_binds_message_to_its_deduplication_scope() {
    let allowed = |scope, endpoint, zone| is_endpoint_allowed(delivery(1), keyed(scope), endpoint, zone);
    assert!(allowed(DeduplicationScope::All, 8, 2));
    assert!(allowed(DeduplicationScope::Zone, 8, 1) && !allowed(DeduplicationScope::Zone, 8, 2));
    assert!(allowed(DeduplicationScope::Endpoint, 7, 1) && !allowed(DeduplicationScope::Endpoint, 8, 1));
    assert!(is_endpoint_allowed(None, keyed(DeduplicationScope::Endpoint), 8, 2));
}

#[test]
fn deduplication_in_an_unknown_zone_covers_one_endpoint() {
    let allowed =
        |endpoint| is_endpoint_allowed(delivery(UNKNOWN_ZONE), keyed(KEYED[1]), endpoint, UNKNOWN_ZONE);
    assert!(allowed(7) && !allowed(8));
}

#[test]
fn stalled_call_is_replaced_once_and_only_if_it_may_run_twice() {
    let class = |idempotency| Class { idempotency, ..Class::default() };
    let idempotent = class(Idempotency::Idempotent);
    assert!(may_replace_first_attempt(&idempotent, 1, 0));
    assert!(!may_replace_first_attempt(&idempotent, 2, 0));
    assert!(!may_replace_first_attempt(&idempotent, 1, 1));
    assert!(!may_replace_first_attempt(&class(Idempotency::NonIdempotent), 1, 0));
}

fn settings() -> Settings {
    let class = Class { deadline: 16 * SECOND, ..Class::default() };
    Settings {
        classes: vec![class],
        overload_factor: 2.0,
        cold_capacity_share: 0.25,
        fleet_size: 17,
        ..Settings::default()
    }
}

#[test]
fn span_keeps_to_the_budget_of_a_cold_route() {
    let paced = SpanBounds::new(1.0, true, &settings());
    assert_eq!(paced.min_us, 1_250_000.0);
    assert_eq!(paced.max_us, 5_000_000.0);
    let unpaced = SpanBounds::new(1.0, false, &settings());
    assert_eq!(unpaced.max_us, 32_000_000.0, "two message lifetimes");
    assert_eq!(SpanBounds::new(0.0, false, &settings()).min_us, 16_000_000.0);
}

#[test]
fn backoff_below_one_call_is_drawn_from_a_span_that_doubles() {
    let bounds = SpanBounds { min_us: 1e6, max_us: 4e6 };
    let mut rng = SeededRng::new(3);
    let mut backoff = RetryBackoff::initial();
    for span_s in [1, 2, 4, 4] {
        let mut expected = rng.clone();
        backoff.back_off_below_one_call(0, bounds, &mut rng);
        assert_eq!(backoff.until(), (expected.uniform() * span_s as f64 * 1e6) as Micros);
    }
    backoff.reset();
    assert_eq!(backoff.until(), 0);
}

#[test]
fn exponential_backoff_doubles_with_jitter_up_to_its_maximum() {
    let mut rng = SeededRng::new(3);
    for (failures, usual) in [(0, 150_000), (1, 150_000), (2, 300_000), (4, 1_200_000), (40, 2_000_000)] {
        let mut backoff = RetryBackoff::initial();
        backoff.back_off(SECOND, failures, 0, 1, &mut rng);
        let pause = backoff.until() - SECOND;
        assert!((usual * 3 / 4..=usual * 5 / 4).contains(&pause), "{failures} failures: {pause}");
    }
}

#[test]
fn retry_after_extends_backoff_and_spreads_a_fleet() {
    let mut rng = SeededRng::new(3);
    let mut backoff = RetryBackoff::initial();
    backoff.back_off(0, 1, 5 * SECOND, 1, &mut rng);
    assert_eq!(backoff.until(), 5 * SECOND, "one forwarder needs no spread");
    for _ in 0..100 {
        backoff.back_off(0, 1, 5 * SECOND, 17, &mut rng);
        assert!(
            (5 * SECOND..5 * SECOND + 75_000).contains(&backoff.until()),
            "the spread is at most half of the backoff"
        );
    }
}

#[test]
fn reported_retry_after_is_bounded() {
    assert_eq!(retry_after_until(SECOND, -1), SECOND);
    assert_eq!(retry_after_until(SECOND, Micros::MAX), SECOND + MAX_REPORTED_US);
}

#[test]
fn endpoint_avoidance_doubles_four_times() {
    let mut rng = SeededRng::new(3);
    for (errors, seconds) in [(1, 2), (4, 16), (40, 16)] {
        let time = avoidance_time(errors, &mut rng);
        assert!((seconds * 750_000..=seconds * 1_250_000).contains(&time), "{errors} errors: {time}");
    }
}

#[test]
fn failure_at_the_window_floor_pauses_over_a_span() {
    assert_eq!(pause_after(Outcome::Rejected, true, false), Pause::DrawnFromSpan);
    assert_eq!(pause_after(Outcome::ConnectFailed, true, false), Pause::DrawnFromSpan);
    assert_eq!(
        pause_after(Outcome::Error, true, false),
        Pause::Backoff,
        "a single error does not use a span"
    );
    assert_eq!(pause_after(Outcome::Error, true, true), Pause::DrawnFromSpan);
}

#[test]
fn failure_above_the_window_floor_backs_off_exponentially() {
    for outcome in [Outcome::Rejected, Outcome::Error, Outcome::Reset] {
        assert_eq!(pause_after(outcome, false, true), Pause::Backoff, "{outcome:?}");
    }
}

#[test]
fn timeout_needs_no_further_pause() {
    assert_eq!(pause_after(Outcome::Timeout, true, true), Pause::None);
    assert_eq!(pause_after(Outcome::Timeout, false, false), Pause::None);
}

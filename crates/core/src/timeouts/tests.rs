use super::*;

const SECOND: Micros = 1_000_000;

#[test]
fn first_latency_replaces_initial_assumption() {
    let mut estimate = LatencyEstimate::initial();
    assert_eq!(estimate.mean_us(), 600_000.0);
    estimate.observe(200_000, true);
    assert_eq!(estimate.mean_us(), 200_000.0);
    // The deviation starts at half of the latency, and an answer with the same latency reduces it by a quarter.
    assert_eq!(estimate.overdue_after(), 200_000 + 4 * 75_000 + 100_000);
}

#[test]
fn steady_latency_lowers_overdue_time_to_its_minimum() {
    let mut estimate = LatencyEstimate::initial();
    (0..100).for_each(|number| estimate.observe(100_000, number == 0));
    assert_eq!(estimate.overdue_after(), 600_000);
    assert_eq!(estimate.timeout(), 1_500_000);
}

#[test]
fn consecutive_timeouts_double_timeout_twice_at_most() {
    let mut estimate = LatencyEstimate::initial();
    (0..100).for_each(|number| estimate.observe(100_000, number == 0));
    let mut timeouts = Vec::new();
    for _ in 0..4 {
        estimate.record_timeout();
        timeouts.push(estimate.timeout());
    }
    assert_eq!(timeouts, [2_400_000, 4_800_000, 4_800_000, 4_800_000]);
    estimate.reset_timeouts();
    assert_eq!(estimate.timeout(), 1_500_000);
}

#[test]
fn slow_route_times_out_at_the_maximum() {
    let mut estimate = LatencyEstimate::initial();
    estimate.observe(60 * SECOND, true);
    assert_eq!(estimate.timeout(), 6 * SECOND);
}

// Guards against a keyed message that can no longer be repeated when its first attempt times out, and against cutting
// calls that usually take that long.
#[test]
fn first_attempt_ends_in_time_for_its_repeat() {
    let timeout_of = |window, overdue_after| {
        timeout_before_repeat(4 * SECOND, SECOND, SECOND + window, 5_000, overdue_after)
    };
    assert_eq!(timeout_of(3 * SECOND, SECOND), 3 * SECOND - 55_000);
    assert_eq!(timeout_of(3 * SECOND, 3 * SECOND), 4 * SECOND, "calls usually take as long");
    assert_eq!(timeout_of(SECOND, 600_000), 4 * SECOND, "shorter than any time-out");
    assert_eq!(timeout_of(9 * SECOND, SECOND), 4 * SECOND, "the time-out comes first");
    assert_eq!(timeout_before_repeat(4 * SECOND, 0, Micros::MAX, 0, SECOND), 4 * SECOND, "always repeatable");
    assert_eq!(timeout_before_repeat(4 * SECOND, 0, Micros::MIN, 0, SECOND), 4 * SECOND, "never repeatable");
}

#[test]
fn deadline_limits_attempt_timeout() {
    assert_eq!(attempt_timeout(6 * SECOND, 0, 60 * SECOND, 1_000), 6 * SECOND);
    assert_eq!(attempt_timeout(6 * SECOND, 0, SECOND, 1_000), SECOND - 51_000);
    assert_eq!(attempt_timeout(6 * SECOND, SECOND, SECOND, 1_000), 1);
}

#[test]
fn final_answer_is_due_two_steps_and_a_margin_before_deadline() {
    assert_eq!(answer_by(SECOND, 1_000), SECOND - 52_000);
}

#[test]
fn call_is_stalled_if_endpoint_answered_a_call_sent_in_its_later_half() {
    assert!(is_stalled(SECOND, 3 * SECOND, 2 * SECOND + 1));
    assert!(!is_stalled(SECOND, 3 * SECOND, 2 * SECOND));
}

#[test]
fn one_slow_message_stops_cancelling_until_a_dead_connection() {
    let mut stalls = StallHistory::default();
    assert!(stalls.should_cancel());
    stalls.record(true);
    assert!(!stalls.should_cancel());
    stalls.record(false);
    assert!(stalls.should_cancel());
}

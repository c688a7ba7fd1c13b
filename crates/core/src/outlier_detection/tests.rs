use super::*;

const SECOND: Micros = 1_000_000;
const OVERLOAD_WINDOW: Micros = 2 * SECOND;

/// Returns a history with a success at 1 s and then this number of failures.
fn after(outcome: Outcome, failures: u32, is_paced: bool) -> FailureHistory {
    let mut history = FailureHistory::initial();
    history.reset(SECOND);
    for _ in 0..failures {
        history.extend_span(SECOND);
        history.record_failure(outcome, false, is_paced);
    }
    history
}

#[test]
fn three_errors_without_success_for_a_second_and_a_half_are_an_outage() {
    let history = after(Outcome::Error, 3, false);
    assert!(!history.is_outage(SECOND + 1_499_999, false));
    assert!(history.is_outage(SECOND + 1_500_000, false));
    assert!(!after(Outcome::Error, 2, false).is_outage(100 * SECOND, false));
}

#[test]
fn rejections_alone_are_an_outage_after_four_seconds() {
    let history = after(Outcome::Rejected, 3, false);
    assert!(!history.is_outage(5 * SECOND - 1, false));
    assert!(history.is_outage(5 * SECOND, false));
}

#[test]
fn rejections_of_a_paced_route_are_an_outage_after_eight_in_six_seconds() {
    assert!(!after(Outcome::Rejected, 7, true).is_outage(100 * SECOND, true));
    let history = after(Outcome::Rejected, 8, true);
    assert!(!history.is_outage(7 * SECOND - 1, true));
    assert!(history.is_outage(7 * SECOND, true));
}

#[test]
fn failed_connection_is_an_error_only_if_route_is_not_paced() {
    assert!(after(Outcome::ConnectFailed, 1, false).has_errors);
    assert!(!after(Outcome::ConnectFailed, 1, true).has_errors);
}

#[test]
fn overdue_call_is_counted_once() {
    let mut history = FailureHistory::initial();
    history.record_overdue();
    history.record_failure(Outcome::Timeout, true, false);
    assert_eq!(history.consecutive_failures, 1);
    assert!(history.has_errors && !history.is_failing_repeatedly());
    history.record_failure(Outcome::Timeout, false, false);
    assert!(history.is_failing_repeatedly());
}

#[test]
fn success_ends_failures_and_returns_their_start() {
    let mut history = after(Outcome::Error, 3, false);
    assert_eq!(history.reset(9 * SECOND), Some(SECOND));
    assert_eq!(history.consecutive_failures, 0);
    assert!(!history.has_errors && !history.is_outage(100 * SECOND, false));
    assert_eq!(history.first_failure_at(), None);
}

#[test]
fn success_of_a_call_sent_before_the_latest_failure_ends_failures_after_the_overload_window() {
    let mut history = FailureHistory::initial();
    history.extend_span(4 * SECOND);
    history.extend_span(5 * SECOND);
    assert_eq!(history.first_failure_at(), Some(4 * SECOND));
    assert!(history.is_ended_by(5 * SECOND, 5 * SECOND, OVERLOAD_WINDOW));
    assert!(!history.is_ended_by(5 * SECOND - 1, 7 * SECOND - 1, OVERLOAD_WINDOW));
    assert!(history.is_ended_by(5 * SECOND - 1, 7 * SECOND, OVERLOAD_WINDOW));
}

#[test]
fn rejection_outage_needs_rejections_alone() {
    let rejected = after(Outcome::Rejected, 8, false);
    assert!(rejected.was_rejection_outage(7 * SECOND, 2, false));
    assert!(!rejected.was_rejection_outage(7 * SECOND - 1, 2, false));
    assert!(!after(Outcome::Error, 8, false).was_rejection_outage(100 * SECOND, 2, false));
}

#[test]
fn rejection_outage_needs_a_fleet_without_known_capacity() {
    let rejected = after(Outcome::Rejected, 8, false);
    assert!(!rejected.was_rejection_outage(7 * SECOND, 1, false));
    assert!(!rejected.was_rejection_outage(7 * SECOND, 2, true));
}

#[test]
fn third_invalid_response_in_a_row_is_a_failure() {
    let mut consecutive = 0;
    assert!(ignores_invalid_response(&mut consecutive, Outcome::InvalidResponse));
    assert!(ignores_invalid_response(&mut consecutive, Outcome::InvalidResponse));
    assert!(!ignores_invalid_response(&mut consecutive, Outcome::InvalidResponse));
    assert!(!ignores_invalid_response(&mut consecutive, Outcome::Success));
    assert_eq!(consecutive, 0);
    assert!(ignores_invalid_response(&mut consecutive, Outcome::InvalidResponse));
}

#[test]
fn critical_endpoint_is_excluded_while_another_passes() {
    let result = evaluate_health_checks(HealthStatus::Critical, true, true, false);
    assert_eq!(result, HealthCheckResult { excludes_endpoint: true, route_is_critical: false });
    let result = evaluate_health_checks(HealthStatus::Critical, false, false, false);
    assert_eq!(result, HealthCheckResult { excludes_endpoint: false, route_is_critical: true });
}

#[test]
fn route_stays_critical_until_an_endpoint_passes() {
    let draining = evaluate_health_checks(HealthStatus::Passing, false, false, true);
    assert!(draining.route_is_critical, "a draining endpoint does not count as passing");
    assert!(!evaluate_health_checks(HealthStatus::Passing, false, false, false).route_is_critical);
    assert!(!evaluate_health_checks(HealthStatus::Passing, true, true, true).route_is_critical);
}

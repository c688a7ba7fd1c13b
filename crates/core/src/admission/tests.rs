use super::*;

const SECOND: Micros = 1_000_000;

fn settings() -> Settings {
    Settings { send_retry_after: true, max_retry_after: 10 * SECOND, ..Settings::default() }
}

fn backlog(opens_in: Micros, queued: usize, time_per_message_us: f64) -> DestinationBacklog {
    DestinationBacklog { opens_in, queued, time_per_message_us }
}

#[test]
fn one_in_sixteen_open_messages_is_kept_free() {
    assert_eq!(shed_threshold(160), Some(150));
    assert_eq!(shed_threshold(10), Some(9), "at least one");
    assert_eq!(shed_threshold(1), Some(1));
}

#[test]
fn no_limit_sheds_nothing() {
    assert_eq!(shed_threshold(0), None);
}

#[test]
fn retry_after_covers_pause_and_queue() {
    assert_eq!(retry_after(backlog(2 * SECOND, 4, 500_000.0), &settings()), 4 * SECOND);
}

#[test]
fn retry_after_is_limited_to_its_maximum() {
    assert_eq!(retry_after(backlog(Micros::MAX, 4, 500_000.0), &settings()), 10 * SECOND);
    assert_eq!(retry_after(backlog(0, 1, f64::INFINITY), &settings()), 10 * SECOND);
}

#[test]
fn empty_queue_without_routes_needs_no_wait() {
    assert_eq!(retry_after(backlog(0, 0, f64::INFINITY), &settings()), 0);
}

#[test]
fn retry_after_is_zero_if_rejections_carry_none() {
    let set = Settings { send_retry_after: false, ..settings() };
    assert_eq!(retry_after(backlog(2 * SECOND, 4, 500_000.0), &set), 0);
}

#[test]
fn only_rejectable_messages_not_recovered_unsent_are_shed() {
    assert!(may_be_shed(false, true));
    assert!(!may_be_shed(true, true));
    assert!(!may_be_shed(false, false));
}

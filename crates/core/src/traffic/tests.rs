use super::*;

const SECOND: Micros = 1_000_000;

// Guards against a rate that a single event makes high, that an outage makes low, or that never drops old events.
#[test]
fn rate_follows_traffic_and_excludes_outages() {
    let mut count = RateEstimator::starting(1.0, 0);
    assert_eq!(count.rate(SECOND), 0.2);
    (1..=50).for_each(|second| count.record(second * SECOND));
    assert!((count.rate(50 * SECOND) - 1.0).abs() < 0.05);
    count.exclude(100 * SECOND);
    assert!((count.rate(150 * SECOND) - 1.0).abs() < 0.05);
    (151..=600).for_each(|second| (0..4).for_each(|_| count.record(second * SECOND)));
    assert!((count.rate(600 * SECOND) - 4.0).abs() < 0.3, "{}", count.rate(600 * SECOND));
}

// Guards against a bucket that saves up more than its depth during a pause, forgets negative tokens, or is short of a
// token at the time at which it should open.
#[test]
fn bucket_fills_to_its_depth_and_repays_debt() {
    let mut bucket = TokenBucket::starting(1.0, 0);
    assert_eq!(bucket.opens_at(0, 0.3), 0);
    bucket.take(0, 0.3, 2.0, 1.0);
    let opens = bucket.opens_at(0, 0.3);
    assert!((3_333_333..3_333_400).contains(&opens));
    assert_eq!(bucket.opens_at(opens, 0.3), opens);
    bucket.take(100 * SECOND, 0.3, 2.0, 0.0);
    assert_eq!(bucket.available(100 * SECOND, 0.3, 2.0), 2.0);
    bucket.take(100 * SECOND, 0.3, 2.0, 3.5);
    assert!((bucket.available(105 * SECOND, 0.3, 2.0) - 0.0).abs() < 1e-9);
    assert!(bucket.opens_at(105 * SECOND, 0.0) < Micros::MAX / 2);
}

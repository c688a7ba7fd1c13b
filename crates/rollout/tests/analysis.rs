//! Tests of comparing canaries with the baseline.

use orchidyoke_rollout::analysis::{Criteria, Verdict, compare};
use orchidyoke_rollout::metrics::{Metrics, OutcomeCounts};

fn counts(success: u64, overload: u64, error: u64) -> OutcomeCounts {
    OutcomeCounts { success, overload, error }
}

fn compare_outcomes(
    canary: OutcomeCounts,
    baseline: OutcomeCounts,
    criteria: &Criteria,
    bake_time_over: bool,
) -> Verdict {
    let metrics = |outcomes| Metrics { outcomes, latencies: None };
    compare(&metrics(canary), &[metrics(baseline)], criteria, bake_time_over)
}

/// Returns the metrics of a thousand deliveries of 20 to 29 ms and `slow_count` deliveries of `slow_ms`.
fn deliveries(slow_ms: u64, slow_count: u64) -> Metrics {
    let mut metrics = Metrics { outcomes: counts(1000 + slow_count, 0, 0), ..Metrics::default() };
    let latencies = metrics.latencies.as_mut().unwrap();
    (0..1000).for_each(|number| latencies.record(20_000 + number % 10 * 1000).unwrap());
    latencies.record_n(slow_ms * 1000, slow_count).unwrap();
    metrics
}

// Guards against a stage that continues although deliveries are slower, because no message is rejected or fails. Also
// guards against a stage that is stopped because of a few slow deliveries.
#[test]
fn more_slow_deliveries_are_worse() {
    let criteria = Criteria::default();
    let baseline = deliveries(25, 0);
    let verdict = compare(&deliveries(60, 100), std::slice::from_ref(&baseline), &criteria, false);
    assert!(
        matches!(&verdict, Verdict::Worse(share) if share.to_string().starts_with("slow share")),
        "{verdict:?}"
    );
    assert_eq!(compare(&deliveries(60, 2), std::slice::from_ref(&baseline), &criteria, true), Verdict::Pass);
    // Deliveries that are slow in both groups are not caused by the change.
    assert_eq!(compare(&deliveries(60, 100), &[deliveries(60, 100)], &criteria, true), Verdict::Pass);
    // If a release does not report latencies, only outcomes are compared.
    let without_latencies = Metrics { latencies: None, ..baseline };
    assert_eq!(compare(&deliveries(60, 100), &[without_latencies], &criteria, true), Verdict::Pass);
}

#[test]
fn latencies_since_an_earlier_read_cover_only_the_interval() {
    let earlier = deliveries(60, 5);
    let mut later = deliveries(60, 8);
    assert_eq!(later.since(&earlier).unwrap().latencies.unwrap().len(), 3);
    assert_eq!(earlier.since(&later), None);
    later.latencies = None;
    assert_eq!(later.since(&earlier).unwrap().latencies, None);
}

// Guards against a pass on little traffic. A group that has finished only ten messages leaves the stage undecided, even
// if all ten were delivered.
#[test]
fn too_little_traffic_is_undecided() {
    let criteria = Criteria::default();
    assert_eq!(compare_outcomes(counts(10, 0, 0), counts(1000, 5, 5), &criteria, true), Verdict::Undecided);
    assert_eq!(compare_outcomes(counts(1000, 5, 5), counts(10, 0, 0), &criteria, true), Verdict::Undecided);
}

// Guards against a pass before the bake time is over, and against canaries equal to the baseline that never pass.
#[test]
fn equal_groups_pass_once_the_bake_time_is_over() {
    let criteria = Criteria::default();
    let canary = counts(950, 30, 20);
    let baseline = counts(4750, 150, 100);
    assert_eq!(compare_outcomes(canary, baseline, &criteria, false), Verdict::Undecided);
    assert_eq!(compare_outcomes(canary, baseline, &criteria, true), Verdict::Pass);
}

// Guards against a stage that is stopped because of a fault that affects all forwarders, and that the change therefore
// did not cause.
#[test]
fn fault_seen_by_both_groups_passes() {
    let criteria = Criteria::default();
    assert_eq!(
        compare_outcomes(counts(1830, 1050, 120), counts(9000, 5400, 600), &criteria, true),
        Verdict::Pass
    );
}

// Guards against a rollout that continues although the canaries reject or fail more. A share of 12% against 2% is worse
// even before the bake time is over.
#[test]
fn more_overload_or_errors_are_worse_before_the_bake_time_is_over() {
    let criteria = Criteria::default();
    let verdict = compare_outcomes(counts(440, 60, 0), counts(2450, 50, 0), &criteria, false);
    assert!(
        matches!(&verdict, Verdict::Worse(share) if share.to_string().starts_with("overload share")),
        "{verdict:?}"
    );
    let verdict = compare_outcomes(counts(440, 0, 60), counts(2450, 0, 50), &criteria, false);
    assert!(
        matches!(&verdict, Verdict::Worse(share) if share.to_string().starts_with("error share")),
        "{verdict:?}"
    );
}

// Guards against a stage that is stopped because of an outage from which the forwarders recover one by one. The counts
// are from a trace in which one baseline forwarder of five had recovered before the others.
#[test]
fn share_that_some_baseline_forwarders_show_is_undecided() {
    let metrics = |success, error| Metrics { outcomes: counts(success, 0, error), latencies: None };
    let baseline = [metrics(63, 48), metrics(63, 48), metrics(410, 47), metrics(63, 48), metrics(111, 15)];
    let criteria = Criteria::default();
    assert_eq!(compare(&metrics(63, 48), &baseline, &criteria, true), Verdict::Undecided);
    // The verdict is `Worse` if the canaries are far worse than each baseline forwarder, or worse than nine of ten
    // baseline forwarders.
    let verdict = compare(&metrics(30, 81), &baseline, &criteria, true);
    assert!(
        matches!(&verdict, Verdict::Worse(share) if share.to_string().contains("5 of 5 unchanged")),
        "{verdict:?}"
    );
    let mut ten_forwarders = vec![metrics(500, 2); 9];
    ten_forwarders.push(metrics(100, 400));
    assert!(matches!(compare(&metrics(300, 100), &ten_forwarders, &criteria, true), Verdict::Worse(_)));
}

// Guards against a stage that passes while the upper end of the interval is still above the margin.
#[test]
fn interval_past_the_margin_is_undecided() {
    let criteria = Criteria::default();
    // 3% of 300 messages against 2% of 1500: the difference may be 0 or 4 percentage points.
    assert_eq!(compare_outcomes(counts(291, 9, 0), counts(1470, 30, 0), &criteria, true), Verdict::Undecided);
}

#[test]
fn since_returns_none_if_a_count_went_down() {
    assert_eq!(counts(5, 1, 0).since(counts(6, 0, 0)), None);
    assert_eq!(counts(9, 2, 1).since(counts(6, 1, 1)), Some(counts(3, 1, 0)));
}

//! The comparison of changed and unchanged forwarders.

use orchidyoke_rollout::analysis::{Criteria, Verdict, compare};
use orchidyoke_rollout::metrics::{Metrics, OutcomeCounts};

fn tally(success: u64, overload: u64, error: u64) -> OutcomeCounts {
    OutcomeCounts { success, overload, error }
}

fn judge(changed: OutcomeCounts, unchanged: OutcomeCounts, criteria: &Criteria, baked: bool) -> Verdict {
    let silent = |ended| Metrics { outcomes: ended, latencies: None };
    compare(&silent(changed), &[silent(unchanged)], criteria, baked)
}

/// A thousand deliveries of 20 to 29 ms, and so many of `late` ms.
fn deliveries(late: u64, count: u64) -> Metrics {
    let mut reading = Metrics { outcomes: tally(1000 + count, 0, 0), ..Metrics::default() };
    let times = reading.latencies.as_mut().unwrap();
    (0..1000).for_each(|n| times.record(20_000 + n % 10 * 1000).unwrap());
    times.record_n(late * 1000, count).unwrap();
    reading
}

// Guards against a slower path going on that refuses and fails nothing; and against one stopped for a little.
#[test]
fn more_slow_deliveries_are_worse() {
    let (criteria, unchanged) = (Criteria::default(), deliveries(25, 0));
    let verdict = compare(&deliveries(60, 100), std::slice::from_ref(&unchanged), &criteria, false);
    assert!(
        matches!(&verdict, Verdict::Worse(share) if share.to_string().starts_with("slow share")),
        "{verdict:?}"
    );
    assert_eq!(compare(&deliveries(60, 2), std::slice::from_ref(&unchanged), &criteria, true), Verdict::Pass);
    // Slow for everyone is not the change.
    assert_eq!(compare(&deliveries(60, 100), &[deliveries(60, 100)], &criteria, true), Verdict::Pass);
    // A release that does not tell its times is judged by its ends.
    let silent = Metrics { latencies: None, ..unchanged };
    assert_eq!(compare(&deliveries(60, 100), &[silent], &criteria, true), Verdict::Pass);
}

#[test]
fn latencies_since_a_reading_are_those_of_the_interval() {
    let (before, mut now) = (deliveries(60, 5), deliveries(60, 8));
    assert_eq!(now.since(&before).unwrap().latencies.unwrap().len(), 3);
    assert_eq!(before.since(&now), None);
    now.latencies = None;
    assert_eq!(now.since(&before).unwrap().latencies, None);
}

// Guards against a pass on little traffic: a group that has ended ten messages, all well, is not judged.
#[test]
fn too_little_traffic_is_undecided() {
    let criteria = Criteria::default();
    assert_eq!(judge(tally(10, 0, 0), tally(1000, 5, 5), &criteria, true), Verdict::Undecided);
    assert_eq!(judge(tally(1000, 5, 5), tally(10, 0, 0), &criteria, true), Verdict::Undecided);
}

// Guards against a pass before the bake time is over, and for a change equal to the rest.
#[test]
fn equal_groups_pass_once_the_bake_time_is_over() {
    let criteria = Criteria::default();
    let (a, b) = (tally(950, 30, 20), tally(4750, 150, 100));
    assert_eq!(judge(a, b, &criteria, false), Verdict::Undecided);
    assert_eq!(judge(a, b, &criteria, true), Verdict::Pass);
}

// Guards against blaming the change for what all forwarders see: shares high in both groups alike pass.
#[test]
fn fault_seen_by_both_groups_passes() {
    let criteria = Criteria::default();
    assert_eq!(judge(tally(1830, 1050, 120), tally(9000, 5400, 600), &criteria, true), Verdict::Pass);
}

// Guards against a change that refuses more going on: 12% overload against 2% is worse at once, baked or not.
#[test]
fn more_overload_or_errors_are_worse_before_the_bake_time_is_over() {
    let criteria = Criteria::default();
    let verdict = judge(tally(440, 60, 0), tally(2450, 50, 0), &criteria, false);
    assert!(
        matches!(&verdict, Verdict::Worse(share) if share.to_string().starts_with("overload share")),
        "{verdict:?}"
    );
    let verdict = judge(tally(440, 0, 60), tally(2450, 0, 50), &criteria, false);
    assert!(
        matches!(&verdict, Verdict::Worse(share) if share.to_string().starts_with("error share")),
        "{verdict:?}"
    );
}

// Guards against blaming the change for an outage that forwarders come through one by one: what was seen in a trace,
// where one unchanged forwarder of five had recovered before the rest.
#[test]
fn share_that_some_baseline_forwarders_show_is_undecided() {
    let reading = |success, error| Metrics { outcomes: tally(success, 0, error), latencies: None };
    let rest = [reading(63, 48), reading(63, 48), reading(410, 47), reading(63, 48), reading(111, 15)];
    let criteria = Criteria::default();
    assert_eq!(compare(&reading(63, 48), &rest, &criteria, true), Verdict::Undecided);
    // Far worse than each of them is worse; so is worse than all but one of ten or more.
    let verdict = compare(&reading(30, 81), &rest, &criteria, true);
    assert!(
        matches!(&verdict, Verdict::Worse(share) if share.to_string().contains("5 of 5 unchanged")),
        "{verdict:?}"
    );
    let mut ten = vec![reading(500, 2); 9];
    ten.push(reading(100, 400));
    assert!(matches!(compare(&reading(300, 100), &ten, &criteria, true), Verdict::Worse(_)));
}

// Guards against a stage that passes while the interval still reaches past the margin.
#[test]
fn interval_past_the_margin_is_undecided() {
    let criteria = Criteria::default();
    // 3% against 2% over 300 and 1500: the difference may be 0 or 4 points.
    assert_eq!(judge(tally(291, 9, 0), tally(1470, 30, 0), &criteria, true), Verdict::Undecided);
}

#[test]
fn falling_counts_have_no_difference() {
    assert_eq!(tally(5, 1, 0).since(tally(6, 0, 0)), None);
    assert_eq!(tally(9, 2, 1).since(tally(6, 1, 1)), Some(tally(3, 1, 0)));
}

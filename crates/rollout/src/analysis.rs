//! Canary analysis decides whether the canaries (forwarders with the change) do worse than the baseline (forwarders
//! without it) over the same interval. It does no I/O and reads no clock.
//!
//! Three shares are compared. Two are shares of the finished messages: those rejected (overload) and those failed
//! (error). The third is the share of the deliveries that took longer than `latency_ratio` times the baseline's 99th
//! percentile (slow). For each share, the Agresti–Caffo interval of the difference of two proportions is calculated.
//! The interval extends `z` standard errors to either side of the difference. The interval alone is not enough, because
//! the outcomes of one forwarder's messages are correlated. The verdict is:
//!
//! - worse if, for any share, the interval lies above `margin` and the canaries' share is higher by more than `margin`
//!   than the share of each of at least nine in ten baseline forwarders that have messages;
//! - pass if every interval lies at or below `margin`, the bake time is over, and each group has finished at least
//!   `min_finished` messages;
//! - undecided otherwise, so that a stage with too little traffic never passes.

use crate::metrics::{LatencyHistogram, Metrics, OutcomeCounts, count_above, empty_histogram};
use serde::Deserialize;
use std::fmt::{Display, Formatter};

/// Smallest fraction of the baseline forwarders with messages whose individual shares the canaries' share has to exceed
/// by more than the margin.
const BASELINE_MAJORITY: f64 = 0.9;
/// Quantile of the baseline's times to delivery. The bound for slow deliveries is a multiple of the time at this
/// quantile.
const REFERENCE_QUANTILE: f64 = 0.99;

/// The thresholds of the comparison, from the plan.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Criteria {
    /// How much higher a share may be among the canaries before it counts as worse, as a fraction (0.02 is two
    /// percentage points).
    pub margin: f64,
    /// Number of standard errors to either side of the difference (2.33 is a one-sided confidence of about 99%).
    #[serde(rename = "z")]
    pub z_score: f64,
    /// Number of messages that each group must have finished before a stage can pass.
    #[serde(rename = "min_ended")]
    pub min_finished: u64,
    /// How many times longer than the baseline's 99th percentile a delivery may take before it counts as slow.
    pub latency_ratio: f64,
}

impl Default for Criteria {
    fn default() -> Self {
        Criteria { margin: 0.02, z_score: 2.33, min_finished: 200, latency_ratio: 2.0 }
    }
}

/// The result of comparing the two groups at one moment of a stage.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// The figures do not show yet whether the canaries are worse, or the bake time is not over.
    Undecided,
    /// The canaries are not worse by more than the margin.
    Pass,
    /// The canaries do worse.
    Worse(WorseShare),
}

/// A share of messages or deliveries, as two counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Proportion {
    /// Messages or deliveries of the kind that is counted.
    pub count: u64,
    /// All messages or deliveries.
    pub total: u64,
}

impl Proportion {
    /// Returns the share as a fraction, or 0 if `total` is 0.
    fn rate(self) -> f64 {
        if self.total == 0 { 0.0 } else { self.count as f64 / self.total as f64 }
    }

    fn sum(parts: &[Proportion]) -> Proportion {
        parts.iter().fold(Proportion::default(), |sum, part| Proportion {
            count: sum.count + part.count,
            total: sum.total + part.total,
        })
    }
}

/// The confidence interval of the difference of a share, that of the canaries minus that of the baseline.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConfidenceInterval {
    /// The lower end.
    pub lower: f64,
    /// The upper end.
    pub upper: f64,
}

impl ConfidenceInterval {
    /// Returns the Agresti–Caffo interval of `canary - baseline`, `z_score` standard errors to either side. The method
    /// adds one counted and one uncounted message to each group (Agresti and Caffo, The American Statistician 54,
    /// 2000).
    fn of_difference(canary: Proportion, baseline: Proportion, z_score: f64) -> Self {
        let canary_total = canary.total as f64 + 2.0;
        let baseline_total = baseline.total as f64 + 2.0;
        let canary_rate = (canary.count as f64 + 1.0) / canary_total;
        let baseline_rate = (baseline.count as f64 + 1.0) / baseline_total;
        let variance = canary_rate * (1.0 - canary_rate) / canary_total
            + baseline_rate * (1.0 - baseline_rate) / baseline_total;
        let standard_error = variance.sqrt();
        let difference = canary_rate - baseline_rate;
        ConfidenceInterval {
            lower: difference - z_score * standard_error,
            upper: difference + z_score * standard_error,
        }
    }
}

/// A share that is worse among the canaries, with the figures of the comparison.
#[derive(Clone, Debug, PartialEq)]
pub struct WorseShare {
    name: &'static str,
    canary: Proportion,
    baseline: Proportion,
    interval: ConfidenceInterval,
    margin: f64,
    /// Number of baseline forwarders whose own share is lower than that of the canaries by more than the margin.
    exceeded_forwarders: usize,
    /// Number of baseline forwarders with any messages.
    baseline_forwarders: usize,
}

impl Display for WorseShare {
    fn fmt(&self, out: &mut Formatter<'_>) -> std::fmt::Result {
        let WorseShare { name, canary, baseline, interval, margin, .. } = self;
        write!(out, "{name} share {:.4} changed ({} of {}) ", canary.rate(), canary.count, canary.total)?;
        write!(out, "against {:.4} unchanged ({} of {}): ", baseline.rate(), baseline.count, baseline.total)?;
        write!(out, "worse by {:.4} to {:.4}, margin {margin}, ", interval.lower, interval.upper)?;
        write!(out, "and worse than {} of {} ", self.exceeded_forwarders, self.baseline_forwarders)?;
        out.write_str("unchanged forwarders")
    }
}

/// One share in both groups.
struct ComparedShare {
    name: &'static str,
    canary: Proportion,
    /// One share per forwarder.
    baseline: Vec<Proportion>,
}

impl ComparedShare {
    /// Returns the share of the finished messages that `kind` selects.
    fn of_outcomes(
        name: &'static str,
        canary: &Metrics,
        baseline: &[Metrics],
        kind: fn(&OutcomeCounts) -> u64,
    ) -> Self {
        let share = |metrics: &Metrics| Proportion {
            count: kind(&metrics.outcomes),
            total: metrics.outcomes.total(),
        };
        ComparedShare { name, canary: share(canary), baseline: baseline.iter().map(share).collect() }
    }

    /// Returns the share of slow deliveries, or `None` unless every forwarder reports its latencies.
    fn of_slow_deliveries(canary: &Metrics, baseline: &[Metrics], latency_ratio: f64) -> Option<Self> {
        let canary = canary.latencies.as_ref()?;
        let baseline: Vec<&LatencyHistogram> =
            baseline.iter().map(|metrics| metrics.latencies.as_ref()).collect::<Option<_>>()?;
        let mut baseline_sum = empty_histogram();
        for latencies in &baseline {
            baseline_sum.add(*latencies).ok()?;
        }
        let reference_us = baseline_sum.value_at_quantile(REFERENCE_QUANTILE);
        // The conversion is exact, because all times are shorter than 2^53 microseconds.
        let bound_us = (reference_us as f64 * latency_ratio) as u64;
        let share = |latencies: &LatencyHistogram| Proportion {
            count: count_above(latencies, bound_us),
            total: latencies.len(),
        };
        Some(ComparedShare {
            name: "slow",
            canary: share(canary),
            baseline: baseline.into_iter().map(share).collect(),
        })
    }

    fn interval(&self, z_score: f64) -> ConfidenceInterval {
        ConfidenceInterval::of_difference(self.canary, Proportion::sum(&self.baseline), z_score)
    }

    /// Returns the figures if this share is worse, otherwise `None`. A share is worse if its whole interval against all
    /// baseline messages together lies above the margin, and if it also exceeds the individual shares of most baseline
    /// forwarders by more than the margin. The second condition is there because an outage affects many messages of one
    /// forwarder at once, and affects forwarders to different degrees. A share that baseline forwarders show too is not
    /// caused by the change.
    fn find_worse(&self, interval: ConfidenceInterval, margin: f64) -> Option<WorseShare> {
        let with_messages: Vec<&Proportion> = self.baseline.iter().filter(|share| share.total > 0).collect();
        let exceeded =
            with_messages.iter().filter(|share| self.canary.rate() - share.rate() > margin).count();
        let exceeds_most_forwarders = exceeded as f64 >= BASELINE_MAJORITY * with_messages.len() as f64;
        (interval.lower > margin && exceeds_most_forwarders).then(|| WorseShare {
            name: self.name,
            canary: self.canary,
            baseline: Proportion::sum(&self.baseline),
            interval,
            margin,
            exceeded_forwarders: exceeded,
            baseline_forwarders: with_messages.len(),
        })
    }
}

/// Compares the sum of the canaries with the baseline forwarders over the same interval. `bake_time_over` tells whether
/// the stage has run for the plan's bake time, before which it may not pass.
pub fn compare(canary: &Metrics, baseline: &[Metrics], criteria: &Criteria, bake_time_over: bool) -> Verdict {
    let overload = ComparedShare::of_outcomes("overload", canary, baseline, |counts| counts.overload);
    let error = ComparedShare::of_outcomes("error", canary, baseline, |counts| counts.error);
    let slow = ComparedShare::of_slow_deliveries(canary, baseline, criteria.latency_ratio);
    let mut all_within_margin = true;
    for share in [overload, error].into_iter().chain(slow) {
        let interval = share.interval(criteria.z_score);
        if let Some(worse) = share.find_worse(interval, criteria.margin) {
            return Verdict::Worse(worse);
        }
        all_within_margin &= interval.upper <= criteria.margin;
    }
    let baseline_finished = baseline.iter().map(|metrics| metrics.outcomes.total()).sum::<u64>();
    let enough_traffic =
        canary.outcomes.total() >= criteria.min_finished && baseline_finished >= criteria.min_finished;
    if bake_time_over && enough_traffic && all_within_margin { Verdict::Pass } else { Verdict::Undecided }
}

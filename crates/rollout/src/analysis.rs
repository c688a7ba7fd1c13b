//! Canary analysis: whether the canaries (forwarders with the change) do worse than the baseline (forwarders without it)
//! over the same interval. No I/O, no clock.
//!
//! Three shares are compared: of the messages finished, those rejected (overload) and those failed (error); of the
//! deliveries, those slower than `latency_ratio` times the baseline's 99th percentile (slow). For each, the
//! Agresti–Caffo interval of the difference of two proportions is taken, `z` standard errors either side. Messages of
//! one forwarder share its fate, so that the interval alone is not enough:
//!
//! - worse: the interval lies above `margin`, and the canaries' share is higher by `margin` than in nine of ten
//!   baseline forwarders one by one;
//! - pass: every interval lies at or below `margin`, the bake time is over, and each group has finished at least
//!   `min_finished` messages;
//! - undecided otherwise: too little traffic never passes.

use crate::metrics::{LatencyHistogram, Metrics, OutcomeCounts, count_above, empty_histogram};
use serde::Deserialize;
use std::fmt::{Display, Formatter};

/// The part of the baseline forwarders that the canaries have to be worse than, each by itself.
const BASELINE_MAJORITY: f64 = 0.9;
/// Of the baseline's times to delivery; the bound for slow deliveries is a multiple of it.
const REFERENCE_QUANTILE: f64 = 0.99;

/// The thresholds of the comparison, from the plan.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Criteria {
    /// How much higher a share may be among the canaries before it counts as worse, as a fraction (0.02: two
    /// points).
    pub margin: f64,
    /// Standard errors either side of the difference (2.33: about 99% one-sided).
    #[serde(rename = "z")]
    pub z_score: f64,
    /// Messages that each group must have finished before a stage can pass.
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

/// The judgement of a stage at one moment.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// Not enough to say either way.
    Undecided,
    /// The canaries are not worse beyond the margin.
    Pass,
    /// The canaries do worse.
    Worse(WorseShare),
}

/// A part of all messages.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Proportion {
    /// Messages of the kind in question.
    pub count: u64,
    /// All messages.
    pub total: u64,
}

impl Proportion {
    /// As a fraction; 0 of none.
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

/// Where the difference (canaries less baseline) of a share lies.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConfidenceInterval {
    /// The lower end.
    pub lower: f64,
    /// The upper end.
    pub upper: f64,
}

impl ConfidenceInterval {
    /// The Agresti–Caffo interval of `canary - baseline`, `z_score` standard errors either side: one message of each
    /// kind is added to each group (Agresti and Caffo, The American Statistician 54, 2000).
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

/// A share that is worse among the canaries, with the figures that show it.
#[derive(Clone, Debug, PartialEq)]
pub struct WorseShare {
    name: &'static str,
    canary: Proportion,
    baseline: Proportion,
    interval: ConfidenceInterval,
    margin: f64,
    /// Baseline forwarders that the canaries are worse than by the margin, one by one.
    exceeded_forwarders: usize,
    /// Baseline forwarders with any messages.
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
    /// By forwarder.
    baseline: Vec<Proportion>,
}

impl ComparedShare {
    /// A share of the finished messages.
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

    /// The share of slow deliveries; None unless every forwarder reports its latencies.
    fn of_slow_deliveries(canary: &Metrics, baseline: &[Metrics], latency_ratio: f64) -> Option<Self> {
        let canary = canary.latencies.as_ref()?;
        let baseline: Vec<&LatencyHistogram> =
            baseline.iter().map(|metrics| metrics.latencies.as_ref()).collect::<Option<_>>()?;
        let mut baseline_sum = empty_histogram();
        for latencies in &baseline {
            baseline_sum.add(*latencies).ok()?;
        }
        let reference_us = baseline_sum.value_at_quantile(REFERENCE_QUANTILE);
        // No time is so long that an f64 would not hold it exactly.
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

    /// The figures of a share that is worse: beyond doubt than in all baseline messages together, and by the margin than
    /// in most baseline forwarders one by one. An outage strikes a forwarder's messages together, and forwarders come
    /// through it differently: what one of the baseline shows as well is not the change.
    fn worse(&self, interval: ConfidenceInterval, margin: f64) -> Option<WorseShare> {
        let with_messages: Vec<&Proportion> = self.baseline.iter().filter(|share| share.total > 0).collect();
        let exceeded =
            with_messages.iter().filter(|share| self.canary.rate() - share.rate() > margin).count();
        let stands_out = exceeded as f64 >= BASELINE_MAJORITY * with_messages.len() as f64;
        (interval.lower > margin && stands_out).then(|| WorseShare {
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

/// Compares the canaries together with the baseline forwarders over the same interval; `bake_time_over` says whether
/// the stage has run for as long as it has to before it may pass.
pub fn compare(canary: &Metrics, baseline: &[Metrics], criteria: &Criteria, bake_time_over: bool) -> Verdict {
    let overload = ComparedShare::of_outcomes("overload", canary, baseline, |counts| counts.overload);
    let error = ComparedShare::of_outcomes("error", canary, baseline, |counts| counts.error);
    let slow = ComparedShare::of_slow_deliveries(canary, baseline, criteria.latency_ratio);
    let mut all_within_margin = true;
    for share in [overload, error].into_iter().chain(slow) {
        let interval = share.interval(criteria.z_score);
        if let Some(worse) = share.worse(interval, criteria.margin) {
            return Verdict::Worse(worse);
        }
        all_within_margin &= interval.upper <= criteria.margin;
    }
    let baseline_finished = baseline.iter().map(|metrics| metrics.outcomes.total()).sum::<u64>();
    let enough_traffic =
        canary.outcomes.total() >= criteria.min_finished && baseline_finished >= criteria.min_finished;
    if bake_time_over && enough_traffic && all_within_margin { Verdict::Pass } else { Verdict::Undecided }
}

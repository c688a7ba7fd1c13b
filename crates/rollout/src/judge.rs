//! Whether the changed forwarders do worse than the unchanged ones over the same interval. No I/O, no clock.
//!
//! Three shares are compared: of the messages ended, those refused (overload) and those failed (error); of the
//! deliveries, those that took longer than `latency_ratio` times what 99 in 100 of the unchanged group's took (slow).
//! Each by the Agresti–Caffo interval for a difference of two proportions: one message of each kind is added to each
//! group, and the difference is taken with `z` standard errors either side. Messages of one forwarder share its fate, so
//! that is not enough: the share also has to be higher by `margin` than in nine of ten unchanged forwarders one by one.
//! The changed group does worse when the whole interval lies above `margin` and so do those nine of ten; it passes when the whole interval lies
//! at or below it, each group has ended at least `min_ended` messages and the bake time is over. Anything else is
//! "not yet": too little traffic never passes.

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// Messages ended by a group of forwarders over an interval, as their figures count them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeCounts {
    /// Delivered.
    pub success: u64,
    /// Refused or handed back.
    pub overload: u64,
    /// Failed.
    pub error: u64,
}

impl OutcomeCounts {
    /// All ended.
    pub fn total(&self) -> u64 {
        self.success + self.overload + self.error
    }

    /// The two added up.
    pub fn plus(self, other: OutcomeCounts) -> OutcomeCounts {
        OutcomeCounts {
            success: self.success + other.success,
            overload: self.overload + other.overload,
            error: self.error + other.error,
        }
    }

    /// What was ended since `before`; None where a count went down, as it does when the process started again.
    pub fn since(self, before: OutcomeCounts) -> Option<OutcomeCounts> {
        Some(OutcomeCounts {
            success: self.success.checked_sub(before.success)?,
            overload: self.overload.checked_sub(before.overload)?,
            error: self.error.checked_sub(before.error)?,
        })
    }
}

/// Times to delivery in microseconds; to be added up and taken from each other, they all have the same buckets.
pub type LatencyHistogram = Histogram<u64>;

/// None yet.
pub fn empty_histogram() -> LatencyHistogram {
    Histogram::new_with_bounds(1, 600_000_000, 2).expect("bounds that fit the library")
}

/// What a forwarder or a group of them did over an interval.
#[derive(Clone, Debug, PartialEq)]
pub struct Metrics {
    /// Messages ended.
    pub outcomes: OutcomeCounts,
    /// Times to delivery; None where a forwarder does not tell them (a release from before `show-latency`).
    pub latencies: Option<LatencyHistogram>,
}

impl Default for Metrics {
    fn default() -> Self {
        Metrics { outcomes: OutcomeCounts::default(), latencies: Some(empty_histogram()) }
    }
}

impl Metrics {
    /// The two added up; times only where both tell them.
    pub fn plus(&self, other: &Metrics) -> Metrics {
        let both = self.latencies.clone().zip(other.latencies.as_ref());
        let times = both.and_then(|(mut times, other)| times.add(other).ok().map(|()| times));
        Metrics { outcomes: self.outcomes.plus(other.outcomes), latencies: times }
    }

    /// What was done since `before`; None where a count went down, as it does when the process started again.
    pub fn since(&self, before: &Metrics) -> Option<Metrics> {
        let ended = self.outcomes.since(before.outcomes)?;
        let times = match (self.latencies.clone(), &before.latencies) {
            (Some(mut times), Some(before)) => Some(times.subtract(before).ok().map(|()| times)?),
            _ => None,
        };
        Some(Metrics { outcomes: ended, latencies: times })
    }
}

/// What a stage is judged by; the plan gives it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Criteria {
    /// How much higher a share may be in the changed group before it counts as worse, as a fraction (0.02: two
    /// points).
    pub margin: f64,
    /// Standard errors either side of the difference (2.33: about 99% one-sided).
    #[serde(rename = "z")]
    pub z_score: f64,
    /// Messages each group must have ended before a stage can pass.
    #[serde(rename = "min_ended")]
    pub min_finished: u64,
    /// How many times longer than for 99 in 100 of the unchanged group a delivery may take before it counts as slow.
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
    /// The changed group is not worse beyond the margin.
    Pass,
    /// The changed group does worse; why, in words.
    Worse(String),
}

/// One share compared: the interval of (changed - unchanged).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConfidenceInterval {
    /// The lower end.
    pub lower: f64,
    /// The difference itself.
    pub estimate: f64,
    /// The upper end.
    pub upper: f64,
}

/// The Agresti–Caffo interval of `a / n - b / m` with `z` standard errors.
pub fn difference_interval(a: u64, n: u64, b: u64, m: u64, z: f64) -> ConfidenceInterval {
    let (p, q) = ((a as f64 + 1.0) / (n as f64 + 2.0), (b as f64 + 1.0) / (m as f64 + 2.0));
    let error = (p * (1.0 - p) / (n as f64 + 2.0) + q * (1.0 - q) / (m as f64 + 2.0)).sqrt();
    let estimate = p - q;
    ConfidenceInterval { lower: estimate - z * error, estimate, upper: estimate + z * error }
}

/// Deliveries that took longer than so many microseconds.
fn count_above(times: &LatencyHistogram, than: u64) -> u64 {
    let within = times.iter_recorded().take_while(|bucket| bucket.value_iterated_to() <= than);
    times.len() - within.map(|bucket| bucket.count_since_last_iteration()).sum::<u64>()
}

/// A kind of end: how many of all there were in the changed group, and by each unchanged forwarder.
struct ComparedShare {
    name: &'static str,
    changed: (u64, u64),
    unchanged: Vec<(u64, u64)>,
}

/// The share of slow deliveries, where all tell their times.
fn slow_share(changed: &Metrics, unchanged: &[Metrics], ratio: f64) -> Option<ComparedShare> {
    let ours = changed.latencies.as_ref()?;
    let theirs: Vec<&LatencyHistogram> =
        unchanged.iter().map(|reading| reading.latencies.as_ref()).collect::<Option<_>>()?;
    let all =
        theirs.iter().try_fold(empty_histogram(), |mut all, times| all.add(*times).ok().map(|()| all))?;
    // Beyond what an f64 holds exactly no time goes.
    let bound = (all.value_at_quantile(0.99) as f64 * ratio) as u64;
    let of = |times: &LatencyHistogram| (count_above(times, bound), times.len());
    Some(ComparedShare { name: "slow", changed: of(ours), unchanged: theirs.into_iter().map(of).collect() })
}

/// The part of the unchanged forwarders that the changed group has to be worse than, each by itself.
const BASELINE_MAJORITY: f64 = 0.9;

impl ComparedShare {
    /// Why the changed group is worse, if it is: beyond doubt worse than all unchanged messages together, and by the
    /// margin than most unchanged forwarders one by one. An outage strikes a forwarder's messages together, and forwarders
    /// come through it differently: what one of the unchanged ones shows as well is not the change.
    fn worse(&self, interval: ConfidenceInterval, margin: f64) -> Option<String> {
        let ((a, n), (b, m)) = (self.changed, self.all_unchanged());
        let seen: Vec<_> = self.unchanged.iter().filter(|(_, m)| *m > 0).collect();
        let better = seen.iter().filter(|(b, m)| share(a, n) - share(*b, *m) > margin).count();
        let stands_out = better as f64 >= BASELINE_MAJORITY * seen.len() as f64;
        (interval.lower > margin && stands_out).then(|| {
            format!(
                "{} share {:.4} changed ({a} of {n}) against {:.4} unchanged ({b} of {m}): worse by {:.4} to {:.4}, \
                 margin {margin}, and worse than {better} of {} unchanged forwarders",
                self.name,
                share(a, n),
                share(b, m),
                interval.lower,
                interval.upper,
                seen.len()
            )
        })
    }

    fn all_unchanged(&self) -> (u64, u64) {
        self.unchanged.iter().fold((0, 0), |(b, m), (one, of)| (b + one, m + of))
    }
}

/// Judges the changed group against the unchanged forwarders over the same interval; `baked` says whether the stage's
/// bake time is over.
pub fn judge(changed: &Metrics, unchanged: &[Metrics], criteria: &Criteria, baked: bool) -> Verdict {
    let of_all = |name, kind: fn(&OutcomeCounts) -> u64| ComparedShare {
        name,
        changed: (kind(&changed.outcomes), changed.outcomes.total()),
        unchanged: unchanged
            .iter()
            .map(|reading| (kind(&reading.outcomes), reading.outcomes.total()))
            .collect(),
    };
    let shares = [of_all("overload", |tally| tally.overload), of_all("error", |tally| tally.error)];
    let mut within = true;
    for share in shares.into_iter().chain(slow_share(changed, unchanged, criteria.latency_ratio)) {
        let ((a, n), (b, m)) = (share.changed, share.all_unchanged());
        let interval = difference_interval(a, n, b, m, criteria.z_score);
        if let Some(why) = share.worse(interval, criteria.margin) {
            return Verdict::Worse(why);
        }
        within &= interval.upper <= criteria.margin;
    }
    let ended = unchanged.iter().map(|reading| reading.outcomes.total()).sum::<u64>();
    let enough = changed.outcomes.total() >= criteria.min_finished && ended >= criteria.min_finished;
    if baked && enough && within { Verdict::Pass } else { Verdict::Undecided }
}

fn share(part: u64, whole: u64) -> f64 {
    if whole == 0 { 0.0 } else { part as f64 / whole as f64 }
}

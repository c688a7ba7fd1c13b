//! Metrics of forwarders over an interval: outcomes of messages and times to delivery, as counts that can be added and
//! subtracted.

use hdrhistogram::Histogram;

/// Numbers of finished messages, by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    /// Number of delivered messages.
    pub success: u64,
    /// Number of rejected messages, at the start or after waiting.
    pub overload: u64,
    /// Number of failed messages.
    pub error: u64,
}

impl OutcomeCounts {
    /// Returns the number of all finished messages.
    pub fn total(&self) -> u64 {
        self.success + self.overload + self.error
    }

    /// Returns the sum of these counts and `other`.
    pub fn plus(self, other: OutcomeCounts) -> OutcomeCounts {
        OutcomeCounts {
            success: self.success + other.success,
            overload: self.overload + other.overload,
            error: self.error + other.error,
        }
    }

    /// Returns the increase since `earlier`, or `None` if a count went down, as happens when the process was restarted.
    pub fn since(self, earlier: OutcomeCounts) -> Option<OutcomeCounts> {
        Some(OutcomeCounts {
            success: self.success.checked_sub(earlier.success)?,
            overload: self.overload.checked_sub(earlier.overload)?,
            error: self.error.checked_sub(earlier.error)?,
        })
    }
}

/// A histogram of times to delivery in microseconds. All histograms have the same buckets, so that they can be added
/// and subtracted.
pub type LatencyHistogram = Histogram<u64>;

/// Longest time to delivery that a histogram can hold.
const MAX_LATENCY_US: u64 = 600_000_000;
const SIGNIFICANT_DIGITS: u8 = 2;

/// Returns a histogram without deliveries.
pub fn empty_histogram() -> LatencyHistogram {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS).expect("valid histogram bounds")
}

/// Returns the number of deliveries that took longer than `bound_us` microseconds.
pub fn count_above(latencies: &LatencyHistogram, bound_us: u64) -> u64 {
    let within = latencies.iter_recorded().take_while(|bucket| bucket.value_iterated_to() <= bound_us);
    latencies.len() - within.map(|bucket| bucket.count_since_last_iteration()).sum::<u64>()
}

/// The metrics of one forwarder or of a group of forwarders over an interval.
#[derive(Clone, Debug, PartialEq)]
pub struct Metrics {
    /// The outcomes of the finished messages.
    pub outcomes: OutcomeCounts,
    /// Times to delivery. `None` if a forwarder does not report them, because its release does not know `show-latency`.
    pub latencies: Option<LatencyHistogram>,
}

impl Default for Metrics {
    fn default() -> Self {
        Metrics { outcomes: OutcomeCounts::default(), latencies: Some(empty_histogram()) }
    }
}

impl Metrics {
    /// Returns the sum of these metrics and `other`, with latencies only if both have latencies.
    pub fn plus(&self, other: &Metrics) -> Metrics {
        let both = self.latencies.clone().zip(other.latencies.as_ref());
        let latencies = both.and_then(|(mut sum, other)| sum.add(other).ok().map(|()| sum));
        Metrics { outcomes: self.outcomes.plus(other.outcomes), latencies }
    }

    /// Returns the increase since `earlier`, or `None` if a count went down, as happens when the process was restarted.
    pub fn since(&self, earlier: &Metrics) -> Option<Metrics> {
        let outcomes = self.outcomes.since(earlier.outcomes)?;
        let latencies = match (self.latencies.clone(), &earlier.latencies) {
            (Some(mut rest), Some(earlier)) => Some(rest.subtract(earlier).ok().map(|()| rest)?),
            _ => None,
        };
        Some(Metrics { outcomes, latencies })
    }

    /// Returns the same metrics without latencies.
    pub fn outcomes_only(&self) -> Metrics {
        Metrics { outcomes: self.outcomes, latencies: None }
    }

    /// Returns the sum over a group of forwarders.
    pub fn sum(group: &[Metrics]) -> Metrics {
        group.iter().fold(Metrics::default(), |sum, metrics| sum.plus(metrics))
    }
}

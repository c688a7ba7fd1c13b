//! What forwarders did over an interval: outcomes of messages and times to delivery, as counts that can be added up and
//! taken from each other.

use hdrhistogram::Histogram;

/// Messages finished, by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    /// Delivered.
    pub success: u64,
    /// Rejected, at the start or after waiting.
    pub overload: u64,
    /// Failed.
    pub error: u64,
}

impl OutcomeCounts {
    /// All finished messages.
    pub fn total(&self) -> u64 {
        self.success + self.overload + self.error
    }

    /// The sum of both.
    pub fn plus(self, other: OutcomeCounts) -> OutcomeCounts {
        OutcomeCounts {
            success: self.success + other.success,
            overload: self.overload + other.overload,
            error: self.error + other.error,
        }
    }

    /// What was added since `earlier`; None where a count went down, as it does when the process was restarted.
    pub fn since(self, earlier: OutcomeCounts) -> Option<OutcomeCounts> {
        Some(OutcomeCounts {
            success: self.success.checked_sub(earlier.success)?,
            overload: self.overload.checked_sub(earlier.overload)?,
            error: self.error.checked_sub(earlier.error)?,
        })
    }
}

/// Times to delivery in microseconds. All have the same buckets, so that they can be added and subtracted.
pub type LatencyHistogram = Histogram<u64>;

/// Longest time to delivery that a histogram can hold.
const MAX_LATENCY_US: u64 = 600_000_000;
const SIGNIFICANT_DIGITS: u8 = 2;

/// A histogram without deliveries.
pub fn empty_histogram() -> LatencyHistogram {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS).expect("bounds that the library takes")
}

/// Deliveries that took longer than `bound_us` microseconds.
pub fn count_above(latencies: &LatencyHistogram, bound_us: u64) -> u64 {
    let within = latencies.iter_recorded().take_while(|bucket| bucket.value_iterated_to() <= bound_us);
    latencies.len() - within.map(|bucket| bucket.count_since_last_iteration()).sum::<u64>()
}

/// What a forwarder or a group of them did over an interval.
#[derive(Clone, Debug, PartialEq)]
pub struct Metrics {
    /// Messages finished.
    pub outcomes: OutcomeCounts,
    /// Times to delivery; None where a forwarder does not report them (a release from before `show-latency`).
    pub latencies: Option<LatencyHistogram>,
}

impl Default for Metrics {
    fn default() -> Self {
        Metrics { outcomes: OutcomeCounts::default(), latencies: Some(empty_histogram()) }
    }
}

impl Metrics {
    /// The sum of both; latencies only where both report them.
    pub fn plus(&self, other: &Metrics) -> Metrics {
        let both = self.latencies.clone().zip(other.latencies.as_ref());
        let latencies = both.and_then(|(mut sum, other)| sum.add(other).ok().map(|()| sum));
        Metrics { outcomes: self.outcomes.plus(other.outcomes), latencies }
    }

    /// What was added since `earlier`; None where a count went down, as it does when the process was restarted.
    pub fn since(&self, earlier: &Metrics) -> Option<Metrics> {
        let outcomes = self.outcomes.since(earlier.outcomes)?;
        let latencies = match (self.latencies.clone(), &earlier.latencies) {
            (Some(mut rest), Some(earlier)) => Some(rest.subtract(earlier).ok().map(|()| rest)?),
            _ => None,
        };
        Some(Metrics { outcomes, latencies })
    }

    /// The same without latencies.
    pub fn outcomes_only(&self) -> Metrics {
        Metrics { outcomes: self.outcomes, latencies: None }
    }

    /// The sum of a group.
    pub fn sum(group: &[Metrics]) -> Metrics {
        group.iter().fold(Metrics::default(), |sum, metrics| sum.plus(metrics))
    }
}

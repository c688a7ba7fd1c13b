//! Percentiles and counts per second.

use std::time::{Duration, Instant};

/// Returns the nearest-rank percentile of samples in ascending order, for a share from 0 to 1. Returns 0 if there are
/// no samples.
pub fn percentile(sorted: &[f64], share: f64) -> f64 {
    let rank = (share * sorted.len() as f64).ceil() as usize;
    sorted.get(rank.clamp(1, sorted.len().max(1)) - 1).copied().unwrap_or(0.0)
}

/// Counts the moments in each second of a run. Moments before the start count in the first second, and moments after
/// the end do not count.
pub fn counts_per_second(
    moments: impl IntoIterator<Item = Instant>,
    start: Instant,
    length: Duration,
) -> Vec<f64> {
    let mut counts = vec![0.0; length.as_secs() as usize];
    for moment in moments {
        let second = moment.saturating_duration_since(start).as_secs() as usize;
        if let Some(count) = counts.get_mut(second) {
            *count += 1.0;
        }
    }
    counts
}

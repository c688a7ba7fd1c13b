//! What one forwarder was seen to do over a stage, across restarts of its process.

use crate::error::ForwarderError;
use crate::metrics::Metrics;
use crate::process_metrics::ProcessMetrics;

/// The observation of one forwarder.
#[derive(Default)]
pub struct Observation {
    /// Its process and the counts at the stage's start, or at the start of the process if that was later.
    base: Option<ProcessMetrics>,
    /// What earlier processes of it did in this stage, as far as it was read.
    earlier_processes: Option<Metrics>,
    /// Counts when last read.
    last: Option<Metrics>,
    failed_reads: u32,
    restarts: u32,
}

impl Observation {
    /// Takes in the result of a read.
    pub fn on_read(&mut self, forwarder: &str, result: Result<ProcessMetrics, ForwarderError>) {
        match result {
            Ok(read) => self.on_metrics(forwarder, read),
            Err(error) => {
                self.failed_reads += 1;
                tracing::warn!(forwarder, %error, "forwarder does not answer");
            }
        }
    }

    fn on_metrics(&mut self, forwarder: &str, read: ProcessMetrics) {
        if self.base.as_ref().is_some_and(|base| !self.is_same_process(base, &read)) {
            tracing::warn!(forwarder, pid = read.pid, "forwarder has started again");
            self.restarts += 1;
            self.earlier_processes = Some(self.since_start());
            self.base = Some(ProcessMetrics { pid: read.pid, metrics: zero_like(&read.metrics) });
        }
        self.last = Some(read.metrics.clone());
        self.base.get_or_insert(read);
    }

    /// A restarted process has another id, or counts that are lower than they were: an id may be given out again.
    fn is_same_process(&self, base: &ProcessMetrics, read: &ProcessMetrics) -> bool {
        base.pid == read.pid && self.last.as_ref().is_none_or(|last| read.metrics.since(last).is_some())
    }

    /// Drops what was read until now, but for failed reads and restarts.
    pub fn reset_metrics(&mut self) {
        self.earlier_processes = None;
        if let (Some(base), Some(last)) = (&mut self.base, &self.last) {
            base.metrics = last.clone();
        }
    }

    /// What the forwarder did in this stage, as far as it was read.
    pub fn since_start(&self) -> Metrics {
        let current = match (&self.base, &self.last) {
            (Some(base), Some(last)) => last.since(&base.metrics),
            _ => None,
        };
        let current = current.unwrap_or_default();
        match &self.earlier_processes {
            Some(earlier) => earlier.plus(&current),
            None => current,
        }
    }

    /// Whether it did not answer, or was restarted, in this stage. One failed read is enough: reads are not repeated within
    /// their time, and the end of the warm-up forgets neither.
    pub fn went_down(&self) -> bool {
        self.failed_reads > 0 || self.restarts > 0
    }
}

/// The counts at the start of a process. One that does not report latencies now did not report them then.
fn zero_like(metrics: &Metrics) -> Metrics {
    let zero = Metrics::default();
    Metrics { latencies: zero.latencies.filter(|_| metrics.latencies.is_some()), ..zero }
}

#[cfg(test)]
mod tests;

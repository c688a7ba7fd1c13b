//! The metrics of one forwarder over a stage, collected across restarts of its process.

use crate::error::ForwarderError;
use crate::metrics::Metrics;
use crate::process_metrics::ProcessMetrics;

/// The observation of one forwarder.
#[derive(Default)]
pub struct Observation {
    /// The forwarder's process, and its counts at the start of the interval that is compared, or at the start of the
    /// process if that was later. `None` before the first successful read.
    base: Option<ProcessMetrics>,
    /// Metrics of the forwarder's earlier processes since the start of the interval that is compared, up to their last
    /// successful reads. `None` if the forwarder was not restarted in that interval.
    earlier_processes: Option<Metrics>,
    /// The counts of the last successful read.
    last: Option<Metrics>,
    failed_reads: u32,
    restarts: u32,
}

impl Observation {
    /// Records the result of a read.
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
            self.earlier_processes = Some(self.since_base());
            self.base = Some(ProcessMetrics { pid: read.pid, metrics: zero_like(&read.metrics) });
        }
        self.last = Some(read.metrics.clone());
        self.base.get_or_insert(read);
    }

    /// Returns whether the process is the same as in the last read. A restarted process has another id or lower counts.
    /// The counts are compared too, because the system may reuse the id.
    fn is_same_process(&self, base: &ProcessMetrics, read: &ProcessMetrics) -> bool {
        base.pid == read.pid && self.last.as_ref().is_none_or(|last| read.metrics.since(last).is_some())
    }

    /// Drops the metrics read until now. The numbers of failed reads and restarts are kept.
    pub fn reset_metrics(&mut self) {
        self.earlier_processes = None;
        if let (Some(base), Some(last)) = (&mut self.base, &self.last) {
            base.metrics = last.clone();
        }
    }

    /// Returns the forwarder's metrics since the start of the stage, or since [`Observation::reset_metrics`] was
    /// called, up to the last successful read.
    pub fn since_base(&self) -> Metrics {
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

    /// Returns whether the forwarder did not answer or was restarted in this stage. One failed read is enough, because
    /// a failed read is not retried. Failed reads and restarts during the warm-up count until the end of the stage.
    pub fn went_down(&self) -> bool {
        self.failed_reads > 0 || self.restarts > 0
    }
}

/// Returns the counts at the start of a process. They have latencies only if `metrics`, read later, has them.
fn zero_like(metrics: &Metrics) -> Metrics {
    let zero = Metrics::default();
    Metrics { latencies: zero.latencies.filter(|_| metrics.latencies.is_some()), ..zero }
}

#[cfg(test)]
mod tests;

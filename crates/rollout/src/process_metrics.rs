//! Reads the metrics of each forwarder's process from its console. If the forwarder has a supervisor, the supervisor's
//! status gives the process id and the slot whose console is read.

use crate::console::{self, CALL_TIMEOUT};
use crate::error::ForwarderError;
use crate::metrics::Metrics;
use crate::plan::PlannedForwarder;
use orchidyoke_supervisor::client;

/// Number of forwarders in a batch, which are read at once. The next batch begins when every forwarder of the batch has
/// answered or failed, so a batch takes as long as its slowest forwarder.
const MAX_CONCURRENT_READS: usize = 32;
/// Number of characters of an invalid reply that its error quotes.
const QUOTED_REPLY_CHARS: usize = 80;

/// A forwarder's process, and its metrics since its start.
#[derive(Clone, Debug)]
pub struct ProcessMetrics {
    /// The process id. A restarted process has another id.
    pub pid: u32,
    /// The process's metrics since its start.
    pub metrics: Metrics,
}

/// A forwarder, and the result of reading its metrics.
pub type ReadResult<'a> = (&'a PlannedForwarder, Result<ProcessMetrics, ForwarderError>);

/// Reads the metrics of the process that takes clients.
fn read(forwarder: &PlannedForwarder) -> Result<ProcessMetrics, ForwarderError> {
    let (console, pid) = match forwarder.supervisor {
        Some(supervisor) => {
            let status = client::status(supervisor, CALL_TIMEOUT)?;
            let pid = status.pid.ok_or(ForwarderError::NotRunning { supervisor })?;
            (forwarder.consoles.at_slot(status.slot), pid)
        }
        None => (forwarder.consoles.at_slot(0), process_id(forwarder)?),
    };
    let reply = console::ask(console, "show-stat")?;
    let outcomes = console::parse_outcome_counts(&reply).ok_or_else(|| ForwarderError::InvalidMetrics {
        address: console,
        reply: reply.chars().take(QUOTED_REPLY_CHARS).collect(),
    })?;
    let latencies = console::parse_latencies(&console::ask(console, "show-latency")?);
    Ok(ProcessMetrics { pid, metrics: Metrics { outcomes, latencies } })
}

/// Reads the metrics of all forwarders and returns the results in the forwarders' order.
pub fn read_all(forwarders: &[PlannedForwarder]) -> Vec<ReadResult<'_>> {
    let mut results = Vec::with_capacity(forwarders.len());
    for batch in forwarders.chunks(MAX_CONCURRENT_READS) {
        std::thread::scope(|scope| {
            let readers: Vec<_> =
                batch.iter().map(|forwarder| (forwarder, scope.spawn(|| read(forwarder)))).collect();
            results.extend(readers.into_iter().map(|(forwarder, reader)| {
                (forwarder, reader.join().unwrap_or(Err(ForwarderError::ReaderPanicked)))
            }));
        });
    }
    results
}

/// Returns the id of a forwarder's process, from its supervisor if it has one, otherwise from its pid file.
pub fn process_id(forwarder: &PlannedForwarder) -> Result<u32, ForwarderError> {
    if let Some(supervisor) = forwarder.supervisor {
        let status = client::status(supervisor, CALL_TIMEOUT)?;
        return status.pid.ok_or(ForwarderError::NotRunning { supervisor });
    }
    let path =
        forwarder.pid_file.as_ref().ok_or(ForwarderError::MissingFromPlan("process's id (pid_file)"))?;
    let text = crate::files::read(path)?;
    let text = std::str::from_utf8(&text).ok();
    text.and_then(|text| text.trim().parse().ok())
        .ok_or_else(|| ForwarderError::InvalidPidFile { path: path.clone() })
}

//! Requests a reload of one forwarder's configuration by SIGHUP. The forwarder sends no answer. If it finds the file
//! invalid, it logs that and keeps its old settings, and the rollout does not detect it.

use crate::error::ForwarderError;
use crate::plan::PlannedForwarder;
use crate::process_metrics::process_id;
use rustix::io::Errno;
use rustix::process::{Pid, Signal, kill_process};
use std::time::{Duration, Instant};

/// How long the restart of a forwarder that has exited may take, until its pid file or its supervisor gives the new id.
const RESTART_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause between attempts to signal the restarted process.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Requests a reload. If the process has exited, its id is looked up again until the restarted process's id is found.
/// The restarted process has already read the new configuration at its start, and the signal does no harm.
pub fn request_reload(forwarder: &PlannedForwarder) -> Result<(), ForwarderError> {
    let deadline = Instant::now() + RESTART_TIMEOUT;
    loop {
        match send_sighup(process_id(forwarder)?) {
            Err(ForwarderError::Signal { source: Errno::SRCH, .. }) if Instant::now() < deadline => {
                std::thread::sleep(RETRY_INTERVAL);
            }
            result => return result,
        }
    }
}

fn send_sighup(pid: u32) -> Result<(), ForwarderError> {
    let process = i32::try_from(pid).ok().and_then(Pid::from_raw);
    let process = process.ok_or(ForwarderError::InvalidPid { pid })?;
    kill_process(process, Signal::HUP).map_err(|source| ForwarderError::Signal { pid, source })
}

//! A reload of one forwarder's configuration, requested by SIGHUP. The forwarder does not answer: one that finds the
//! file invalid logs so and keeps its old settings, and nothing here notices.

use crate::error::ForwarderError;
use crate::plan::PlannedForwarder;
use crate::process_metrics::process_id;
use rustix::io::Errno;
use rustix::process::{Pid, Signal, kill_process};
use std::time::{Duration, Instant};

/// How long a forwarder that is gone may take to be restarted, with a new id in its pid file.
const RESTART_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause between looks at the pid file meanwhile.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Requests a reload. Where the process is gone, its id is looked up again until there is that of its successor: that
/// one has read the configuration at its start, and the signal does it no harm.
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

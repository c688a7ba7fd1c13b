//! The identity of a process: its id and its start time. The system reuses process ids, so an id saved by an earlier
//! supervisor may now belong to an unrelated process. The start time distinguishes the two.

use crate::machine::TERMINATION_GRACE_MS;
use rustix::process::{Pid, PidfdFlags, Signal, pidfd_open, pidfd_send_signal};
use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};

/// Interval of the checks whether a terminated process has exited.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Index of the start time among the fields that follow the command in `/proc/PID/stat`; field 22 in proc(5).
const START_TIME_FIELD: usize = 19;

/// A process id with the start time that distinguishes the process from later ones with the same id.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessIdentity {
    /// The process id.
    pub pid: u32,
    /// Start time in clock ticks since the system's start.
    #[serde(rename = "ticks")]
    pub start_ticks: u64,
}

impl ProcessIdentity {
    /// Returns the identity of the process that has this id now. Returns `None` if the process has ended, reaped or
    /// not.
    pub fn of(pid: u32) -> Option<Self> {
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        let (_, after_command) = stat.rsplit_once(')')?;
        let fields: Vec<&str> = after_command.split_whitespace().collect();
        let is_zombie = fields.first() == Some(&"Z");
        let start_ticks = fields.get(START_TIME_FIELD)?.parse().ok()?;
        (!is_zombie).then_some(ProcessIdentity { pid, start_ticks })
    }

    fn is_running(&self) -> bool {
        ProcessIdentity::of(self.pid).as_ref() == Some(self)
    }

    /// Terminates the process if it still runs, and waits until it has exited. Sends SIGTERM first, and SIGKILL after
    /// [`TERMINATION_GRACE_MS`].
    pub fn terminate_and_wait(&self) {
        let Some(pid) = i32::try_from(self.pid).ok().and_then(Pid::from_raw) else { return };
        let Ok(pidfd) = pidfd_open(pid, PidfdFlags::empty()) else { return };
        // The comparison comes after `pidfd_open`, so that the descriptor refers to the process that is compared.
        if !self.is_running() {
            return;
        }
        tracing::warn!(pid = self.pid, "terminating the forwarder that an earlier supervisor left running");
        // Errors are ignored here and below, because the process may have ended by itself.
        let _ = pidfd_send_signal(&pidfd, Signal::TERM);
        let kill_at = Instant::now() + Duration::from_millis(TERMINATION_GRACE_MS);
        while self.is_running() {
            if Instant::now() >= kill_at {
                let _ = pidfd_send_signal(&pidfd, Signal::KILL);
            }
            std::thread::sleep(EXIT_POLL_INTERVAL);
        }
    }
}

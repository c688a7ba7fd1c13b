//! The supervisor's state machine decides when a forwarder is started, restarted, replaced, terminated and killed. One
//! forwarder is active. At most one other process runs beside it, either a successor that is not ready yet or a
//! predecessor that is terminating. The machine does no I/O and reads no clock. All times are milliseconds since the
//! supervisor began.
//!
//! - Upgrade: the successor starts beside the active forwarder. Once it is ready it becomes active, its release is
//!   persisted, and the predecessor is terminated. If the successor exits or is not ready in time, the upgrade has
//!   failed.
//! - Restart: an active forwarder that dies is started again after a backoff that doubles at each death. If a successor
//!   is starting, it becomes active instead, because there is no predecessor left to go back to.
//! - Shutdown: all processes are terminated and none is started.
//!
//! A forwarder that starts without a predecessor may take any time to be ready, because no other process could serve in
//! its place.

use crate::protocol::{FailedUpgrade, RejectReason, SupervisorStatus};
use crate::slot::{PerSlot, Slot};
use std::time::Duration;

/// How often the machine needs an [`Input::Tick`].
pub const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// An upgrade fails when its successor is not ready after this time.
pub const READY_TIMEOUT_MS: u64 = 6_000;
/// Time from SIGTERM to SIGKILL. The forwarder's graceful shutdown is timed to end before SIGKILL.
pub const TERMINATION_GRACE_MS: u64 = 3_700;
/// Backoff before the first restart. It doubles at each further death, up to [`MAX_RESTART_BACKOFF_MS`].
const INITIAL_RESTART_BACKOFF_MS: u64 = 100;
const MAX_RESTART_BACKOFF_MS: u64 = 5_000;
/// If a forwarder served for this long before it died, the backoff starts again at [`INITIAL_RESTART_BACKOFF_MS`].
const BACKOFF_RESET_AFTER_MS: u64 = 10_000;
/// Highest number of doublings of the backoff. With that many doublings, the backoff would exceed
/// [`MAX_RESTART_BACKOFF_MS`] but does not overflow.
const MAX_BACKOFF_DOUBLINGS: u32 = 16;

/// An event that the supervisor reacts to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// The supervisor begins.
    Start,
    /// Time has passed. The machine needs this input every [`TICK_INTERVAL`].
    Tick,
    /// The process in this slot has reported that it takes clients.
    Ready(Slot),
    /// A process has ended, or could not be started.
    Exited {
        /// The slot of the process.
        slot: Slot,
        /// How the process ended, for operators.
        cause: String,
    },
    /// The supervisor is to shut down.
    Shutdown,
}

/// An action of the supervisor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Starts a process.
    Spawn {
        /// The slot to start the process in.
        slot: Slot,
        /// The release to start.
        release: String,
    },
    /// Asks the process in this slot whether it takes clients.
    CheckReadiness(Slot),
    /// Sends SIGTERM to the process in this slot.
    Terminate(Slot),
    /// Sends SIGKILL to the process in this slot.
    Kill(Slot),
    /// Persists this release as the one to start from now on.
    PersistRelease(String),
    /// Exits the supervisor.
    Exit,
}

/// The phase in the lifetime of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Not ready yet.
    Starting { since_ms: u64 },
    /// Takes clients.
    Serving { since_ms: u64 },
    /// SIGTERM was sent.
    Terminating { kill_at_ms: u64 },
    /// SIGKILL was sent.
    Killed,
}

#[derive(Clone, Debug)]
struct Process {
    release: String,
    phase: Phase,
}

impl Process {
    fn is_starting(&self) -> bool {
        matches!(self.phase, Phase::Starting { .. })
    }

    fn is_serving(&self) -> bool {
        matches!(self.phase, Phase::Serving { .. })
    }

    fn is_ending(&self) -> bool {
        matches!(self.phase, Phase::Terminating { .. } | Phase::Killed)
    }
}

/// The supervisor's state.
#[derive(Debug)]
pub struct Machine {
    /// The release to start next.
    target_release: String,
    processes: PerSlot<Option<Process>>,
    /// The slot of the forwarder that serves, or that is restarted after it died.
    active_slot: Slot,
    /// When the forwarder that died is started again. `None` if no restart is scheduled.
    restart_at_ms: Option<u64>,
    consecutive_failures: u32,
    restarts: u64,
    failed_upgrade: Option<FailedUpgrade>,
    shutting_down: bool,
}

impl Machine {
    /// Returns a machine that starts this release first.
    pub fn new(release: String) -> Self {
        Machine {
            target_release: release,
            processes: PerSlot::default(),
            active_slot: Slot::First,
            restart_at_ms: None,
            consecutive_failures: 0,
            restarts: 0,
            failed_upgrade: None,
            shutting_down: false,
        }
    }

    /// Processes an input at `now_ms` and returns the effects to carry out, in order.
    pub fn step(&mut self, now_ms: u64, input: Input) -> Vec<Effect> {
        match input {
            Input::Start => self.start(now_ms, self.active_slot, self.target_release.clone()),
            Input::Tick => self.on_tick(now_ms),
            Input::Ready(slot) => self.on_ready(now_ms, slot),
            Input::Exited { slot, cause } => self.on_exit(now_ms, slot, &cause),
            Input::Shutdown => self.shut_down(now_ms),
        }
    }

    fn start(&mut self, now_ms: u64, slot: Slot, release: String) -> Vec<Effect> {
        self.restart_at_ms = None;
        let phase = Phase::Starting { since_ms: now_ms };
        self.processes[slot] = Some(Process { release: release.clone(), phase });
        vec![Effect::Spawn { slot, release }]
    }

    fn terminate(&mut self, now_ms: u64, slot: Slot) -> Vec<Effect> {
        let Some(process) = &mut self.processes[slot] else { return Vec::new() };
        if process.is_ending() {
            return Vec::new();
        }
        process.phase = Phase::Terminating { kill_at_ms: now_ms + TERMINATION_GRACE_MS };
        vec![Effect::Terminate(slot)]
    }

    fn on_tick(&mut self, now_ms: u64) -> Vec<Effect> {
        let mut effects = Vec::new();
        for slot in Slot::ALL {
            effects.extend(self.check_process(now_ms, slot));
        }
        if !self.shutting_down && self.restart_at_ms.is_some_and(|at_ms| now_ms >= at_ms) {
            effects.extend(self.start(now_ms, self.active_slot, self.target_release.clone()));
        }
        effects
    }

    /// Asks a starting process whether it is ready. Kills a successor after [`READY_TIMEOUT_MS`], and a terminating
    /// process after [`TERMINATION_GRACE_MS`].
    fn check_process(&mut self, now_ms: u64, slot: Slot) -> Option<Effect> {
        let is_successor = slot != self.active_slot;
        let process = self.processes[slot].as_mut()?;
        match process.phase {
            Phase::Starting { since_ms } if is_successor && now_ms >= since_ms + READY_TIMEOUT_MS => {
                let reason = format!("it did not take clients within {READY_TIMEOUT_MS} ms");
                self.failed_upgrade = Some(FailedUpgrade { release: process.release.clone(), reason });
                process.phase = Phase::Killed;
                Some(Effect::Kill(slot))
            }
            Phase::Starting { .. } => Some(Effect::CheckReadiness(slot)),
            Phase::Terminating { kill_at_ms } if now_ms >= kill_at_ms => {
                process.phase = Phase::Killed;
                Some(Effect::Kill(slot))
            }
            Phase::Serving { .. } | Phase::Terminating { .. } | Phase::Killed => None,
        }
    }

    fn on_ready(&mut self, now_ms: u64, slot: Slot) -> Vec<Effect> {
        let Some(process) = &mut self.processes[slot] else { return Vec::new() };
        if !process.is_starting() {
            return Vec::new();
        }
        process.phase = Phase::Serving { since_ms: now_ms };
        let mut effects = Vec::new();
        if self.target_release != process.release {
            self.target_release = process.release.clone();
            effects.push(Effect::PersistRelease(self.target_release.clone()));
        }
        let predecessor = std::mem::replace(&mut self.active_slot, slot);
        if predecessor != slot {
            effects.extend(self.terminate(now_ms, predecessor));
        }
        effects
    }

    fn on_exit(&mut self, now_ms: u64, slot: Slot, cause: &str) -> Vec<Effect> {
        let Some(process) = self.processes[slot].take() else { return Vec::new() };
        if self.shutting_down {
            return if self.no_process_left() { vec![Effect::Exit] } else { Vec::new() };
        }
        if slot != self.active_slot {
            if process.is_starting() {
                let reason = format!("it ended before it took clients: {cause}");
                self.failed_upgrade = Some(FailedUpgrade { release: process.release, reason });
            }
            return Vec::new();
        }
        let other = slot.other();
        if self.processes[other].as_ref().is_some_and(Process::is_starting) {
            // The successor becomes active, because there is no predecessor to go back to.
            self.active_slot = other;
            return Vec::new();
        }
        self.schedule_restart(now_ms, &process);
        Vec::new()
    }

    fn schedule_restart(&mut self, now_ms: u64, exited_process: &Process) {
        if matches!(exited_process.phase, Phase::Serving { since_ms } if now_ms >= since_ms + BACKOFF_RESET_AFTER_MS)
        {
            self.consecutive_failures = 0;
        }
        let doublings = self.consecutive_failures.min(MAX_BACKOFF_DOUBLINGS);
        let backoff_ms = (INITIAL_RESTART_BACKOFF_MS << doublings).min(MAX_RESTART_BACKOFF_MS);
        self.consecutive_failures += 1;
        self.restarts += 1;
        self.restart_at_ms = Some(now_ms + backoff_ms);
    }

    fn shut_down(&mut self, now_ms: u64) -> Vec<Effect> {
        self.shutting_down = true;
        self.restart_at_ms = None;
        if self.no_process_left() {
            return vec![Effect::Exit];
        }
        Slot::ALL.into_iter().flat_map(|slot| self.terminate(now_ms, slot)).collect()
    }

    fn no_process_left(&self) -> bool {
        self.processes.iter().all(Option::is_none)
    }

    /// Replaces the forwarder by this release. The active forwarder stays until its successor is ready. If the release
    /// is active already or being started, no effect is returned.
    ///
    /// # Errors
    ///
    /// [`RejectReason::Busy`] while another process runs beside the active one, [`RejectReason::ShuttingDown`]
    /// during a shutdown.
    pub fn upgrade(&mut self, now_ms: u64, release: &str) -> Result<Vec<Effect>, RejectReason> {
        if self.shutting_down {
            return Err(RejectReason::ShuttingDown);
        }
        let other_slot = self.active_slot.other();
        match (&self.processes[self.active_slot], &self.processes[other_slot]) {
            (_, Some(other)) if other.release == release && other.is_starting() => Ok(Vec::new()),
            (Some(active), _) if active.release == release && !active.is_ending() => {
                self.failed_upgrade = None;
                Ok(Vec::new())
            }
            (_, Some(_)) => Err(RejectReason::Busy),
            (Some(active), None) if active.is_serving() => {
                self.failed_upgrade = None;
                Ok(self.start(now_ms, other_slot, release.to_owned()))
            }
            (_, None) => Ok(self.replace_unready(now_ms, release)),
        }
    }

    /// Makes this release the one to start. Called when no forwarder serves, so there is no predecessor to keep until a
    /// successor is ready.
    fn replace_unready(&mut self, now_ms: u64, release: &str) -> Vec<Effect> {
        self.target_release = release.to_owned();
        self.failed_upgrade = None;
        let mut effects = vec![Effect::PersistRelease(release.to_owned())];
        let slot = self.active_slot;
        effects.extend(match self.processes[slot] {
            None => self.start(now_ms, slot, release.to_owned()),
            Some(_) => self.terminate(now_ms, slot),
        });
        effects
    }

    /// Returns the status for a caller, without the process id, because the machine does not know it.
    pub fn status(&self) -> SupervisorStatus {
        let active = self.processes[self.active_slot].as_ref();
        let is_alone = self.processes[self.active_slot.other()].is_none();
        SupervisorStatus {
            release: active.map_or(&self.target_release, |process| &process.release).clone(),
            slot: self.active_slot.index(),
            settled: is_alone && active.is_some_and(Process::is_serving),
            restarts: self.restarts,
            failed_upgrade: self.failed_upgrade.clone(),
            pid: None,
        }
    }

    /// Returns the slot of the forwarder that serves, or that is restarted after it died.
    pub fn active_slot(&self) -> Slot {
        self.active_slot
    }
}

#[cfg(test)]
mod tests;

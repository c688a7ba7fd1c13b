//! The choices of the supervisor: one forwarder serves, at most one other stands beside it (a successor that is not yet
//! ready, or a predecessor that ends). No I/O and no clock: times are milliseconds from any start.

use crate::control::{FailedUpgrade, SupervisorStatus};
use std::time::Duration;

/// A successor has this long to take clients; then the predecessor stays.
pub const READY_TIMEOUT_MS: u64 = 6_000;
/// From SIGTERM to SIGKILL.
pub const TERMINATION_GRACE_MS: u64 = 3_700;
/// Pause before a forwarder that died is restarted: the first, doubled each time, at most the last.
const INITIAL_RESTART_BACKOFF_MS: u64 = 100;
const MAX_RESTART_BACKOFF_MS: u64 = 5_000;
/// One that has served this long before it died has its pauses begin anew.
const BACKOFF_RESET_AFTER_MS: u64 = 10_000;

/// The two places for a process, each with a console of its own.
pub type Slot = usize;

/// What happens to the supervisor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// It begins.
    Start,
    /// Time has passed.
    Tick,
    /// The process at this slot says that it takes clients.
    Ready(Slot),
    /// The process at this slot has ended, or could not be started; how.
    Exited(Slot, String),
    /// It is told to end.
    Shutdown,
}

/// What the supervisor does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Starts this release at this slot.
    Spawn(Slot, String),
    /// Asks the process there whether it takes clients.
    CheckReadiness(Slot),
    /// SIGTERM.
    Terminate(Slot),
    /// SIGKILL.
    Kill(Slot),
    /// Keeps this release as the one to be started from now on.
    PersistRelease(String),
    /// Ends.
    Exit,
}

/// Where a process stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Not yet ready, since then.
    Starting(u64),
    /// Takes clients, since then.
    Serving(u64),
    /// Told to end; killed at that time.
    Terminating(u64),
}

#[derive(Clone, Debug)]
struct Process {
    release: String,
    phase: Phase,
}

/// The supervisor's state.
#[derive(Debug)]
pub struct Machine {
    /// The release to be started.
    target_release: String,
    processes: [Option<Process>; 2],
    /// The slot of the forwarder: of the one that serves, or that is to serve again after it died.
    active_slot: Slot,
    /// When the forwarder that died is to be started again.
    restart_at_ms: Option<u64>,
    consecutive_failures: u32,
    restarts: u64,
    failed_upgrade: Option<FailedUpgrade>,
    shutting_down: bool,
}

impl Machine {
    /// One that is to run this release.
    pub fn new(release: String) -> Self {
        Machine {
            target_release: release,
            processes: [None, None],
            active_slot: 0,
            restart_at_ms: None,
            consecutive_failures: 0,
            restarts: 0,
            failed_upgrade: None,
            shutting_down: false,
        }
    }

    /// Takes an input; what is to be done, in order.
    pub fn step(&mut self, now_ms: u64, input: Input) -> Vec<Effect> {
        match input {
            Input::Start => self.start(now_ms, self.active_slot, self.target_release.clone()),
            Input::Tick => self.on_tick(now_ms),
            Input::Ready(slot) => self.on_ready(now_ms, slot),
            Input::Exited(slot, how) => self.on_exit(now_ms, slot, how),
            Input::Shutdown => self.shut_down(now_ms),
        }
    }

    fn start(&mut self, now_ms: u64, slot: Slot, release: String) -> Vec<Effect> {
        self.restart_at_ms = None;
        self.processes[slot] = Some(Process { release: release.clone(), phase: Phase::Starting(now_ms) });
        vec![Effect::Spawn(slot, release)]
    }

    fn terminate(&mut self, now_ms: u64, slot: Slot) -> Vec<Effect> {
        let Some(process) = &mut self.processes[slot] else { return Vec::new() };
        if matches!(process.phase, Phase::Terminating(_)) {
            return Vec::new();
        }
        process.phase = Phase::Terminating(now_ms + TERMINATION_GRACE_MS);
        vec![Effect::Terminate(slot)]
    }

    fn on_tick(&mut self, now_ms: u64) -> Vec<Effect> {
        let mut effects = Vec::new();
        for slot in 0..self.processes.len() {
            let Some(process) = &mut self.processes[slot] else { continue };
            match process.phase {
                Phase::Starting(since) if slot != self.active_slot && now_ms >= since + READY_TIMEOUT_MS => {
                    let reason = format!("it did not take clients within {READY_TIMEOUT_MS} ms");
                    self.failed_upgrade = Some(FailedUpgrade { release: process.release.clone(), reason });
                    process.phase = Phase::Terminating(u64::MAX);
                    effects.push(Effect::Kill(slot));
                }
                Phase::Starting(_) => effects.push(Effect::CheckReadiness(slot)),
                Phase::Terminating(until) if now_ms >= until => {
                    process.phase = Phase::Terminating(u64::MAX);
                    effects.push(Effect::Kill(slot));
                }
                Phase::Serving(_) | Phase::Terminating(_) => {}
            }
        }
        if !self.shutting_down && self.restart_at_ms.is_some_and(|at| now_ms >= at) {
            effects.extend(self.start(now_ms, self.active_slot, self.target_release.clone()));
        }
        effects
    }

    fn on_ready(&mut self, now_ms: u64, slot: Slot) -> Vec<Effect> {
        let Some(process) = &mut self.processes[slot] else { return Vec::new() };
        if !matches!(process.phase, Phase::Starting(_)) {
            return Vec::new();
        }
        process.phase = Phase::Serving(now_ms);
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

    fn on_exit(&mut self, now_ms: u64, slot: Slot, how: String) -> Vec<Effect> {
        let Some(process) = self.processes[slot].take() else { return Vec::new() };
        if self.shutting_down {
            return if self.processes.iter().all(Option::is_none) { vec![Effect::Exit] } else { Vec::new() };
        }
        if slot != self.active_slot {
            if matches!(process.phase, Phase::Starting(_)) {
                let reason = format!("it ended before it took clients: {how}");
                self.failed_upgrade = Some(FailedUpgrade { release: process.release, reason });
            }
            return Vec::new();
        }
        let other = 1 - slot;
        if let Some(Process { phase: Phase::Starting(_), .. }) = self.processes[other] {
            // The predecessor died beside its successor: that one takes over what is left, and there is nothing to go back to.
            self.active_slot = other;
            return Vec::new();
        }
        if matches!(process.phase, Phase::Serving(since) if now_ms >= since + BACKOFF_RESET_AFTER_MS) {
            self.consecutive_failures = 0;
        }
        let pause = INITIAL_RESTART_BACKOFF_MS
            .saturating_mul(1 << self.consecutive_failures.min(16))
            .min(MAX_RESTART_BACKOFF_MS);
        self.consecutive_failures += 1;
        self.restarts += 1;
        self.restart_at_ms = Some(now_ms + pause);
        Vec::new()
    }

    fn shut_down(&mut self, now_ms: u64) -> Vec<Effect> {
        self.shutting_down = true;
        self.restart_at_ms = None;
        if self.processes.iter().all(Option::is_none) {
            return vec![Effect::Exit];
        }
        (0..self.processes.len()).flat_map(|slot| self.terminate(now_ms, slot)).collect()
    }

    /// Replaces the forwarder by this release. The one that is there stays until the successor takes clients; one that
    /// has it already, or is on its way to it, is left as it is.
    ///
    /// # Errors
    ///
    /// Another upgrade is under way, or the supervisor ends.
    pub fn upgrade(&mut self, now_ms: u64, release: &str) -> Result<Vec<Effect>, &'static str> {
        if self.shutting_down {
            return Err("the supervisor ends");
        }
        let other = 1 - self.active_slot;
        match (&self.processes[self.active_slot], &self.processes[other]) {
            (_, Some(beside)) if beside.release == release && matches!(beside.phase, Phase::Starting(_)) => {
                Ok(Vec::new())
            }
            (Some(here), _) if here.release == release && !matches!(here.phase, Phase::Terminating(_)) => {
                self.failed_upgrade = None;
                Ok(Vec::new())
            }
            (_, Some(_)) => Err("busy: another process still stands beside the one that serves"),
            (Some(Process { phase: Phase::Serving(_), .. }), None) => {
                self.failed_upgrade = None;
                Ok(self.start(now_ms, other, release.to_owned()))
            }
            // Nobody serves: there is nothing to keep, and the next one started is of that release.
            (here, None) => {
                let gone = here.is_none();
                (self.target_release, self.failed_upgrade) = (release.to_owned(), None);
                let mut effects = vec![Effect::PersistRelease(release.to_owned())];
                effects.extend(if gone {
                    self.start(now_ms, self.active_slot, release.to_owned())
                } else {
                    self.terminate(now_ms, self.active_slot)
                });
                Ok(effects)
            }
        }
    }

    /// What it shows to a caller; the numbers of processes are the surroundings' to fill in.
    pub fn status(&self) -> SupervisorStatus {
        let here = self.processes[self.active_slot].as_ref();
        let alone = self.processes[1 - self.active_slot].is_none();
        SupervisorStatus {
            release: here.map_or(&self.target_release, |process| &process.release).clone(),
            slot: self.active_slot,
            settled: alone && here.is_some_and(|process| matches!(process.phase, Phase::Serving(_))),
            restarts: self.restarts,
            failed_upgrade: self.failed_upgrade.clone(),
            pid: None,
        }
    }

    /// How often time has to be told to it.
    pub const TICK: Duration = Duration::from_millis(50);
}

#[cfg(test)]
mod tests;

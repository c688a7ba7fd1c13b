//! A background check of the budget while an experiment waits. It kills all child processes when it finds the budget
//! exceeded.

use super::budget::{Budget, BudgetError, BudgetUsage};
use super::process;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::sync::mpsc::{RecvTimeoutError, Sender, channel};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Interval between two checks of the budget.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

#[derive(Debug, Default)]
struct GuardState {
    highest: BudgetUsage,
    exceeded: Option<BudgetError>,
}

/// Checks the budget on its own thread until it is dropped. If the budget is exceeded or the use cannot be read, the
/// thread kills all children and stops, and the next call of [`Guard::check`] returns the reason.
#[derive(Debug)]
pub struct Guard {
    budget: Budget,
    state: Arc<Mutex<GuardState>>,
    stop: Option<Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Guard {
    /// Starts the thread.
    pub fn start(budget: Budget) -> Self {
        let state = Arc::new(Mutex::new(GuardState::default()));
        let (stop, stopped) = channel::<()>();
        let thread_state = state.clone();
        let thread = thread::spawn(move || {
            while stopped.recv_timeout(CHECK_INTERVAL) == Err(RecvTimeoutError::Timeout) {
                if !check_once(&budget, &thread_state) {
                    kill_children();
                    return;
                }
            }
        });
        Guard { budget, state, stop: Some(stop), thread: Some(thread) }
    }

    /// Returns an error if the experiment exceeds its budget or would exceed it with the needs of the next step. The
    /// first call after the thread has stopped for one of its reasons returns that reason.
    pub fn check(&self, needed: &BudgetUsage) -> Result<(), BudgetError> {
        if let Some(error) = lock(&self.state).exceeded.take() {
            return Err(error);
        }
        self.budget.check_with(needed).map(|_| ())
    }

    /// Returns the maximum of each resource over all checks of the thread so far that found the budget kept.
    pub fn highest(&self) -> BudgetUsage {
        lock(&self.state).highest
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        drop(self.stop.take());
        drop(self.thread.take().map(JoinHandle::join));
    }
}

fn lock(state: &Mutex<GuardState>) -> MutexGuard<'_, GuardState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Checks the budget once. Returns `false` if it is exceeded or the use cannot be read.
fn check_once(budget: &Budget, state: &Mutex<GuardState>) -> bool {
    let checked = budget.check();
    let mut state = lock(state);
    match checked {
        Ok(used) => {
            let highest = &mut state.highest;
            highest.resident = highest.resident.max(used.resident);
            highest.processes = highest.processes.max(used.processes);
            highest.descriptors = highest.descriptors.max(used.descriptors);
            true
        }
        Err(error) => {
            state.exceeded = Some(error);
            false
        }
    }
}

fn kill_children() {
    let own = std::process::id();
    let process_tree = process::process_tree(own).unwrap_or_default();
    for child in process_tree.into_iter().filter(|process| *process != own) {
        let Ok(child) = i32::try_from(child) else { continue };
        // A child that has exited in the meantime needs no signal.
        let _ = kill(Pid::from_raw(child), Signal::SIGKILL);
    }
}

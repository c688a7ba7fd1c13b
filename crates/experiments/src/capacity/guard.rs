//! A background check of the budget while an experiment waits. It kills the children as soon as the budget is exceeded.

use super::budget::{Budget, BudgetError, Used};
use super::process;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::sync::mpsc::{RecvTimeoutError, Sender, channel};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Interval between two checks of the budget.
const EVERY: Duration = Duration::from_millis(250);

#[derive(Debug, Default)]
struct Watched {
    highest: Used,
    over: Option<BudgetError>,
}

/// Checks the budget on its own thread until it is dropped. Once the budget is exceeded, the thread kills all children
/// and stops, and [`Guard::check`] returns the reason.
#[derive(Debug)]
pub struct Guard {
    budget: Budget,
    watched: Arc<Mutex<Watched>>,
    stop: Option<Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Guard {
    /// Starts the thread.
    pub fn start(budget: Budget) -> Self {
        let watched = Arc::new(Mutex::new(Watched::default()));
        let (stop, stopped) = channel::<()>();
        let inner = watched.clone();
        let thread = thread::spawn(move || {
            while stopped.recv_timeout(EVERY) == Err(RecvTimeoutError::Timeout) {
                if !look(&budget, &inner) {
                    end_children();
                    return;
                }
            }
        });
        Guard { budget, watched, stop: Some(stop), thread: Some(thread) }
    }

    /// Returns an error if the experiment exceeds its budget, has exceeded it before, or would exceed it with the needs
    /// of the next step.
    pub fn check(&self, needed: &Used) -> Result<(), BudgetError> {
        if let Some(error) = lock(&self.watched).over.take() {
            return Err(error);
        }
        self.budget.check_with(needed).map(|_| ())
    }

    /// Returns the maximum of each resource over all checks so far.
    pub fn highest(&self) -> Used {
        lock(&self.watched).highest
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        drop(self.stop.take());
        drop(self.thread.take().map(JoinHandle::join));
    }
}

fn lock(watched: &Mutex<Watched>) -> MutexGuard<'_, Watched> {
    watched.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Checks the budget once. Returns `false` if it is exceeded or the use cannot be read.
fn look(budget: &Budget, watched: &Mutex<Watched>) -> bool {
    let checked = budget.check();
    let mut watched = lock(watched);
    match checked {
        Ok(used) => {
            let highest = &mut watched.highest;
            highest.resident = highest.resident.max(used.resident);
            highest.processes = highest.processes.max(used.processes);
            highest.descriptors = highest.descriptors.max(used.descriptors);
            true
        }
        Err(error) => {
            watched.over = Some(error);
            false
        }
    }
}

fn end_children() {
    let own = std::process::id();
    let family = process::family(own).unwrap_or_default();
    for child in family.into_iter().filter(|process| *process != own) {
        let Ok(child) = i32::try_from(child) else { continue };
        // A child that has exited in the meantime needs no signal.
        let _ = kill(Pid::from_raw(child), Signal::SIGKILL);
    }
}

//! A watch over the budget while an experiment waits for something: what goes over it is ended at once.

use super::budget::{Budget, BudgetError, Used};
use super::process;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::sync::mpsc::{RecvTimeoutError, Sender, channel};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// How often the budget is checked.
const EVERY: Duration = Duration::from_millis(250);

#[derive(Debug, Default)]
struct Watched {
    highest: Used,
    over: Option<BudgetError>,
}

/// Checks the budget on a thread of its own until it is dropped. Once something is over it, all children are killed and
/// [`Guard::check`] says why.
#[derive(Debug)]
pub struct Guard {
    budget: Budget,
    watched: Arc<Mutex<Watched>>,
    stop: Option<Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Guard {
    /// Starts to watch.
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

    /// An error where the experiment is over its budget, was so at any moment before, or would be so with what the next
    /// step needs.
    pub fn check(&self, needed: &Used) -> Result<(), BudgetError> {
        if let Some(error) = lock(&self.watched).over.take() {
            return Err(error);
        }
        self.budget.check_with(needed).map(|_| ())
    }

    /// The most that was used so far, each figure for itself.
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

/// Checks once; false where the experiment is over its budget.
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
        // One that has ended meanwhile needs no signal.
        let _ = kill(Pid::from_raw(child), Signal::SIGKILL);
    }
}

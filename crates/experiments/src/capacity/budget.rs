//! Limits on memory, processes and descriptors for an experiment, and the check of its current use against them.

use super::process::{self, ProcessId};
use std::fmt;
use std::io;

/// Divisor of the machine's memory that gives the limit of an experiment.
const MEMORY_DIVISOR: u64 = 2;
/// Maximum number of processes of an experiment, itself included.
const MAX_PROCESSES: usize = 300;
/// Descriptors below each process's limit that stay free, because the runtime and log files need them.
const SPARE_DESCRIPTORS: usize = 64;

/// The resources that an experiment may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// Maximum resident memory of all its processes together, in bytes.
    pub resident: u64,
    /// Maximum number of processes, the experiment itself included.
    pub processes: usize,
}

/// The resources that an experiment uses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BudgetUsage {
    /// Resident bytes of all its processes together. A page that several processes share counts once for each.
    pub resident: u64,
    /// Number of processes, the experiment itself included.
    pub processes: usize,
    /// Open descriptors of all its processes together.
    pub descriptors: usize,
}

/// The reason why an experiment has to stop.
#[derive(Debug)]
pub enum BudgetError {
    /// The experiment uses more memory than its budget allows.
    Memory {
        /// Bytes used, or needed by the next step.
        bytes: u64,
        /// Bytes allowed.
        allowed: u64,
    },
    /// The experiment has more processes than its budget allows.
    Processes {
        /// Number of processes that run, plus those that the next step needs.
        count: usize,
        /// Processes allowed.
        allowed: usize,
    },
    /// One process has more descriptors open than its limit allows after the reserve is subtracted.
    Descriptors {
        /// Id of the process.
        process: ProcessId,
        /// Descriptors that are open, plus those that the next step needs.
        count: usize,
        /// Descriptors allowed.
        allowed: usize,
    },
    /// The current use cannot be read from the system.
    Unreadable(io::Error),
}

impl fmt::Display for BudgetError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BudgetError::Memory { bytes, allowed } => {
                let (mib, allowed) = (bytes >> 20, allowed >> 20);
                write!(f, "over the budget: {mib} MiB of memory, {allowed} MiB are allowed")
            }
            BudgetError::Processes { count, allowed } => {
                write!(f, "over the budget: {count} processes, {allowed} are allowed")
            }
            BudgetError::Descriptors { process, count, allowed } => {
                write!(f, "over the budget: {count} descriptors in process {process}, {allowed} are allowed")
            }
            BudgetError::Unreadable(error) => {
                write!(f, "cannot read the experiment's resource usage: {error}")
            }
        }
    }
}

impl std::error::Error for BudgetError {}

impl From<io::Error> for BudgetError {
    fn from(error: io::Error) -> Self {
        BudgetError::Unreadable(error)
    }
}

impl From<BudgetError> for String {
    fn from(error: BudgetError) -> Self {
        error.to_string()
    }
}

impl Budget {
    /// Returns half of this machine's memory and [`MAX_PROCESSES`].
    pub fn for_this_machine() -> Result<Self, BudgetError> {
        Ok(Budget { resident: process::machine_memory()? / MEMORY_DIVISOR, processes: MAX_PROCESSES })
    }

    /// Measures what this process and its children use. Returns an error if that exceeds the budget.
    pub fn check(&self) -> Result<BudgetUsage, BudgetError> {
        self.check_with(&BudgetUsage::default())
    }

    /// Does the same as [`Budget::check`] with the needs of the next step added. The descriptors of the next step are
    /// counted for this process.
    pub fn check_with(&self, needed: &BudgetUsage) -> Result<BudgetUsage, BudgetError> {
        let own = std::process::id();
        let mut used = BudgetUsage::default();
        for process in process::process_tree(own)? {
            // A child may exit between the listing and the measurement, so an error of a child is skipped. This process
            // still runs.
            let measured = process::usage(process).and_then(|usage| {
                Ok((usage.resident, process::descriptors(process)?, process::descriptor_limit(process)?))
            });
            let (resident, descriptors, limit) = match measured {
                Ok(measured) => measured,
                Err(_) if process != own => continue,
                Err(error) => return Err(error.into()),
            };
            let planned = if process == own { needed.descriptors } else { 0 };
            check_descriptors(process, descriptors + planned, limit)?;
            used.resident += resident;
            used.processes += 1;
            used.descriptors += descriptors;
        }
        self.check_totals(used.resident + needed.resident, used.processes + needed.processes)?;
        Ok(used)
    }

    fn check_totals(&self, bytes: u64, count: usize) -> Result<(), BudgetError> {
        if bytes > self.resident {
            return Err(BudgetError::Memory { bytes, allowed: self.resident });
        }
        if count > self.processes {
            return Err(BudgetError::Processes { count, allowed: self.processes });
        }
        Ok(())
    }
}

fn check_descriptors(process: ProcessId, count: usize, limit: usize) -> Result<(), BudgetError> {
    let allowed = limit.saturating_sub(SPARE_DESCRIPTORS);
    if count > allowed {
        return Err(BudgetError::Descriptors { process, count, allowed });
    }
    Ok(())
}

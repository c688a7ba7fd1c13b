//! The part of the machine that an experiment may use, held against what it and its children use.

use super::process::{self, ProcessId};
use std::fmt;
use std::io;

/// An experiment may use the machine's memory divided by this.
const PART_OF_MEMORY: u64 = 2;
/// An experiment may have so many processes, itself included.
const PROCESSES: usize = 300;
/// Each process may use its limit on descriptors but for this many, which the runtime and log files need.
const SPARE_DESCRIPTORS: usize = 64;

/// The most that an experiment may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// Resident bytes of all its processes together.
    pub resident: u64,
    /// Processes.
    pub processes: usize,
}

/// What an experiment uses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Used {
    /// Resident bytes of all its processes together; pages that they share count for each.
    pub resident: u64,
    /// Processes, itself included.
    pub processes: usize,
    /// Descriptors that they have open together.
    pub descriptors: usize,
}

/// Why an experiment has to stop.
#[derive(Debug)]
pub enum BudgetError {
    /// More memory than it may use.
    Memory {
        /// Bytes used, or needed by the next step.
        bytes: u64,
        /// Bytes allowed.
        most: u64,
    },
    /// More processes than it may have.
    Processes {
        /// Processes that there are, or that the next step needs.
        count: usize,
        /// Processes allowed.
        most: usize,
    },
    /// One process has more descriptors open than its limit lets it have in safety.
    Descriptors {
        /// The process.
        process: ProcessId,
        /// Descriptors open, or needed by the next step.
        count: usize,
        /// Descriptors allowed.
        most: usize,
    },
    /// The system does not say what is used.
    Unknown(io::Error),
}

impl fmt::Display for BudgetError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BudgetError::Memory { bytes, most } => {
                let (mib, most) = (bytes >> 20, most >> 20);
                write!(f, "over the budget: {mib} MiB of memory, {most} MiB are allowed")
            }
            BudgetError::Processes { count, most } => {
                write!(f, "over the budget: {count} processes, {most} are allowed")
            }
            BudgetError::Descriptors { process, count, most } => {
                write!(f, "over the budget: {count} descriptors in process {process}, {most} are allowed")
            }
            BudgetError::Unknown(error) => write!(f, "what the experiment uses cannot be read: {error}"),
        }
    }
}

impl std::error::Error for BudgetError {}

impl From<io::Error> for BudgetError {
    fn from(error: io::Error) -> Self {
        BudgetError::Unknown(error)
    }
}

impl From<BudgetError> for String {
    fn from(error: BudgetError) -> Self {
        error.to_string()
    }
}

impl Budget {
    /// Half of this machine's memory, and [`PROCESSES`].
    pub fn of_this_machine() -> Result<Self, BudgetError> {
        Ok(Budget { resident: process::machine_memory()? / PART_OF_MEMORY, processes: PROCESSES })
    }

    /// Measures what this process and its children use; an error where it is over the budget.
    pub fn check(&self) -> Result<Used, BudgetError> {
        self.check_with(&Used::default())
    }

    /// The same with what a next step will need on top, its descriptors in this process.
    pub fn check_with(&self, needed: &Used) -> Result<Used, BudgetError> {
        let own = std::process::id();
        let mut used = Used::default();
        for process in process::family(own)? {
            // A child may end between being listed and being measured; this process does not.
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
        self.check_sums(used.resident + needed.resident, used.processes + needed.processes)?;
        Ok(used)
    }

    fn check_sums(&self, bytes: u64, count: usize) -> Result<(), BudgetError> {
        if bytes > self.resident {
            return Err(BudgetError::Memory { bytes, most: self.resident });
        }
        if count > self.processes {
            return Err(BudgetError::Processes { count, most: self.processes });
        }
        Ok(())
    }
}

fn check_descriptors(process: ProcessId, count: usize, limit: usize) -> Result<(), BudgetError> {
    let most = limit.saturating_sub(SPARE_DESCRIPTORS);
    if count > most {
        return Err(BudgetError::Descriptors { process, count, most });
    }
    Ok(())
}

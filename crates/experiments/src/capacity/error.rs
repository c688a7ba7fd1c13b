//! Errors of the capacity experiments.

use super::budget::BudgetError;
use std::fmt;
use std::io;
use std::time::Duration;

/// The reason why a measurement failed.
#[derive(Debug)]
pub enum CapacityError {
    /// An operation exceeded its time limit.
    TooSlow {
        /// The awaited condition, as text for the message.
        what: &'static str,
        /// The time limit that was exceeded.
        limit: Duration,
    },
    /// The forwarder has exited. Holds the last lines of its log.
    Ended(Vec<String>),
    /// The forwarder refused a message that it should have accepted.
    Refused {
        /// Status code of the response.
        status: u16,
    },
    /// The experiment exceeds its budget, or its use cannot be read.
    Budget(BudgetError),
    /// An operation on a file, a socket or a process failed.
    Io(io::Error),
}

impl fmt::Display for CapacityError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CapacityError::TooSlow { what, limit } => write!(f, "{what}: not within {} s", limit.as_secs()),
            CapacityError::Ended(lines) => write!(f, "the forwarder has exited: {}", lines.join(" / ")),
            CapacityError::Refused { status } => write!(f, "a message was refused with status {status}"),
            CapacityError::Budget(error) => error.fmt(f),
            CapacityError::Io(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for CapacityError {}

impl From<io::Error> for CapacityError {
    fn from(error: io::Error) -> Self {
        CapacityError::Io(error)
    }
}

impl From<BudgetError> for CapacityError {
    fn from(error: BudgetError) -> Self {
        CapacityError::Budget(error)
    }
}

impl From<CapacityError> for String {
    fn from(error: CapacityError) -> Self {
        error.to_string()
    }
}

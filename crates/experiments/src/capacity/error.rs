//! Why a capacity experiment cannot go on.

use super::budget::BudgetError;
use std::fmt;
use std::io;
use std::time::Duration;

/// Why a measurement was not taken.
#[derive(Debug)]
pub enum CapacityError {
    /// It was not done within its time limit.
    TooSlow {
        /// What was waited for.
        what: &'static str,
        /// The time limit.
        limit: Duration,
    },
    /// The forwarder has ended; its last lines.
    Ended(Vec<String>),
    /// The forwarder turned a message away that it should have taken on.
    TurnedAway {
        /// The status that it answered.
        status: u16,
    },
    /// The experiment uses more of the machine than it may.
    Budget(BudgetError),
    /// A file or a socket failed.
    Io(io::Error),
}

impl fmt::Display for CapacityError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CapacityError::TooSlow { what, limit } => write!(f, "{what}: not within {} s", limit.as_secs()),
            CapacityError::Ended(lines) => write!(f, "the forwarder has ended: {}", lines.join(" / ")),
            CapacityError::TurnedAway { status } => write!(f, "a message was answered {status}"),
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

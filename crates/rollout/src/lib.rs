//! Rolls a change of settings or of the program out over a fleet of forwarders in stages: canary forwarders, which have
//! the change, and baseline forwarders, which do not, serve side by side; a stage whose canaries do worse stops the
//! rollout, and every canary is rolled back ([docs/rollout.md](../../../docs/rollout.md)).
//!
//! - [`plan`]: the plan file: the fleet, the change, the stages, the criteria.
//! - [`progress`] and [`progress_file`]: the durable record, and the next step chosen from it alone.
//! - [`run`](mod@run): carries the steps out; a stage and its observations are modules below it.
//! - [`analysis`] and [`metrics`]: canaries against baseline over the same interval; no I/O, no clock.
//! - [`console`]: metrics from a forwarder's console.
//! - [`change`]: a change applied to one forwarder, or rolled back.
//!
//! Nothing here runs inside a forwarder: the rollout is a command of its own, and `serve` knows nothing of it.

#![deny(missing_docs)]

pub mod analysis;
pub mod change;
pub mod console;
pub mod error;
mod files;
pub mod metrics;
mod observation;
pub mod plan;
mod process_metrics;
pub mod progress;
pub mod progress_file;
mod release_upgrade;
mod reload;
pub mod run;
mod stage;

pub use plan::Plan;
pub use run::{Outcome, RolloutError, run};

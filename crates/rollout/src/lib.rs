//! Rolls a change of settings or of the program out over a fleet of forwarders in stages. In each stage, canary
//! forwarders with the change and baseline forwarders without it serve side by side. If the canaries of a stage do
//! worse, the rollout stops and every canary is rolled back ([docs/rollout.md](../../../docs/rollout.md)).
//!
//! - [`plan`]: the plan file, which gives the fleet, the change, the stages and the criteria.
//! - [`progress`] and [`progress_file`]: the durable progress record, and the choice of the next step from it alone.
//! - [`run`](mod@run): the loop that carries out the steps. It uses the private modules `stage` and `observation`.
//! - [`analysis`] and [`metrics`]: the comparison of canaries and baseline over the same interval, without I/O or a
//!   clock.
//! - [`console`]: the metrics from a forwarder's console.
//! - [`change`]: applying a change to one forwarder, and rolling it back.
//!
//! No part of this package runs inside a forwarder. The rollout is a separate command, and `serve` does not depend on
//! it.

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

//! A change of settings rolled out over a fleet of forwarders in stages, old and new side by side, stopped and
//! taken back when a stage does worse ([docs/rollout.md](../../../docs/rollout.md)).
//!
//! - [`plan`]: the plan, in the configuration's form.
//! - [`judge`]: the changed group against the unchanged one over the same interval; no I/O.
//! - [`progress`]: the durable record and the next step chosen from it alone; no I/O but the file.
//! - [`fleet`]: figures from consoles; a change made or taken back by a whole file and SIGHUP.
//! - [`run`](mod@run): the steps carried out.
//!
//! Nothing here runs inside a forwarder: the tool is a command of its own, and `serve` knows nothing of it.

pub mod fleet;
pub mod judge;
pub mod plan;
pub mod progress;
pub mod run;

pub use plan::Plan;
pub use run::{Outcome, RolloutError, run};

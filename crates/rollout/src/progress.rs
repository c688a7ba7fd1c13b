//! The progress of a rollout and its next step. The next step is chosen from the records alone, so that a rollout that
//! was killed at any step and started again continues from what was written.
//!
//! Every operation on a forwarder is recorded before it begins and after it is done. A forwarder whose change began but
//! is not recorded as done may be partly changed. It is changed again, which is idempotent, or rolled back if the
//! rollout was stopped. A forwarder recorded as changed is never changed again.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// One record of the progress file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ProgressRecord {
    /// The rollout began.
    #[serde(rename = "began")]
    Started {
        /// [`crate::plan::Plan::digest`] of the rollout's plan.
        #[serde(rename = "plan")]
        plan_digest: String,
    },
    /// The change of the forwarder of this name began.
    #[serde(rename = "changing")]
    ChangeStarted(String),
    /// The change of the forwarder of this name was made. For settings this means that the configuration file is
    /// written and the reload requested. Whether the forwarder found the file valid is not checked.
    #[serde(rename = "changed")]
    ChangeApplied(String),
    /// The stage of this number (from 0) passed.
    #[serde(rename = "passed")]
    StagePassed(usize),
    /// The rollout was stopped, for this reason.
    #[serde(rename = "stopped")]
    Stopped(String),
    /// The rollback of the forwarder of this name began.
    #[serde(rename = "taking_back")]
    RollbackStarted(String),
    /// The forwarder of this name has its state from before the change again.
    #[serde(rename = "taken_back")]
    RolledBack(String),
    /// All forwarders have the change and the rollout is over.
    #[serde(rename = "done")]
    Completed,
}

/// The next step of a rollout.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Apply the change to the forwarder at this index of the plan.
    ApplyChange(usize),
    /// Run the stage of this number, from 0.
    RunStage(usize),
    /// Roll back all forwarders that need it. The index is that of the first of them in the plan. The caller may roll
    /// back others before it.
    RollBack(usize),
    /// Record that all forwarders have the change.
    RecordCompletion,
    /// Nothing is left to do, because all forwarders have the change.
    Completed,
    /// Nothing is left to do, because the rollout was stopped for this reason and all changes are rolled back.
    RolledBack(String),
}

/// The state of a rollout, as its records give it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Progress {
    /// The digest of the plan that began the rollout. `None` before the rollout begins.
    pub plan_digest: Option<String>,
    /// Names of forwarders whose change began, whether it was made or not.
    pub change_started: BTreeSet<String>,
    /// Names of forwarders that have the change.
    pub changed: BTreeSet<String>,
    /// Number of stages that passed.
    pub stages_passed: usize,
    /// Why the rollout was stopped. `None` if it was not stopped.
    pub stop_reason: Option<String>,
    /// Names of forwarders that are rolled back.
    pub rolled_back: BTreeSet<String>,
    /// Whether all forwarders have the change and the rollout is over.
    pub completed: bool,
}

impl Progress {
    /// Returns the state after these records, applied in their order.
    pub fn of(records: &[ProgressRecord]) -> Progress {
        let mut progress = Progress::default();
        records.iter().for_each(|record| progress.apply(record));
        progress
    }

    /// Applies the next record.
    pub fn apply(&mut self, record: &ProgressRecord) {
        match record {
            ProgressRecord::Started { plan_digest } => self.plan_digest = Some(plan_digest.clone()),
            ProgressRecord::ChangeStarted(name) => {
                self.change_started.insert(name.clone());
            }
            ProgressRecord::ChangeApplied(name) => {
                self.changed.insert(name.clone());
            }
            ProgressRecord::StagePassed(stage) => self.stages_passed = self.stages_passed.max(stage + 1),
            // The first reason is kept.
            ProgressRecord::Stopped(reason) => {
                self.stop_reason.get_or_insert_with(|| reason.clone());
            }
            ProgressRecord::RollbackStarted(_) => {}
            ProgressRecord::RolledBack(name) => {
                self.rolled_back.insert(name.clone());
            }
            ProgressRecord::Completed => self.completed = true,
        }
    }

    /// Returns whether this forwarder was changed, completely or perhaps partly, and is not rolled back yet.
    pub fn needs_rollback(&self, forwarder: &str) -> bool {
        self.change_started.contains(forwarder) && !self.rolled_back.contains(forwarder)
    }

    /// Returns the next step for a fleet of these names, in the plan's order, and stages of these sizes.
    pub fn next_step(&self, names: &[&str], stage_sizes: &[usize]) -> Step {
        if self.completed {
            return Step::Completed;
        }
        if let Some(reason) = &self.stop_reason {
            return match names.iter().position(|name| self.needs_rollback(name)) {
                Some(index) => Step::RollBack(index),
                None => Step::RolledBack(reason.clone()),
            };
        }
        // A change that began is finished before anything else begins.
        let is_unfinished =
            |name: &&str| self.change_started.contains(*name) && !self.changed.contains(*name);
        if let Some(index) = names.iter().position(is_unfinished) {
            return Step::ApplyChange(index);
        }
        let stage = self.stages_passed;
        let Some(&stage_size) = stage_sizes.get(stage) else { return Step::RecordCompletion };
        if self.changed.len() < stage_size {
            let next = names.iter().position(|name| !self.changed.contains(*name));
            return next.map_or(Step::RecordCompletion, Step::ApplyChange);
        }
        // The last stage has no baseline to compare with, so it is over once all forwarders have the change.
        let is_last = stage + 1 == stage_sizes.len();
        if is_last { Step::RecordCompletion } else { Step::RunStage(stage) }
    }
}

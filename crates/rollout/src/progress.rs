//! What a rollout has done, and what it does next. The next step is chosen from the records alone, so that a rollout
//! killed at any step and started again goes on from what was written.
//!
//! Every act on a forwarder is recorded before it is begun and after it is done. A forwarder begun but not done may be
//! half-changed: it is changed again, which leaves what doing it once does, or, after a stop, rolled back. A forwarder
//! recorded as changed is never changed again.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// One record of the progress file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ProgressRecord {
    /// The rollout began.
    #[serde(rename = "began")]
    Started {
        /// [`crate::plan::Plan::digest`] of its plan.
        #[serde(rename = "plan")]
        plan_digest: String,
    },
    /// The change of the forwarder of this name began.
    #[serde(rename = "changing")]
    ChangeStarted(String),
    /// The change of the forwarder of this name was made. For settings this means that their file is written and the
    /// reload requested; whether the forwarder found the file valid is not checked.
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
    /// The forwarder of this name has its state from before the change.
    #[serde(rename = "taken_back")]
    RolledBack(String),
    /// All forwarders have the change, and the rollout is over.
    #[serde(rename = "done")]
    Completed,
}

/// What is to be done next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Apply the change to the forwarder at this index of the plan.
    ApplyChange(usize),
    /// Run the stage of this number, from 0.
    RunStage(usize),
    /// Roll back: the forwarder at this index of the plan is the first that has to be. The caller may take others before.
    RollBack(usize),
    /// Record that all forwarders have the change.
    RecordCompletion,
    /// Nothing more: all forwarders have the change.
    Completed,
    /// Nothing more: the rollout was stopped for this reason, and all is rolled back.
    RolledBack(String),
}

/// The records folded.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Progress {
    /// The digest of the plan that began the rollout.
    pub plan_digest: Option<String>,
    /// Names of forwarders whose change began, done or not.
    pub change_started: BTreeSet<String>,
    /// Names of forwarders that have the change.
    pub changed: BTreeSet<String>,
    /// Number of stages that passed.
    pub stages_passed: usize,
    /// Why the rollout was stopped, if it was.
    pub stop_reason: Option<String>,
    /// Names of forwarders that are rolled back.
    pub rolled_back: BTreeSet<String>,
    /// All forwarders have the change, and the rollout is over.
    pub completed: bool,
}

impl Progress {
    /// Folds the records in their order.
    pub fn of(records: &[ProgressRecord]) -> Progress {
        let mut progress = Progress::default();
        records.iter().for_each(|record| progress.apply(record));
        progress
    }

    /// Takes in the next record.
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

    /// Whether this forwarder was changed, completely or perhaps by half, and is not rolled back.
    pub fn needs_rollback(&self, forwarder: &str) -> bool {
        self.change_started.contains(forwarder) && !self.rolled_back.contains(forwarder)
    }

    /// The next step, for a fleet of these names (in the plan's order) and stages of these sizes.
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
        // The last stage has no baseline left: it is over once all have the change.
        let is_last = stage + 1 == stage_sizes.len();
        if is_last { Step::RecordCompletion } else { Step::RunStage(stage) }
    }
}

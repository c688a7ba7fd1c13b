//! What a rollout has done, as records in a file of the state folder, and what it does next. The choice is made
//! from the records alone, so that a tool killed at any step and started again goes on from what was written.
//!
//! Every act on a forwarder is written as begun before it is done and as done after: a forwarder begun but not
//! done may be half-changed, and is changed again (the act writes a whole file and asks for a reload, so doing it
//! twice leaves what doing it once does) or, after a stop, taken back. A forwarder recorded as changed is never
//! changed again.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::io::Write;
use std::path::{Path, PathBuf};

/// One line of the record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ProgressRecord {
    /// The rollout began, by the plan of this digest.
    #[serde(rename = "began")]
    Started {
        /// [`crate::plan::Plan::digest`].
        #[serde(rename = "plan")]
        plan_digest: String,
    },
    /// The change of this forwarder began.
    #[serde(rename = "changing")]
    ChangeStarted(String),
    /// This forwarder has the change.
    #[serde(rename = "changed")]
    ChangeApplied(String),
    /// The stage of this number (from 0) passed.
    #[serde(rename = "passed")]
    StagePassed(usize),
    /// The rollout stops; why.
    #[serde(rename = "stopped")]
    Stopped(String),
    /// Taking this forwarder back began.
    #[serde(rename = "taking_back")]
    RollbackStarted(String),
    /// This forwarder has its configuration from before.
    #[serde(rename = "taken_back")]
    RolledBack(String),
    /// All forwarders have the change, and the rollout is over.
    #[serde(rename = "done")]
    Completed,
}

/// What is to be done next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Change this forwarder (by its place in the plan).
    ApplyChange(usize),
    /// Run the stage of this number and judge it.
    RunStage(usize),
    /// Take this forwarder back.
    RollBack(usize),
    /// Write that all have it.
    Complete,
    /// Nothing more: all have the change.
    Completed,
    /// Nothing more: it was stopped and all are taken back; why it stopped.
    RolledBack(String),
}

/// What the records say.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Progress {
    /// The digest of the plan that began it.
    pub plan_digest: Option<String>,
    /// Forwarders whose change began, done or not.
    pub change_started: BTreeSet<String>,
    /// Forwarders that have the change.
    pub changed: BTreeSet<String>,
    /// Stages that passed.
    pub stages_passed: usize,
    /// Why it stopped, if it did.
    pub stop_reason: Option<String>,
    /// Forwarders taken back.
    pub rolled_back: BTreeSet<String>,
    /// Whether it is over.
    pub completed: bool,
}

impl Progress {
    /// Folds the records in their order.
    pub fn of(records: &[ProgressRecord]) -> Progress {
        let mut progress = Progress::default();
        for record in records {
            match record {
                ProgressRecord::Started { plan_digest: plan } => progress.plan_digest = Some(plan.clone()),
                ProgressRecord::ChangeStarted(name) => drop(progress.change_started.insert(name.clone())),
                ProgressRecord::ChangeApplied(name) => drop(progress.changed.insert(name.clone())),
                ProgressRecord::StagePassed(stage) => {
                    progress.stages_passed = progress.stages_passed.max(stage + 1)
                }
                ProgressRecord::Stopped(why) => {
                    progress.stop_reason = progress.stop_reason.clone().or(Some(why.clone()))
                }
                ProgressRecord::RollbackStarted(_) => {}
                ProgressRecord::RolledBack(name) => drop(progress.rolled_back.insert(name.clone())),
                ProgressRecord::Completed => progress.completed = true,
            }
        }
        progress
    }

    /// The next step, for a fleet of these names (in the plan's order) and these counts of stages.
    pub fn next_step(&self, names: &[&str], counts: &[usize]) -> Step {
        if self.completed {
            return Step::Completed;
        }
        if let Some(why) = &self.stop_reason {
            // Whatever was touched, changed whole or perhaps half, goes back.
            return match names
                .iter()
                .position(|n| self.change_started.contains(*n) && !self.rolled_back.contains(*n))
            {
                Some(place) => Step::RollBack(place),
                None => Step::RolledBack(why.clone()),
            };
        }
        // One begun and not done is finished first, before anything else is begun.
        if let Some(place) =
            names.iter().position(|n| self.change_started.contains(*n) && !self.changed.contains(*n))
        {
            return Step::ApplyChange(place);
        }
        let stage = self.stages_passed;
        let Some(&wanted) = counts.get(stage) else { return Step::Complete };
        if self.changed.len() < wanted {
            let place = names.iter().position(|n| !self.changed.contains(*n));
            return place.map_or(Step::Complete, Step::ApplyChange);
        }
        // The last stage has nobody left to be compared with: it is over once all have the change.
        if stage + 1 == counts.len() { Step::Complete } else { Step::RunStage(stage) }
    }
}

/// The file of records, appended a line at a time; each line is on disk before the act it announces.
#[derive(Debug)]
pub struct ProgressFile {
    path: PathBuf,
    file: std::fs::File,
}

impl ProgressFile {
    /// Opens the record in this folder, reading what it holds; a torn last line, which a kill leaves, is cut off.
    pub fn open(folder: &Path) -> std::io::Result<(ProgressFile, Vec<ProgressRecord>)> {
        std::fs::create_dir_all(folder)?;
        let path = folder.join("rollout.jsonl");
        let text = match std::fs::read_to_string(&path) {
            Ok(text) => text,
            Err(error) if error.kind() == std::io::ErrorKind::NotFound => String::new(),
            Err(error) => return Err(error),
        };
        let mut records = Vec::new();
        let mut whole = 0;
        for line in text.split_inclusive('\n') {
            let Some(line) = line.strip_suffix('\n') else { break };
            match serde_json::from_str(line) {
                Ok(record) => records.push(record),
                Err(error) => return Err(std::io::Error::new(std::io::ErrorKind::InvalidData, error)),
            }
            whole += line.len() + 1;
        }
        let file = std::fs::OpenOptions::new().create(true).append(true).open(&path)?;
        file.set_len(whole as u64)?;
        Ok((ProgressFile { path, file }, records))
    }

    /// Where it is.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Appends a record and waits until it is on disk.
    pub fn write(&mut self, record: &ProgressRecord) -> std::io::Result<()> {
        let mut line = serde_json::to_string(record).map_err(std::io::Error::other)?;
        line.push('\n');
        self.file.write_all(line.as_bytes())?;
        self.file.sync_data()
    }
}

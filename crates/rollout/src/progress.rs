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
#[serde(rename_all = "snake_case")]
pub enum Record {
    /// The rollout began, by the plan of this digest.
    Began {
        /// [`crate::plan::Plan::digest`].
        plan: String,
    },
    /// The change of this forwarder began.
    Changing(String),
    /// This forwarder has the change.
    Changed(String),
    /// The stage of this number (from 0) passed.
    Passed(usize),
    /// The rollout stops; why.
    Stopped(String),
    /// Taking this forwarder back began.
    TakingBack(String),
    /// This forwarder has its configuration from before.
    TakenBack(String),
    /// All forwarders have the change, and the rollout is over.
    Done,
}

/// What is to be done next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Change this forwarder (by its place in the plan).
    Change(usize),
    /// Run the stage of this number and judge it.
    Bake(usize),
    /// Take this forwarder back.
    TakeBack(usize),
    /// Write that all have it.
    Finish,
    /// Nothing more: all have the change.
    Over,
    /// Nothing more: it was stopped and all are taken back; why it stopped.
    TakenBack(String),
}

/// What the records say.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Progress {
    /// The digest of the plan that began it.
    pub plan: Option<String>,
    /// Forwarders whose change began, done or not.
    pub touched: BTreeSet<String>,
    /// Forwarders that have the change.
    pub changed: BTreeSet<String>,
    /// Stages that passed.
    pub passed: usize,
    /// Why it stopped, if it did.
    pub stopped: Option<String>,
    /// Forwarders taken back.
    pub taken_back: BTreeSet<String>,
    /// Whether it is over.
    pub done: bool,
}

impl Progress {
    /// Folds the records in their order.
    pub fn of(records: &[Record]) -> Progress {
        let mut progress = Progress::default();
        for record in records {
            match record {
                Record::Began { plan } => progress.plan = Some(plan.clone()),
                Record::Changing(name) => drop(progress.touched.insert(name.clone())),
                Record::Changed(name) => drop(progress.changed.insert(name.clone())),
                Record::Passed(stage) => progress.passed = progress.passed.max(stage + 1),
                Record::Stopped(why) => progress.stopped = progress.stopped.clone().or(Some(why.clone())),
                Record::TakingBack(_) => {}
                Record::TakenBack(name) => drop(progress.taken_back.insert(name.clone())),
                Record::Done => progress.done = true,
            }
        }
        progress
    }

    /// The next step, for a fleet of these names (in the plan's order) and these counts of stages.
    pub fn next(&self, names: &[&str], counts: &[usize]) -> Step {
        if self.done {
            return Step::Over;
        }
        if let Some(why) = &self.stopped {
            // Whatever was touched, changed whole or perhaps half, goes back.
            return match names.iter().position(|n| self.touched.contains(*n) && !self.taken_back.contains(*n))
            {
                Some(place) => Step::TakeBack(place),
                None => Step::TakenBack(why.clone()),
            };
        }
        // One begun and not done is finished first, before anything else is begun.
        if let Some(place) =
            names.iter().position(|n| self.touched.contains(*n) && !self.changed.contains(*n))
        {
            return Step::Change(place);
        }
        let stage = self.passed;
        let Some(&wanted) = counts.get(stage) else { return Step::Finish };
        if self.changed.len() < wanted {
            let place = names.iter().position(|n| !self.changed.contains(*n));
            return place.map_or(Step::Finish, Step::Change);
        }
        // The last stage has nobody left to be compared with: it is over once all have the change.
        if stage + 1 == counts.len() { Step::Finish } else { Step::Bake(stage) }
    }
}

/// The file of records, appended a line at a time; each line is on disk before the act it announces.
#[derive(Debug)]
pub struct Log {
    path: PathBuf,
    file: std::fs::File,
}

impl Log {
    /// Opens the record in this folder, reading what it holds; a torn last line, which a kill leaves, is cut off.
    pub fn open(folder: &Path) -> std::io::Result<(Log, Vec<Record>)> {
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
        Ok((Log { path, file }, records))
    }

    /// Where it is.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Appends a record and waits until it is on disk.
    pub fn write(&mut self, record: &Record) -> std::io::Result<()> {
        let mut line = serde_json::to_string(record).map_err(std::io::Error::other)?;
        line.push('\n');
        self.file.write_all(line.as_bytes())?;
        self.file.sync_data()
    }
}

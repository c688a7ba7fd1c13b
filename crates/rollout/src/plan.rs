//! The plan of a rollout, a JSON file with the fleet, the change, the stages and the criteria. The file is read and
//! checked completely before the first forwarder is changed.

mod stage_size;

use crate::analysis::Criteria;
use orchidyoke_supervisor::protocol::is_release_name;
use serde::Deserialize;
use serde_json::Value;
use stage_size::StageSize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Default warm-up after an upgrade, in milliseconds. A new process is slow until its concurrency windows have grown.
const DEFAULT_RELEASE_WARM_UP_MS: u64 = 5_000;
const DEFAULT_POLL_INTERVAL_MS: u64 = 1_000;

/// One forwarder of the fleet.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlannedForwarder {
    /// The forwarder's name, unique in the plan. The progress record refers to the forwarder by this name.
    pub name: String,
    /// The addresses of the forwarder's console.
    #[serde(rename = "console")]
    pub consoles: ConsoleAddresses,
    /// The configuration file that the forwarder reads at its start and at SIGHUP. Required if settings are changed.
    #[serde(rename = "config")]
    pub config_file: Option<PathBuf>,
    /// A file that holds the process id. It is used only if the forwarder has no supervisor.
    pub pid_file: Option<PathBuf>,
    /// The control address of the forwarder's supervisor (`orchidyoke supervise`). Required if the release is changed.
    #[serde(rename = "control")]
    pub supervisor: Option<SocketAddr>,
}

/// The addresses of a forwarder's console.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(untagged)]
pub enum ConsoleAddresses {
    /// One address for all processes of the forwarder.
    Single(SocketAddr),
    /// One address for each of the supervisor's slots.
    PerSlot([SocketAddr; 2]),
}

impl ConsoleAddresses {
    /// Returns the address of the console of the process in this slot of the supervisor.
    pub fn at_slot(&self, slot: usize) -> SocketAddr {
        match self {
            ConsoleAddresses::Single(address) => *address,
            ConsoleAddresses::PerSlot(addresses) => addresses[slot % addresses.len()],
        }
    }
}

/// The change that the rollout applies.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A change of settings: a JSON merge patch (RFC 7386) that is applied to each forwarder's own configuration.
    Settings(Value),
    /// A change of the program: the name of a release in each supervisor's folder of releases.
    Release(String),
}

/// A plan as read.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// The fleet, in the order in which its forwarders are changed.
    pub forwarders: Vec<PlannedForwarder>,
    /// A change of settings: a JSON merge patch (RFC 7386) that is applied to each forwarder's own configuration.
    pub settings_patch: Option<Value>,
    /// A change of the program: the name of a release.
    pub release: Option<String>,
    /// Number of forwarders that have the change in each stage, as a count (`"1"`), a share (`"10%"`) or `"all"`. Each
    /// stage must have more than the stage before.
    pub stages: Vec<String>,
    /// Warm-up after the changes of a stage, in milliseconds. During the warm-up latencies are ignored, and outcomes
    /// can stop the stage but not pass it. If absent, 0 for settings and 5 s for a release.
    pub warm_up_ms: Option<u64>,
    /// Bake time: how long each stage runs after the warm-up before it may pass, in milliseconds.
    pub bake_ms: u64,
    /// Longest bake time of a stage that stays undecided, in milliseconds. A rollback also retries unreachable
    /// forwarders for this long.
    pub max_bake_ms: u64,
    /// Pause between two reads of all metrics during a stage, in milliseconds.
    #[serde(rename = "poll_ms", default = "default_poll_interval_ms")]
    pub poll_interval_ms: u64,
    /// The thresholds of the comparison.
    #[serde(default)]
    pub criteria: Criteria,
}

fn default_poll_interval_ms() -> u64 {
    DEFAULT_POLL_INTERVAL_MS
}

/// Why a plan cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum PlanError {
    /// The file could not be read.
    #[error("cannot read the plan {}: {source}", .path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The file is not a plan.
    #[error("cannot parse the plan {}: {source}", .path.display())]
    Parse {
        /// The file.
        path: PathBuf,
        /// The parser's error.
        source: serde_json::Error,
    },
    /// The plan cannot be carried out.
    #[error("the plan cannot be carried out: {0}")]
    Invalid(#[from] PlanFault),
}

/// Why a plan cannot be carried out.
#[derive(Debug, thiserror::Error)]
pub enum PlanFault {
    /// The fleet has fewer than two forwarders, so there is no baseline to compare with.
    #[error("the fleet has fewer than two forwarders, so there is no baseline to compare with")]
    FleetTooSmall,
    /// Two forwarders have the same name.
    #[error("two forwarders are named {0}")]
    DuplicateName(String),
    /// The interval between reads is 0, or the bake time is longer than the longest bake time.
    #[error("poll_ms must be over 0 and bake_ms at most max_bake_ms")]
    InvalidTimes,
    /// A stage's share is not a number or out of range.
    #[error("stage {0}: a share must be over 0% and at most 100%")]
    InvalidShare(String),
    /// A stage's count is not a number or out of range.
    #[error("stage {stage}: a count must be from 1 to {fleet_size}")]
    InvalidCount {
        /// The stage as given.
        stage: String,
        /// The number of forwarders.
        fleet_size: usize,
    },
    /// A stage has no more forwarders than the stage before.
    #[error("stage {0} has no more forwarders than the stage before")]
    StageNotLarger(String),
    /// The last stage leaves forwarders out.
    #[error("the last stage must reach all forwarders")]
    LastStageNotAll,
    /// The plan gives no change, or both kinds of change.
    #[error("it must give either settings_patch or release")]
    NotOneChange,
    /// The release is not a plain file name.
    #[error("release {0:?} is not the name of a file")]
    InvalidReleaseName(String),
    /// A forwarder lacks keys that the change needs.
    #[error("forwarder {forwarder} needs {needs}")]
    MissingForChange {
        /// The forwarder's name.
        forwarder: String,
        /// The keys that the change needs.
        needs: &'static str,
    },
}

impl Plan {
    /// Reads and checks a plan.
    ///
    /// # Errors
    ///
    /// The file cannot be read or is not a plan, or the plan cannot be carried out.
    pub fn read(path: &Path) -> Result<Plan, PlanError> {
        let text = std::fs::read(path).map_err(|source| PlanError::Read { path: path.to_owned(), source })?;
        let plan: Plan = serde_json::from_slice(&text)
            .map_err(|source| PlanError::Parse { path: path.to_owned(), source })?;
        plan.stage_sizes()?;
        plan.change()?;
        Ok(plan)
    }

    /// Returns how long the warm-up after the changes of a stage lasts.
    pub fn warm_up(&self) -> Duration {
        let default_ms = if self.release.is_some() { DEFAULT_RELEASE_WARM_UP_MS } else { 0 };
        Duration::from_millis(self.warm_up_ms.unwrap_or(default_ms))
    }

    /// Returns the change that the plan applies.
    ///
    /// # Errors
    ///
    /// The plan contains no change or two changes, the name of its release is not valid, or a forwarder lacks a key
    /// that the change needs.
    pub fn change(&self) -> Result<Change, PlanError> {
        let change = match (&self.settings_patch, &self.release) {
            (Some(patch), None) => Change::Settings(patch.clone()),
            (None, Some(release)) if is_release_name(release) => Change::Release(release.clone()),
            (None, Some(release)) => return Err(PlanFault::InvalidReleaseName(release.clone()).into()),
            _ => return Err(PlanFault::NotOneChange.into()),
        };
        for forwarder in &self.forwarders {
            forwarder.check_for(&change)?;
        }
        Ok(change)
    }

    /// Returns a digest of the fleet's names, the change and the stages. A rollout continues from a progress record
    /// only if its plan has the same digest as the plan that began the record.
    pub fn digest(&self) -> String {
        let names: Vec<&str> = self.forwarders.iter().map(|forwarder| forwarder.name.as_str()).collect();
        let text = serde_json::json!([names, self.settings_patch, self.release, self.stages]).to_string();
        format!("{:016x}", xxhash_rust::xxh3::xxh3_64(text.as_bytes()))
    }

    /// Returns the number of forwarders that have the change in each stage. The numbers increase, and the last stage
    /// has all forwarders.
    ///
    /// # Errors
    ///
    /// The fleet, its names, the times or the stages are invalid.
    pub fn stage_sizes(&self) -> Result<Vec<usize>, PlanError> {
        self.check_fleet()?;
        if self.poll_interval_ms == 0 || self.bake_ms > self.max_bake_ms {
            return Err(PlanFault::InvalidTimes.into());
        }
        let fleet_size = self.forwarders.len();
        let mut sizes = Vec::new();
        for stage in &self.stages {
            let size = StageSize::parse(stage, fleet_size)?.forwarder_count(fleet_size);
            if sizes.last().is_some_and(|last| *last >= size) {
                return Err(PlanFault::StageNotLarger(stage.clone()).into());
            }
            sizes.push(size);
        }
        if sizes.last() != Some(&fleet_size) {
            return Err(PlanFault::LastStageNotAll.into());
        }
        Ok(sizes)
    }

    fn check_fleet(&self) -> Result<(), PlanFault> {
        if self.forwarders.len() < 2 {
            return Err(PlanFault::FleetTooSmall);
        }
        let mut names: Vec<&str> = self.forwarders.iter().map(|forwarder| forwarder.name.as_str()).collect();
        names.sort_unstable();
        match names.windows(2).find(|pair| pair[0] == pair[1]) {
            Some(pair) => Err(PlanFault::DuplicateName(pair[0].to_owned())),
            None => Ok(()),
        }
    }
}

impl PlannedForwarder {
    /// Checks that this forwarder has the keys that the change needs.
    fn check_for(&self, change: &Change) -> Result<(), PlanFault> {
        let has_supervisor = self.supervisor.is_some();
        let (is_complete, needs) = match change {
            Change::Settings(_) => (
                self.config_file.is_some() && (self.pid_file.is_some() || has_supervisor),
                "config and a pid_file or control",
            ),
            Change::Release(_) => (
                has_supervisor && matches!(self.consoles, ConsoleAddresses::PerSlot(_)),
                "a control and two consoles",
            ),
        };
        if is_complete {
            Ok(())
        } else {
            Err(PlanFault::MissingForChange { forwarder: self.name.clone(), needs })
        }
    }
}

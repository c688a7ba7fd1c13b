//! The plan of a rollout, in the configuration's form (JSON): the fleet, the change, the stages and the criteria.

use crate::judge::Criteria;
use orchidyoke_supervisor::protocol::is_release_name;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// One forwarder of the fleet.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlannedForwarder {
    /// Its name, unique in the plan; the record speaks of it by this.
    pub name: String,
    /// Where its console answers.
    #[serde(rename = "console")]
    pub consoles: ConsoleAddresses,
    /// The configuration file it reads at a start and at SIGHUP; needed where settings are changed.
    #[serde(rename = "config")]
    pub config_file: Option<PathBuf>,
    /// A file that holds the number of its process, where no control address gives it.
    pub pid_file: Option<PathBuf>,
    /// Where its supervisor (`orchidyoke supervise`) is asked; needed where the release is changed.
    #[serde(rename = "control")]
    pub supervisor: Option<SocketAddr>,
}

/// Where a forwarder's console answers.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(untagged)]
pub enum ConsoleAddresses {
    /// At one address.
    Single(SocketAddr),
    /// At two in turn, as its supervisor gives them to one process after another.
    PerSlot([SocketAddr; 2]),
}

impl ConsoleAddresses {
    /// That of the process at this place of its supervisor's.
    pub fn at_slot(&self, slot: usize) -> SocketAddr {
        match self {
            ConsoleAddresses::Single(address) => *address,
            ConsoleAddresses::PerSlot(addresses) => addresses[slot % 2],
        }
    }
}

/// What is changed.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// Settings: a JSON merge patch (RFC 7386) laid over each forwarder's own configuration.
    Settings(Value),
    /// The program: the release of this name, in each supervisor's folder of releases.
    Release(String),
}

/// A plan as read.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// The fleet, in the order in which its forwarders are changed.
    pub forwarders: Vec<PlannedForwarder>,
    /// The change, where it is one of settings: a JSON merge patch (RFC 7386) laid over each forwarder's own
    /// configuration.
    pub settings_patch: Option<Value>,
    /// The change, where it is one of the program: the name of a release.
    pub release: Option<String>,
    /// How many forwarders have the change once each stage has begun: a count (`"1"`), a share (`"10%"`) or
    /// `"all"`; each stage has more than the one before.
    pub stages: Vec<String>,
    /// How long after a stage's changes its times to delivery do not count yet, and its ends only against it, in
    /// milliseconds: a process that has just started is slow until its windows have grown, whatever its release. Where
    /// it is left out: none for settings, 5 s for a release.
    pub warm_up_ms: Option<u64>,
    /// How long each stage runs from then on before it may pass, in milliseconds.
    pub bake_ms: u64,
    /// How long a stage may wait for enough traffic before it is stopped as undecided, in milliseconds.
    pub max_bake_ms: u64,
    /// How often figures are read during a stage, in milliseconds.
    #[serde(rename = "poll_ms", default = "default_poll_interval_ms")]
    pub poll_interval_ms: u64,
    /// What a stage is judged by.
    #[serde(default)]
    pub criteria: Criteria,
}

fn default_poll_interval_ms() -> u64 {
    1000
}

/// Why a plan cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum PlanError {
    /// The file could not be read.
    #[error("the plan cannot be read: {0}")]
    Read(#[from] std::io::Error),
    /// It is no plan.
    #[error("the plan is not in form: {0}")]
    Invalid(#[from] serde_json::Error),
    /// It is a plan that cannot be carried out; why.
    #[error("the plan cannot be carried out: {0}")]
    Unworkable(String),
}

impl Plan {
    /// Reads and checks a plan whole.
    pub fn read(path: &Path) -> Result<Plan, PlanError> {
        let plan: Plan = serde_json::from_slice(&std::fs::read(path)?)?;
        plan.stage_sizes()?;
        plan.change()?;
        Ok(plan)
    }

    /// How long after a stage's changes its times to delivery do not count yet.
    pub fn warm_up(&self) -> Duration {
        let usual = if self.release.is_some() { 5_000 } else { 0 };
        Duration::from_millis(self.warm_up_ms.unwrap_or(usual))
    }

    /// What it changes; every forwarder has to give what that needs.
    pub fn change(&self) -> Result<Change, PlanError> {
        let unworkable = |why: String| Err(PlanError::Unworkable(why));
        let (change, needs, has): (_, _, fn(&PlannedForwarder) -> bool) =
            match (&self.settings_patch, &self.release) {
                (Some(patch), None) => {
                    (Change::Settings(patch.clone()), "config and a pid_file or control", |member| {
                        member.config_file.is_some()
                            && (member.pid_file.is_some() || member.supervisor.is_some())
                    })
                }
                (None, Some(release)) if !is_release_name(release) => {
                    return unworkable(format!("release {release:?} is not the name of a file"));
                }
                (None, Some(release)) => {
                    (Change::Release(release.clone()), "a control and two consoles", |member| {
                        member.supervisor.is_some() && matches!(member.consoles, ConsoleAddresses::PerSlot(_))
                    })
                }
                _ => return unworkable("it gives either settings_patch or release".into()),
            };
        match self.forwarders.iter().find(|member| !has(member)) {
            Some(member) => unworkable(format!("forwarder {} needs {needs}", member.name)),
            None => Ok(change),
        }
    }

    /// A digest of the plan's text as understood, so that a record is resumed only by the plan that began it.
    pub fn digest(&self) -> String {
        let names: Vec<&str> = self.forwarders.iter().map(|m| m.name.as_str()).collect();
        let text = serde_json::json!([names, self.settings_patch, self.release, self.stages]).to_string();
        format!("{:016x}", xxhash_rust::xxh3::xxh3_64(text.as_bytes()))
    }

    /// How many forwarders have the change once each stage has begun, rising, the last one all.
    pub fn stage_sizes(&self) -> Result<Vec<usize>, PlanError> {
        let size = self.forwarders.len();
        let unworkable = |why: String| Err(PlanError::Unworkable(why));
        if size < 2 {
            return unworkable("a fleet of fewer than two has nothing to compare with".into());
        }
        let mut names: Vec<&str> = self.forwarders.iter().map(|m| m.name.as_str()).collect();
        names.sort_unstable();
        if let Some(pair) = names.windows(2).find(|pair| pair[0] == pair[1]) {
            return unworkable(format!("two forwarders are named {}", pair[0]));
        }
        if self.poll_interval_ms == 0 || self.bake_ms > self.max_bake_ms {
            return unworkable("poll_ms must be over 0 and bake_ms at most max_bake_ms".into());
        }
        let mut counts = Vec::new();
        for stage in &self.stages {
            let count = if stage == "all" {
                size
            } else if let Some(share) = stage.strip_suffix('%') {
                match share.parse::<f64>() {
                    Ok(share) if share > 0.0 && share <= 100.0 => {
                        ((share / 100.0) * size as f64).ceil() as usize
                    }
                    _ => return unworkable(format!("stage {stage}: a share is over 0% and at most 100%")),
                }
            } else {
                match stage.parse::<usize>() {
                    Ok(count) if (1..=size).contains(&count) => count,
                    _ => return unworkable(format!("stage {stage}: a count is from 1 to {size}")),
                }
            };
            if counts.last().is_some_and(|last| *last >= count) {
                return unworkable(format!("stage {stage} has no more forwarders than the one before"));
            }
            counts.push(count);
        }
        if counts.last() != Some(&size) {
            return unworkable("the last stage must reach all forwarders".into());
        }
        Ok(counts)
    }
}

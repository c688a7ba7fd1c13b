//! Carries out a rollout. The progress record determines each step, and operations on forwarders are recorded before
//! and after they are done.

use crate::change;
use crate::error::ForwarderError;
use crate::plan::{Change, Plan, PlanError, PlannedForwarder};
use crate::progress::{Progress, ProgressRecord, Step};
use crate::progress_file::{ProgressFile, ProgressFileError};
use crate::stage::run_stage;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// Pause between rounds of a rollback while some forwarder cannot be reached.
const ROLLBACK_RETRY_DELAY: Duration = Duration::from_secs(1);

/// How a rollout ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Every forwarder has the change.
    Completed,
    /// The rollout was stopped, and every forwarder whose change had begun has its state from before.
    RolledBack {
        /// Why the rollout was stopped, for operators.
        reason: String,
    },
}

/// Why a rollout could not continue. The progress record holds the steps done so far, and a new start continues from
/// there.
#[derive(Debug, thiserror::Error)]
pub enum RolloutError {
    /// The plan cannot be carried out.
    #[error(transparent)]
    Plan(#[from] PlanError),
    /// The progress record could not be read or written.
    #[error(transparent)]
    ProgressFile(#[from] ProgressFileError),
    /// The progress record was begun by another plan.
    #[error("the progress record {} was begun by plan {recorded}, not by this one ({given})", .file.display())]
    OtherPlan {
        /// The file.
        file: PathBuf,
        /// The digest of the plan that began it.
        recorded: String,
        /// The digest of this plan.
        given: String,
    },
    /// A forwarder could not be rolled back within the plan's `max_bake_ms`. Some forwarders may still have the change.
    /// A new start with the same plan and folder continues the rollback.
    #[error("forwarder {forwarder}: cannot roll it back: {source}")]
    Rollback {
        /// The name of the forwarder.
        forwarder: String,
        /// Why its rollback failed.
        source: ForwarderError,
    },
}

/// Carries out a plan, continuing from the progress record in the state folder.
///
/// # Errors
///
/// The plan cannot be carried out, the record cannot be used, or a forwarder cannot be rolled back within the plan's
/// longest bake time.
pub fn run(plan: &Plan, state_folder: &Path) -> Result<Outcome, RolloutError> {
    let stage_sizes = plan.stage_sizes()?;
    let change = plan.change()?;
    let (file, records) = ProgressFile::open(state_folder)?;
    let progress = Progress::of(&records);
    let mut rollout = Rollout { plan, change, stage_sizes, state_folder, file, progress };
    rollout.begin_or_resume()?;
    rollout.run()
}

struct Rollout<'a> {
    plan: &'a Plan,
    change: Change,
    /// Number of forwarders that have the change in each stage.
    stage_sizes: Vec<usize>,
    state_folder: &'a Path,
    file: ProgressFile,
    progress: Progress,
}

impl Rollout<'_> {
    fn begin_or_resume(&mut self) -> Result<(), RolloutError> {
        let digest = self.plan.digest();
        match &self.progress.plan_digest {
            None => {
                self.record(ProgressRecord::Started { plan_digest: digest.clone() })?;
                tracing::info!(
                    plan = %digest,
                    forwarders = self.plan.forwarders.len(),
                    stages = ?self.stage_sizes,
                    "rollout begins"
                );
                Ok(())
            }
            Some(recorded) if *recorded != digest => Err(RolloutError::OtherPlan {
                file: self.file.path().to_owned(),
                recorded: recorded.clone(),
                given: digest,
            }),
            Some(_) => {
                tracing::info!(
                    record = %self.file.path().display(),
                    stages_passed = self.progress.stages_passed,
                    changed = self.progress.changed.len(),
                    stopped = self.progress.stop_reason.is_some(),
                    "rollout resumes"
                );
                Ok(())
            }
        }
    }

    fn run(&mut self) -> Result<Outcome, RolloutError> {
        let plan = self.plan;
        let names: Vec<&str> = plan.forwarders.iter().map(|forwarder| forwarder.name.as_str()).collect();
        loop {
            match self.progress.next_step(&names, &self.stage_sizes) {
                Step::ApplyChange(index) => self.apply_change(&plan.forwarders[index])?,
                Step::RunStage(stage) => self.run_stage(stage)?,
                Step::RollBack(_) => self.roll_back()?,
                Step::RecordCompletion => {
                    self.record(ProgressRecord::Completed)?;
                    tracing::info!("rollout done: every forwarder has the change");
                }
                Step::Completed => return Ok(Outcome::Completed),
                Step::RolledBack(reason) => return Ok(Outcome::RolledBack { reason }),
            }
        }
    }

    fn apply_change(&mut self, forwarder: &PlannedForwarder) -> Result<(), RolloutError> {
        self.record(ProgressRecord::ChangeStarted(forwarder.name.clone()))?;
        match change::apply(self.state_folder, forwarder, &self.change) {
            Ok(()) => {
                self.record(ProgressRecord::ChangeApplied(forwarder.name.clone()))?;
                tracing::info!(forwarder = %forwarder.name, "forwarder changed");
                Ok(())
            }
            Err(error) => {
                tracing::warn!(forwarder = %forwarder.name, %error, "rollout stops");
                let reason = format!("forwarder {} could not be changed: {error}", forwarder.name);
                self.record(ProgressRecord::Stopped(reason))
            }
        }
    }

    fn run_stage(&mut self, stage: usize) -> Result<(), RolloutError> {
        match run_stage(self.plan, &self.progress.changed, stage) {
            Ok(()) => {
                self.record(ProgressRecord::StagePassed(stage))?;
                tracing::info!(stage, "stage passed");
                Ok(())
            }
            Err(reason) => {
                tracing::warn!(stage, %reason, "rollout stops");
                self.record(ProgressRecord::Stopped(reason.to_string()))
            }
        }
    }

    /// Rolls back in rounds, each in the plan's order, until no forwarder needs a rollback. Repeats rounds for up to
    /// the plan's `max_bake_ms`, the longest bake time of a stage. After that time, returns the first failure of the
    /// last round. A new start of the rollout continues the rollback.
    fn roll_back(&mut self) -> Result<(), RolloutError> {
        let deadline = Instant::now() + Duration::from_millis(self.plan.max_bake_ms);
        while let Some(failure) = self.roll_back_round()? {
            if Instant::now() >= deadline {
                return Err(failure);
            }
            std::thread::sleep(ROLLBACK_RETRY_DELAY);
        }
        Ok(())
    }

    /// Tries once to roll back each forwarder that needs it, and returns the first failure. A forwarder that cannot be
    /// reached does not delay the rollback of the others to a later round.
    fn roll_back_round(&mut self) -> Result<Option<RolloutError>, RolloutError> {
        let plan = self.plan;
        let mut first_failure = None;
        for forwarder in &plan.forwarders {
            if !self.progress.needs_rollback(&forwarder.name) {
                continue;
            }
            self.record(ProgressRecord::RollbackStarted(forwarder.name.clone()))?;
            match change::roll_back(self.state_folder, forwarder, &self.change) {
                Ok(()) => {
                    self.record(ProgressRecord::RolledBack(forwarder.name.clone()))?;
                    tracing::info!(forwarder = %forwarder.name, "forwarder rolled back");
                }
                Err(source) => {
                    let forwarder = forwarder.name.clone();
                    tracing::warn!(forwarder, error = %source, "cannot roll the forwarder back yet");
                    first_failure.get_or_insert(RolloutError::Rollback { forwarder, source });
                }
            }
        }
        Ok(first_failure)
    }

    /// Writes a record to the file and applies it to the progress.
    fn record(&mut self, record: ProgressRecord) -> Result<(), RolloutError> {
        self.file.append(&record)?;
        self.progress.apply(&record);
        Ok(())
    }
}

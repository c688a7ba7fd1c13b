//! The rollout carried out: the steps that the records choose, each written before and after it is done.

use crate::fleet::{self, ForwarderError, Process};
use crate::judge::{Metrics, Verdict, judge};
use crate::plan::{Plan, PlanError, PlannedForwarder};
use crate::progress::{Progress, ProgressFile, ProgressRecord, Step};
use std::collections::BTreeMap;
use std::path::Path;
use std::time::{Duration, Instant};

/// How a rollout ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Every forwarder has the change.
    Completed,
    /// It was stopped, and every forwarder that was touched has its configuration from before; why.
    RolledBack(String),
}

/// Why a rollout could not go on; the record says how far it came, and a new start goes on from there.
#[derive(Debug, thiserror::Error)]
pub enum RolloutError {
    /// The plan.
    #[error(transparent)]
    Plan(#[from] PlanError),
    /// The record could not be read or written.
    #[error("the record of the rollout: {0}")]
    Record(#[from] std::io::Error),
    /// The record was begun by another plan.
    #[error("the record in the state folder was begun by plan {0}, not by this one ({1})")]
    OtherPlan(String, String),
    /// A forwarder could not be changed or taken back; which, and why.
    #[error("forwarder {0}: {1}")]
    Forwarder(String, ForwarderError),
}

/// Carries out a plan, going on from what the record in `state` says.
pub fn run(plan: &Plan, state: &Path) -> Result<Outcome, RolloutError> {
    let (counts, change) = (plan.stage_sizes()?, plan.change()?);
    let names: Vec<&str> = plan.forwarders.iter().map(|m| m.name.as_str()).collect();
    let (mut log, records) = ProgressFile::open(state)?;
    let mut progress = Progress::of(&records);
    let digest = plan.digest();
    match &progress.plan_digest {
        Some(began) if *began != digest => return Err(RolloutError::OtherPlan(began.clone(), digest)),
        Some(_) => tracing::info!(record = %log.path().display(), passed = progress.stages_passed,
            changed = progress.changed.len(), stopped = progress.stop_reason.is_some(), "rollout resumes"),
        None => {
            log.write(&ProgressRecord::Started { plan_digest: digest.clone() })?;
            tracing::info!(plan = %digest, forwarders = names.len(), ?counts, "rollout begins");
        }
    }
    loop {
        match progress.next_step(&names, &counts) {
            Step::Completed => return Ok(Outcome::Completed),
            Step::RolledBack(why) => return Ok(Outcome::RolledBack(why)),
            Step::Complete => {
                record(&mut log, &mut progress, ProgressRecord::Completed)?;
                tracing::info!("rollout done: every forwarder has the change");
            }
            Step::ApplyChange(place) => {
                let member = &plan.forwarders[place];
                record(&mut log, &mut progress, ProgressRecord::ChangeStarted(member.name.clone()))?;
                match fleet::apply_change(state, member, &change) {
                    Ok(()) => {
                        record(&mut log, &mut progress, ProgressRecord::ChangeApplied(member.name.clone()))?;
                        tracing::info!(forwarder = %member.name, "forwarder changed");
                    }
                    Err(error) => {
                        let why = format!("forwarder {} could not be changed: {error}", member.name);
                        tracing::warn!(forwarder = %member.name, %error, "rollout stops");
                        record(&mut log, &mut progress, ProgressRecord::Stopped(why))?;
                    }
                }
            }
            Step::RollBack(_) => {
                let until = Instant::now() + Duration::from_millis(plan.max_bake_ms);
                while let Some(error) = roll_back_round(plan, state, &mut log, &mut progress)? {
                    if Instant::now() >= until {
                        return Err(error);
                    }
                    std::thread::sleep(ROLLBACK_RETRY_DELAY);
                }
            }
            Step::RunStage(stage) => match run_stage(plan, &progress, stage) {
                Ok(()) => {
                    record(&mut log, &mut progress, ProgressRecord::StagePassed(stage))?;
                    tracing::info!(stage, "stage passed");
                }
                Err(why) => {
                    tracing::warn!(stage, reason = %why, "rollout stops");
                    record(&mut log, &mut progress, ProgressRecord::Stopped(why))?;
                }
            },
        }
    }
}

/// Pause between rounds of taking back, while some forwarder cannot be reached.
const ROLLBACK_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Takes back every forwarder that was touched and is not yet taken back; one that cannot be reached does not hold up
/// the others. Gives why the first of those that are left could not be.
fn roll_back_round(
    plan: &Plan,
    state: &Path,
    log: &mut ProgressFile,
    progress: &mut Progress,
) -> Result<Option<RolloutError>, RolloutError> {
    let (change, mut first) = (plan.change()?, None);
    for member in &plan.forwarders {
        if !progress.change_started.contains(&member.name) || progress.rolled_back.contains(&member.name) {
            continue;
        }
        record(log, progress, ProgressRecord::RollbackStarted(member.name.clone()))?;
        match fleet::roll_back(state, member, &change) {
            Ok(()) => {
                record(log, progress, ProgressRecord::RolledBack(member.name.clone()))?;
                tracing::info!(forwarder = %member.name, "forwarder taken back");
            }
            Err(error) => {
                tracing::warn!(forwarder = %member.name, %error, "forwarder not taken back yet");
                first.get_or_insert(RolloutError::Forwarder(member.name.clone(), error));
            }
        }
    }
    Ok(first)
}

/// Writes a record, and counts it from then on.
fn record(
    log: &mut ProgressFile,
    progress: &mut Progress,
    record: ProgressRecord,
) -> Result<(), RolloutError> {
    log.write(&record)?;
    *progress = Progress::of(&[records_of(progress), vec![record]].concat());
    Ok(())
}

/// The records that fold to this progress, in a form that folds the same; kept short by its sets.
fn records_of(progress: &Progress) -> Vec<ProgressRecord> {
    let mut records = Vec::new();
    records.extend(progress.plan_digest.clone().map(|plan| ProgressRecord::Started { plan_digest: plan }));
    records.extend(progress.change_started.iter().map(|n| ProgressRecord::ChangeStarted(n.clone())));
    records.extend(progress.changed.iter().map(|n| ProgressRecord::ChangeApplied(n.clone())));
    records.extend((0..progress.stages_passed).map(ProgressRecord::StagePassed));
    records.extend(progress.stop_reason.clone().map(ProgressRecord::Stopped));
    records.extend(progress.rolled_back.iter().map(|n| ProgressRecord::RolledBack(n.clone())));
    records.extend(progress.completed.then_some(ProgressRecord::Completed));
    records
}

/// What one forwarder's figures showed over a stage.
#[derive(Default)]
struct Observation {
    /// Its process and the counts at the stage's start, or at the start of the process if that was later.
    base: Option<Process>,
    /// What earlier processes of it did in this stage, as far as it was read.
    earlier_processes: Option<Metrics>,
    /// Counts when last read.
    last: Option<Metrics>,
    /// Reads that failed, and starts seen.
    failed_reads: u32,
    restarts: u32,
}

impl Observation {
    /// Takes in a reading. Another process than before has another number, or counts that are lower than they were
    /// (a number may come again); its counts began at 0.
    fn read(&mut self, name: &str, now: Result<Process, ForwarderError>) {
        let now = match now {
            Ok(now) => now,
            Err(error) => {
                self.failed_reads += 1;
                tracing::warn!(forwarder = name, %error, "forwarder does not answer");
                return;
            }
        };
        let same = |base: &Process| {
            base.pid == now.pid && self.last.as_ref().is_none_or(|last| now.reading.since(last).is_some())
        };
        if self.base.as_ref().is_some_and(|base| !same(base)) {
            tracing::warn!(forwarder = name, pid = now.pid, "forwarder has started again");
            self.restarts += 1;
            self.earlier_processes = Some(self.since_start());
            // What it is known not to tell, it did not tell from its start either.
            let mut zero = Metrics::default();
            zero.latencies = zero.latencies.filter(|_| now.reading.latencies.is_some());
            self.base = Some(Process { pid: now.pid, reading: zero });
        }
        let reading = now.reading.clone();
        self.base.get_or_insert(now);
        self.last = Some(reading);
    }

    /// What was read until now does not count, but for going down.
    fn begin(&mut self) {
        self.earlier_processes = None;
        if let (Some(base), Some(last)) = (&mut self.base, &self.last) {
            base.reading = last.clone();
        }
    }

    /// What it did in this stage, as far as it was read.
    fn since_start(&self) -> Metrics {
        let since = match (&self.base, &self.last) {
            (Some(base), Some(last)) => last.since(&base.reading),
            _ => None,
        };
        let since = since.unwrap_or_default();
        self.earlier_processes
            .as_ref()
            .map_or(since.clone(), |earlier_processes| earlier_processes.plus(&since))
    }

    fn went_down(&self) -> bool {
        self.failed_reads > 0 || self.restarts > 0
    }
}

/// Forwarders read at once: one that does not answer holds up no more than these.
const MAX_CONCURRENT_READS: usize = 32;

/// Reads all forwarders' figures.
fn read_all(members: &[PlannedForwarder]) -> Vec<(&PlannedForwarder, Result<Process, ForwarderError>)> {
    let mut read = Vec::with_capacity(members.len());
    for members in members.chunks(MAX_CONCURRENT_READS) {
        std::thread::scope(|scope| {
            let reading: Vec<_> =
                members.iter().map(|member| (member, scope.spawn(|| fleet::read_process(member)))).collect();
            read.extend(reading.into_iter().map(|(member, reading)| {
                let lost = |_| Err(ForwarderError::InvalidMetrics("its reader panicked".to_owned()));
                (member, reading.join().unwrap_or_else(lost))
            }));
        });
    }
    read
}

/// Runs a stage until it passes (Ok) or must stop (the reason).
///
/// A forwarder that does not answer its console or is seen to start again counts against the stage if it has the
/// change and no forwarder without it went down in the same stage: where both groups lose forwarders, the cause is
/// taken to be common, not the change.
fn run_stage(plan: &Plan, progress: &Progress, stage: usize) -> Result<(), String> {
    let mut began = Instant::now();
    let mut warming = Some(plan.warm_up()).filter(|warm_up| !warm_up.is_zero());
    let (bake, most) = (Duration::from_millis(plan.bake_ms), Duration::from_millis(plan.max_bake_ms));
    let mut seen: BTreeMap<&str, Observation> =
        plan.forwarders.iter().map(|m| (m.name.as_str(), Observation::default())).collect();
    tracing::info!(stage, changed = progress.changed.len(), "stage begins");
    loop {
        for (member, now) in read_all(&plan.forwarders) {
            if let Some(seen) = seen.get_mut(member.name.as_str()) {
                seen.read(&member.name, now);
            }
        }
        let group = |changed: bool| {
            let of = seen.iter().filter(move |(name, _)| progress.changed.contains(**name) == changed);
            let down: Vec<&str> = of.clone().filter(|(_, s)| s.went_down()).map(|(name, _)| *name).collect();
            (of.map(|(_, seen)| seen.since_start()).collect::<Vec<_>>(), down)
        };
        let sum = |group: &[Metrics]| group.iter().fold(Metrics::default(), |sum, one| sum.plus(one));
        let ((changed, changed_down), (unchanged, unchanged_down)) = (group(true), group(false));
        let (changed, all_unchanged) = (sum(&changed), sum(&unchanged));
        if !changed_down.is_empty() && unchanged_down.is_empty() {
            return Err(format!("stage {stage}: changed forwarders went down: {}", changed_down.join(", ")));
        }
        if let Some(warm_up) = warming {
            // Slow for a while is what a new process is; refusing and failing more is not.
            let ends = |reading: &Metrics| Metrics { latencies: None, ..reading.clone() };
            let others: Vec<Metrics> = unchanged.iter().map(ends).collect();
            if let Verdict::Worse(why) = judge(&ends(&changed), &others, &plan.criteria, false) {
                return Err(format!("stage {stage}: {why}"));
            }
            if began.elapsed() >= warm_up {
                seen.values_mut().for_each(Observation::begin);
                (began, warming) = (Instant::now(), None);
            }
            std::thread::sleep(Duration::from_millis(plan.poll_interval_ms));
            continue;
        }
        let baked = began.elapsed() >= bake;
        match judge(&changed, &unchanged, &plan.criteria, baked) {
            Verdict::Pass => {
                tracing::info!(stage, changed = ?changed.outcomes, unchanged = ?all_unchanged.outcomes, "stage judged not worse");
                return Ok(());
            }
            Verdict::Worse(why) => return Err(format!("stage {stage}: {why}")),
            Verdict::Undecided if began.elapsed() >= most => {
                return Err(format!(
                    "stage {stage}: undecided after {} ms ({} ended changed, {} unchanged)",
                    plan.max_bake_ms,
                    changed.outcomes.total(),
                    all_unchanged.outcomes.total()
                ));
            }
            Verdict::Undecided => std::thread::sleep(Duration::from_millis(plan.poll_interval_ms)),
        }
    }
}

#[cfg(test)]
mod tests;

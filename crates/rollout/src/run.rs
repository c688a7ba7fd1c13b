//! The rollout carried out: the steps that the records choose, each written before and after it is done.

use crate::fleet::{self, ReachError};
use crate::judge::{Tally, Verdict, judge};
use crate::plan::{Plan, PlanError};
use crate::progress::{Log, Progress, Record, Step};
use std::collections::BTreeMap;
use std::path::Path;
use std::time::{Duration, Instant};

/// How a rollout ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Every forwarder has the change.
    Done,
    /// It was stopped, and every forwarder that was touched has its configuration from before; why.
    TakenBack(String),
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
    Reach(String, ReachError),
}

/// Carries out a plan, going on from what the record in `state` says.
pub fn run(plan: &Plan, state: &Path) -> Result<Outcome, RolloutError> {
    let counts = plan.counts()?;
    let names: Vec<&str> = plan.forwarders.iter().map(|m| m.name.as_str()).collect();
    let (mut log, records) = Log::open(state)?;
    let mut progress = Progress::of(&records);
    let digest = plan.digest();
    match &progress.plan {
        Some(began) if *began != digest => return Err(RolloutError::OtherPlan(began.clone(), digest)),
        Some(_) => tracing::info!(record = %log.path().display(), passed = progress.passed,
            changed = progress.changed.len(), stopped = progress.stopped.is_some(), "rollout resumes"),
        None => {
            log.write(&Record::Began { plan: digest.clone() })?;
            tracing::info!(plan = %digest, forwarders = names.len(), ?counts, "rollout begins");
        }
    }
    let note = |log: &mut Log, progress: &mut Progress, record: Record| -> Result<(), RolloutError> {
        log.write(&record)?;
        *progress = Progress::of(&[records_of(progress), vec![record]].concat());
        Ok(())
    };
    loop {
        match progress.next(&names, &counts) {
            Step::Over => return Ok(Outcome::Done),
            Step::TakenBack(why) => return Ok(Outcome::TakenBack(why)),
            Step::Finish => {
                note(&mut log, &mut progress, Record::Done)?;
                tracing::info!("rollout done: every forwarder has the change");
            }
            Step::Change(place) => {
                let member = &plan.forwarders[place];
                note(&mut log, &mut progress, Record::Changing(member.name.clone()))?;
                match fleet::change(state, member, &plan.settings_patch) {
                    Ok(()) => {
                        note(&mut log, &mut progress, Record::Changed(member.name.clone()))?;
                        tracing::info!(forwarder = %member.name, "forwarder changed");
                    }
                    Err(error) => {
                        let why = format!("forwarder {} could not be changed: {error}", member.name);
                        tracing::warn!(forwarder = %member.name, %error, "rollout stops");
                        note(&mut log, &mut progress, Record::Stopped(why))?;
                    }
                }
            }
            Step::TakeBack(place) => {
                let member = &plan.forwarders[place];
                note(&mut log, &mut progress, Record::TakingBack(member.name.clone()))?;
                fleet::take_back(state, member)
                    .map_err(|error| RolloutError::Reach(member.name.clone(), error))?;
                note(&mut log, &mut progress, Record::TakenBack(member.name.clone()))?;
                tracing::info!(forwarder = %member.name, "forwarder taken back");
            }
            Step::Bake(stage) => match bake(plan, &progress, stage) {
                Ok(()) => {
                    note(&mut log, &mut progress, Record::Passed(stage))?;
                    tracing::info!(stage, "stage passed");
                }
                Err(why) => {
                    tracing::warn!(stage, reason = %why, "rollout stops");
                    note(&mut log, &mut progress, Record::Stopped(why))?;
                }
            },
        }
    }
}

/// The records that fold to this progress, in a form that folds the same; kept short by its sets.
fn records_of(progress: &Progress) -> Vec<Record> {
    let mut records = Vec::new();
    records.extend(progress.plan.clone().map(|plan| Record::Began { plan }));
    records.extend(progress.touched.iter().map(|n| Record::Changing(n.clone())));
    records.extend(progress.changed.iter().map(|n| Record::Changed(n.clone())));
    records.extend((0..progress.passed).map(Record::Passed));
    records.extend(progress.stopped.clone().map(Record::Stopped));
    records.extend(progress.taken_back.iter().map(|n| Record::TakenBack(n.clone())));
    records.extend(progress.done.then_some(Record::Done));
    records
}

/// What one forwarder's figures showed over a stage.
#[derive(Default)]
struct Seen {
    /// Counts at the start, or since it was last seen to start again.
    base: Option<Tally>,
    /// What it ended before it was last seen to start again.
    banked: Tally,
    /// Counts when last read.
    last: Option<Tally>,
    /// Reads that failed, and starts seen.
    missed: u32,
    restarts: u32,
}

impl Seen {
    fn read(&mut self, now: Result<Tally, ReachError>) {
        let Ok(now) = now else {
            self.missed += 1;
            return;
        };
        match self.base.map(|base| now.since(base)) {
            None => self.base = Some(now),
            Some(Some(_)) => {}
            // Counts went down: the process started again. What it had ended is kept; counting starts over.
            Some(None) => {
                self.restarts += 1;
                let before = self.last.and_then(|last| self.base.and_then(|base| last.since(base)));
                self.banked = self.banked.plus(before.unwrap_or_default());
                self.base = Some(Tally::default());
            }
        }
        self.last = Some(now);
    }

    fn ended(&self) -> Tally {
        let since = self.last.and_then(|last| self.base.and_then(|base| last.since(base)));
        self.banked.plus(since.unwrap_or_default())
    }

    fn went_down(&self) -> bool {
        self.missed > 0 || self.restarts > 0
    }
}

/// Runs a stage until it passes (Ok) or must stop (the reason).
///
/// A forwarder that does not answer its console or is seen to start again counts against the stage if it has the
/// change and no forwarder without it went down in the same stage: where both groups lose forwarders, the cause is
/// taken to be common, not the change.
fn bake(plan: &Plan, progress: &Progress, stage: usize) -> Result<(), String> {
    let began = Instant::now();
    let (bake, most) = (Duration::from_millis(plan.bake_ms), Duration::from_millis(plan.max_bake_ms));
    let mut seen: BTreeMap<&str, Seen> =
        plan.forwarders.iter().map(|m| (m.name.as_str(), Seen::default())).collect();
    tracing::info!(stage, changed = progress.changed.len(), "stage begins");
    loop {
        for member in &plan.forwarders {
            if let Some(seen) = seen.get_mut(member.name.as_str()) {
                seen.read(fleet::figures(member));
            }
        }
        let group = |changed: bool| {
            seen.iter().filter(|(name, _)| progress.changed.contains(**name) == changed).fold(
                (Tally::default(), Vec::new()),
                |(tally, mut down), (name, seen)| {
                    if seen.went_down() {
                        down.push(name.to_string());
                    }
                    (tally.plus(seen.ended()), down)
                },
            )
        };
        let ((changed, changed_down), (unchanged, unchanged_down)) = (group(true), group(false));
        if !changed_down.is_empty() && unchanged_down.is_empty() {
            return Err(format!("stage {stage}: changed forwarders went down: {}", changed_down.join(", ")));
        }
        let baked = began.elapsed() >= bake;
        match judge(changed, unchanged, &plan.criteria, baked) {
            Verdict::Pass => {
                tracing::info!(stage, ?changed, ?unchanged, "stage judged not worse");
                return Ok(());
            }
            Verdict::Worse(why) => return Err(format!("stage {stage}: {why}")),
            Verdict::NotYet if began.elapsed() >= most => {
                return Err(format!(
                    "stage {stage}: undecided after {} ms ({} ended changed, {} unchanged)",
                    plan.max_bake_ms,
                    changed.ended(),
                    unchanged.ended()
                ));
            }
            Verdict::NotYet => std::thread::sleep(Duration::from_millis(plan.poll_ms)),
        }
    }
}

//! The rollout carried out: the steps that the records choose, each written before and after it is done.

use crate::fleet::{self, Process, ReachError};
use crate::judge::{Reading, Verdict, judge};
use crate::plan::{Member, Plan, PlanError};
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
    let (counts, change) = (plan.counts()?, plan.change()?);
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
                match fleet::change(state, member, &change) {
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
            Step::TakeBack(_) => {
                let until = Instant::now() + Duration::from_millis(plan.max_bake_ms);
                while let Some(error) = take_back_round(plan, state, &mut log, &mut progress)? {
                    if Instant::now() >= until {
                        return Err(error);
                    }
                    std::thread::sleep(BETWEEN_ROUNDS);
                }
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

/// Pause between rounds of taking back, while some forwarder cannot be reached.
const BETWEEN_ROUNDS: Duration = Duration::from_secs(1);

/// Takes back every forwarder that was touched and is not yet taken back; one that cannot be reached does not hold up
/// the others. Gives why the first of those that are left could not be.
fn take_back_round(
    plan: &Plan,
    state: &Path,
    log: &mut Log,
    progress: &mut Progress,
) -> Result<Option<RolloutError>, RolloutError> {
    let (change, mut first) = (plan.change()?, None);
    for member in &plan.forwarders {
        if !progress.touched.contains(&member.name) || progress.taken_back.contains(&member.name) {
            continue;
        }
        note(log, progress, Record::TakingBack(member.name.clone()))?;
        match fleet::take_back(state, member, &change) {
            Ok(()) => {
                note(log, progress, Record::TakenBack(member.name.clone()))?;
                tracing::info!(forwarder = %member.name, "forwarder taken back");
            }
            Err(error) => {
                tracing::warn!(forwarder = %member.name, %error, "forwarder not taken back yet");
                first.get_or_insert(RolloutError::Reach(member.name.clone(), error));
            }
        }
    }
    Ok(first)
}

/// Writes a record, and counts it from then on.
fn note(log: &mut Log, progress: &mut Progress, record: Record) -> Result<(), RolloutError> {
    log.write(&record)?;
    *progress = Progress::of(&[records_of(progress), vec![record]].concat());
    Ok(())
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
    /// Its process and the counts at the stage's start, or at the start of the process if that was later.
    base: Option<Process>,
    /// What earlier processes of it did in this stage, as far as it was read.
    banked: Option<Reading>,
    /// Counts when last read.
    last: Option<Reading>,
    /// Reads that failed, and starts seen.
    missed: u32,
    restarts: u32,
}

impl Seen {
    /// Takes in a reading. Another process than before has another number, or counts that are lower than they were
    /// (a number may come again); its counts began at 0.
    fn read(&mut self, name: &str, now: Result<Process, ReachError>) {
        let now = match now {
            Ok(now) => now,
            Err(error) => {
                self.missed += 1;
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
            self.banked = Some(self.done());
            // What it is known not to tell, it did not tell from its start either.
            let mut zero = Reading::default();
            zero.times = zero.times.filter(|_| now.reading.times.is_some());
            self.base = Some(Process { pid: now.pid, reading: zero });
        }
        let reading = now.reading.clone();
        self.base.get_or_insert(now);
        self.last = Some(reading);
    }

    /// What was read until now does not count, but for going down.
    fn begin(&mut self) {
        self.banked = None;
        if let (Some(base), Some(last)) = (&mut self.base, &self.last) {
            base.reading = last.clone();
        }
    }

    /// What it did in this stage, as far as it was read.
    fn done(&self) -> Reading {
        let since = match (&self.base, &self.last) {
            (Some(base), Some(last)) => last.since(&base.reading),
            _ => None,
        };
        let since = since.unwrap_or_default();
        self.banked.as_ref().map_or(since.clone(), |banked| banked.plus(&since))
    }

    fn went_down(&self) -> bool {
        self.missed > 0 || self.restarts > 0
    }
}

/// Forwarders read at once: one that does not answer holds up no more than these.
const AT_ONCE: usize = 32;

/// Reads all forwarders' figures.
fn read_all(members: &[Member]) -> Vec<(&Member, Result<Process, ReachError>)> {
    let mut read = Vec::with_capacity(members.len());
    for members in members.chunks(AT_ONCE) {
        std::thread::scope(|scope| {
            let reading: Vec<_> =
                members.iter().map(|member| (member, scope.spawn(|| fleet::read(member)))).collect();
            read.extend(reading.into_iter().map(|(member, reading)| {
                let lost = |_| Err(ReachError::NotFigures("its reader panicked".to_owned()));
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
fn bake(plan: &Plan, progress: &Progress, stage: usize) -> Result<(), String> {
    let mut began = Instant::now();
    let mut warming = Some(plan.warm_up()).filter(|warm_up| !warm_up.is_zero());
    let (bake, most) = (Duration::from_millis(plan.bake_ms), Duration::from_millis(plan.max_bake_ms));
    let mut seen: BTreeMap<&str, Seen> =
        plan.forwarders.iter().map(|m| (m.name.as_str(), Seen::default())).collect();
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
            (of.map(|(_, seen)| seen.done()).collect::<Vec<_>>(), down)
        };
        let sum = |group: &[Reading]| group.iter().fold(Reading::default(), |sum, one| sum.plus(one));
        let ((changed, changed_down), (unchanged, unchanged_down)) = (group(true), group(false));
        let (changed, all_unchanged) = (sum(&changed), sum(&unchanged));
        if !changed_down.is_empty() && unchanged_down.is_empty() {
            return Err(format!("stage {stage}: changed forwarders went down: {}", changed_down.join(", ")));
        }
        if let Some(warm_up) = warming {
            // Slow for a while is what a new process is; refusing and failing more is not.
            let ends = |reading: &Reading| Reading { times: None, ..reading.clone() };
            let others: Vec<Reading> = unchanged.iter().map(ends).collect();
            if let Verdict::Worse(why) = judge(&ends(&changed), &others, &plan.criteria, false) {
                return Err(format!("stage {stage}: {why}"));
            }
            if began.elapsed() >= warm_up {
                seen.values_mut().for_each(Seen::begin);
                (began, warming) = (Instant::now(), None);
            }
            std::thread::sleep(Duration::from_millis(plan.poll_ms));
            continue;
        }
        let baked = began.elapsed() >= bake;
        match judge(&changed, &unchanged, &plan.criteria, baked) {
            Verdict::Pass => {
                tracing::info!(stage, changed = ?changed.ended, unchanged = ?all_unchanged.ended, "stage judged not worse");
                return Ok(());
            }
            Verdict::Worse(why) => return Err(format!("stage {stage}: {why}")),
            Verdict::NotYet if began.elapsed() >= most => {
                return Err(format!(
                    "stage {stage}: undecided after {} ms ({} ended changed, {} unchanged)",
                    plan.max_bake_ms,
                    changed.ended.ended(),
                    all_unchanged.ended.ended()
                ));
            }
            Verdict::NotYet => std::thread::sleep(Duration::from_millis(plan.poll_ms)),
        }
    }
}

#[cfg(test)]
mod tests;

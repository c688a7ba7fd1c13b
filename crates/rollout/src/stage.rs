//! Runs one stage: reads the metrics of the forwarders until the canaries pass or the rollout has to stop.
//!
//! - Warm-up: a process that has just started is slow whatever its release. During the warm-up, latencies are therefore
//!   ignored, and outcomes can stop the stage but not pass it.
//! - Bake: after the warm-up the counts start again at zero. The bake lasts at least the bake time and at most the
//!   longest bake time. A stage that is undecided after that stops the rollout.
//! - Down: a canary that does not answer or is restarted stops the stage, unless a baseline forwarder went down too. If
//!   forwarders of both groups went down, the change is assumed not to be the cause.

use crate::analysis::{Verdict, WorseShare, compare};
use crate::metrics::Metrics;
use crate::observation::Observation;
use crate::plan::Plan;
use crate::process_metrics::read_all;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Why a stage stops the rollout. The texts are written to the progress record.
#[derive(Debug, thiserror::Error)]
pub enum StageFailure {
    /// Canaries did not answer or were restarted, and no baseline forwarder was.
    #[error("stage {stage}: changed forwarders went down: {}", .forwarders.join(", "))]
    WentDown {
        /// The stage, from 0.
        stage: usize,
        /// The names of the canaries.
        forwarders: Vec<String>,
    },
    /// The canaries do worse.
    #[error("stage {stage}: {share}")]
    Worse {
        /// The stage, from 0.
        stage: usize,
        /// The share that is worse.
        share: WorseShare,
    },
    /// The stage was still undecided after the longest bake time.
    #[error(
        "stage {stage}: undecided after {max_bake_ms} ms ({canary_finished} ended changed, {baseline_finished} unchanged)"
    )]
    Undecided {
        /// The stage, from 0.
        stage: usize,
        /// The longest bake time, in milliseconds.
        max_bake_ms: u64,
        /// Number of messages that the canaries finished.
        canary_finished: u64,
        /// Number of messages that the baseline finished.
        baseline_finished: u64,
    },
}

/// Runs a stage until it passes, or returns why it stops the rollout. `canaries` are the names of the forwarders that
/// have the change.
pub fn run_stage(plan: &Plan, canaries: &BTreeSet<String>, stage: usize) -> Result<(), StageFailure> {
    let warm_up = Some(plan.warm_up()).filter(|warm_up| !warm_up.is_zero());
    let observations = plan.forwarders.iter().map(|f| (f.name.as_str(), Observation::default())).collect();
    tracing::info!(stage, changed = canaries.len(), "stage begins");
    let mut run = StageRun { plan, canaries, stage, phase_started_at: Instant::now(), warm_up, observations };
    while !run.poll()? {
        std::thread::sleep(Duration::from_millis(plan.poll_interval_ms));
    }
    Ok(())
}

struct StageRun<'a> {
    plan: &'a Plan,
    canaries: &'a BTreeSet<String>,
    stage: usize,
    /// When the current phase began, which is the warm-up or the bake after it.
    phase_started_at: Instant,
    /// How long the warm-up takes. `None` if there is none or it is over.
    warm_up: Option<Duration>,
    observations: BTreeMap<&'a str, Observation>,
}

/// The canaries or the baseline forwarders.
struct Group {
    metrics: Vec<Metrics>,
    /// Names of the forwarders that went down.
    down: Vec<String>,
}

impl StageRun<'_> {
    /// Reads the metrics of all forwarders once and evaluates them. Returns whether the stage passes.
    fn poll(&mut self) -> Result<bool, StageFailure> {
        for (forwarder, result) in read_all(&self.plan.forwarders) {
            if let Some(observation) = self.observations.get_mut(forwarder.name.as_str()) {
                observation.on_read(&forwarder.name, result);
            }
        }
        let canaries = self.group(true);
        let baseline = self.group(false);
        if !canaries.down.is_empty() && baseline.down.is_empty() {
            return Err(StageFailure::WentDown { stage: self.stage, forwarders: canaries.down });
        }
        let canary = Metrics::sum(&canaries.metrics);
        match self.warm_up {
            Some(warm_up) => {
                self.evaluate_warm_up(warm_up, &canary, &baseline.metrics)?;
                Ok(false)
            }
            None => self.evaluate_bake(&canary, &baseline.metrics),
        }
    }

    fn group(&self, is_canary: bool) -> Group {
        let members =
            || self.observations.iter().filter(move |(name, _)| self.canaries.contains(**name) == is_canary);
        Group {
            metrics: members().map(|(_, observation)| observation.since_base()).collect(),
            down: members()
                .filter(|(_, observation)| observation.went_down())
                .map(|(name, _)| (*name).to_owned())
                .collect(),
        }
    }

    /// Evaluates the outcomes during the warm-up, and ends the warm-up when its time is over.
    fn evaluate_warm_up(
        &mut self,
        warm_up: Duration,
        canary: &Metrics,
        baseline: &[Metrics],
    ) -> Result<(), StageFailure> {
        let baseline: Vec<Metrics> = baseline.iter().map(Metrics::outcomes_only).collect();
        if let Verdict::Worse(share) = compare(&canary.outcomes_only(), &baseline, &self.plan.criteria, false)
        {
            return Err(StageFailure::Worse { stage: self.stage, share });
        }
        if self.phase_started_at.elapsed() >= warm_up {
            self.observations.values_mut().for_each(Observation::reset_metrics);
            self.phase_started_at = Instant::now();
            self.warm_up = None;
        }
        Ok(())
    }

    /// Evaluates the metrics during the bake. Returns whether the stage passes.
    fn evaluate_bake(&self, canary: &Metrics, baseline: &[Metrics]) -> Result<bool, StageFailure> {
        let elapsed = self.phase_started_at.elapsed();
        let bake_time_over = elapsed >= Duration::from_millis(self.plan.bake_ms);
        let baseline_outcomes = Metrics::sum(baseline).outcomes;
        match compare(canary, baseline, &self.plan.criteria, bake_time_over) {
            Verdict::Pass => {
                let changed = &canary.outcomes;
                let unchanged = &baseline_outcomes;
                tracing::info!(stage = self.stage, ?changed, ?unchanged, "stage judged not worse");
                Ok(true)
            }
            Verdict::Worse(share) => Err(StageFailure::Worse { stage: self.stage, share }),
            Verdict::Undecided if elapsed >= Duration::from_millis(self.plan.max_bake_ms) => {
                Err(StageFailure::Undecided {
                    stage: self.stage,
                    max_bake_ms: self.plan.max_bake_ms,
                    canary_finished: canary.outcomes.total(),
                    baseline_finished: baseline_outcomes.total(),
                })
            }
            Verdict::Undecided => Ok(false),
        }
    }
}

//! The phases of the experiment on a fleet of one size, and the results of each phase.

use super::fleet::{Fleet, FleetPlan, REGIONS, ZONES_PER_REGION};
use super::load::{Load, Snapshot};
use super::messages::clock;
use super::proposer::{PolicySize, Proposal, Proposer};
use super::simulated_forwarder::policy_settings;
use crate::capacity::budget::Budget;
use orchidyoke_consul::Settings as ConsulSettings;
use orchidyoke_consul::locks::LockClient;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Interval between two snapshots of a measurement, over which the busiest second is found.
const SECOND: Duration = Duration::from_secs(1);
/// Maximum time until all forwarders are members and all leases are held.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(120);
/// Interval between two checks whether the fleet has settled.
const SETTLE_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum time from the end of a proposal to the last report that the policy is in force.
const REPORT_TIMEOUT: Duration = Duration::from_secs(10);
/// Expiry of sessions that are not renewed, as a multiple of their TTL. Consul promises one to two times the TTL. The
/// death of a forwarder is measured with the longest expiry, the losses after it with the shortest.
const DEATH_EXPIRY_FACTOR: f64 = 2.0;
const LOSSES_EXPIRY_FACTOR: f64 = 1.0;
/// The zone in which one process is killed, and the zone that is killed whole. The second has no store.
const LOST_MACHINE_ZONE: usize = 1;
const LOST_ZONE: usize = 3;
/// The region that is cut off from the stores.
const CUT_REGION: usize = 2;

/// The lengths of the phases, and the number of events in them.
#[derive(Clone, Copy, Debug)]
pub struct Spans {
    /// TTL of all sessions.
    pub ttl: Duration,
    /// Length of the phase at rest: as long as Consul holds a blocking query, so that each forwarder sends one.
    pub rest: Duration,
    /// Number of policy changes, one after another.
    pub changes: u32,
    /// Time from one change to the next.
    pub change_every: Duration,
    /// Number of changes of a large policy, one after another.
    pub large_changes: u32,
    /// Time from one change of a large policy to the next.
    pub large_change_every: Duration,
    /// Number of restarts, one after another.
    pub restarts: u32,
    /// Time from one restart to the next.
    pub restart_every: Duration,
    /// Time that is measured after a loss, beyond the TTL.
    pub after_loss: Duration,
    /// Time that is measured after the links of a region are restored.
    pub after_join: Duration,
}

/// The phases that run on a fleet.
#[derive(Clone, Debug)]
pub struct PhasePlan {
    /// Lengths of the phases.
    pub spans: Spans,
    /// Whether to kill a forwarder before a change, then a process, which models a machine, and a zone, and to cut off
    /// a region.
    pub losses: bool,
    /// Whether the phase with restarts runs.
    pub restarts: bool,
}

/// A phase of the experiment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Nothing happens.
    Rest,
    /// Policy changes at the peak rate.
    Changes,
    /// Changes of a large policy.
    LargeChanges,
    /// Nothing happens while a large policy is in force.
    LargeRest,
    /// Forwarders restart one after another.
    Restarts,
    /// A process with its forwarders is killed, and a policy is proposed immediately.
    MachineLost,
    /// A zone is killed, and a policy is proposed immediately.
    ZoneLost,
    /// A region is cut off from the stores, and a policy is proposed immediately.
    RegionCut,
    /// The links of the region are restored.
    RegionJoined,
}

/// The times at which a policy was committed and in force.
#[derive(Clone, Debug)]
pub struct PolicyTime {
    /// Description of the event before the proposal, used as part of a row's label.
    pub after: String,
    /// Seconds from the proposal to the commit.
    pub committed: f64,
    /// Seconds from the proposal until the policy was in force on the median forwarder.
    pub median: f64,
    /// Seconds from the proposal until the policy was in force on the last forwarder.
    pub last: f64,
}

/// The load that was measured in a phase.
#[derive(Clone, Debug)]
pub struct PhaseLoad {
    /// Load by quantity.
    pub load: Load,
    /// Length of the measurement, in seconds.
    pub seconds: f64,
    /// Number of changes or restarts in the phase.
    pub events: usize,
}

/// The results of a fleet of one size.
#[derive(Clone, Debug)]
pub struct FleetResult {
    /// Number of forwarders at the start.
    pub members: usize,
    /// Seconds from the start of all forwarders until all were members and all leases were held.
    pub settled: f64,
    /// Load of each phase that ran.
    pub phases: BTreeMap<Phase, PhaseLoad>,
    /// Times of the policies that were measured.
    pub times: Vec<PolicyTime>,
    /// Seconds from the moment when a region's links are restored until its last forwarder had the policy in force.
    /// `None` if no region was cut off.
    pub caught_up: Option<f64>,
}

/// An action at a given time of a measured window.
enum ScheduledAction {
    Propose(PolicySize),
    Restart(String),
}

/// A run of the phases on one fleet.
struct PhaseRunner {
    fleet: Fleet,
    proposer: Proposer,
    spans: Spans,
    /// Resident memory of each process before its forwarders started, in bytes.
    base_resident: BTreeMap<usize, u64>,
    rng: StdRng,
    result: FleetResult,
}

/// Runs the phases of `phase_plan` on a fleet and returns the results.
///
/// # Errors
///
/// Returns an error if the fleet does not settle, a child process exits, or the experiment exceeds its budget.
pub async fn measure(plan: FleetPlan, phase_plan: &PhasePlan, seed: u64) -> Result<FleetResult, String> {
    let mut runner = PhaseRunner::start(plan, phase_plan.spans, seed).await?;
    runner.measure_rest().await?;
    runner.measure_changes().await?;
    if phase_plan.restarts {
        runner.measure_restarts().await?;
    }
    if phase_plan.losses {
        runner.measure_forwarder_death().await?;
        runner.measure_losses().await?;
    }
    Ok(runner.result)
}

impl PhaseRunner {
    async fn start(plan: FleetPlan, spans: Spans, seed: u64) -> Result<Self, String> {
        let mut fleet = Fleet::start(plan, Budget::for_this_machine()?).await?;
        let commit_point = fleet.commit_point().ok_or("there is no commit point")?;
        let proposer = Proposer::start(commit_point, plan.ttl);
        let base_resident = Snapshot::take(&mut fleet, 0).await?.host_resident();
        let result = FleetResult {
            members: plan.members,
            settled: 0.0,
            phases: BTreeMap::new(),
            times: Vec::new(),
            caught_up: None,
        };
        let rng = StdRng::seed_from_u64(seed);
        let mut runner = PhaseRunner { fleet, proposer, spans, base_resident, rng, result };
        let began = Instant::now();
        runner.fleet.sessions_end_after(DEATH_EXPIRY_FACTOR)?;
        runner.fleet.start_forwarders()?;
        runner.settle().await?;
        runner.result.settled = began.elapsed().as_secs_f64();
        Ok(runner)
    }

    async fn measure_rest(&mut self) -> Result<(), String> {
        self.measure_window(Phase::Rest, self.spans.rest, Vec::new(), 0).await
    }

    async fn measure_changes(&mut self) -> Result<(), String> {
        let Spans { changes, change_every, .. } = self.spans;
        self.measure_changes_of_size(Phase::Changes, changes, change_every, PolicySize::Small, "a change")
            .await?;
        let Spans { large_changes, large_change_every, .. } = self.spans;
        let size = PolicySize::Large;
        self.measure_changes_of_size(
            Phase::LargeChanges,
            large_changes,
            large_change_every,
            size,
            "a change of 17 KB",
        )
        .await?;
        // The commit point holds a blocking query for a quarter of the TTL plus 1/32 of that, and then answers with the
        // whole policy. This span has two such queries.
        self.measure_window(Phase::LargeRest, self.spans.ttl * 33 / 64, Vec::new(), 0).await?;
        // The phases after this one are measured with a small policy in force, as the phase at rest was.
        self.proposer.propose(PolicySize::Small);
        self.record_policy_time("a change back").await
    }

    async fn measure_changes_of_size(
        &mut self,
        phase: Phase,
        count: u32,
        every: Duration,
        size: PolicySize,
        what: &str,
    ) -> Result<(), String> {
        let actions = (0..count).map(|number| (every * number, ScheduledAction::Propose(size))).collect();
        self.measure_window(phase, every * count, actions, count as usize).await?;
        for _ in 0..count {
            self.record_policy_time(what).await?;
        }
        Ok(())
    }

    async fn measure_restarts(&mut self) -> Result<(), String> {
        let Spans { restarts, restart_every, .. } = self.spans;
        let mut names: Vec<String> = self.fleet.members().cloned().collect();
        names.shuffle(&mut self.rng);
        names.truncate(restarts as usize);
        let count = names.len();
        let schedule = |(number, name)| (restart_every * number as u32, ScheduledAction::Restart(name));
        let actions = names.into_iter().enumerate().map(schedule).collect();
        let span = restart_every * count as u32 + SECOND;
        let before = self.fleet.restarted;
        self.measure_window(Phase::Restarts, span, actions, count).await?;
        self.fleet.wait_until(SETTLE_TIMEOUT, "restarts", |fleet| fleet.restarted >= before + count).await?;
        self.settle().await
    }

    /// Kills a forwarder and immediately proposes a policy.
    async fn measure_forwarder_death(&mut self) -> Result<(), String> {
        let names: Vec<String> = self.fleet.members().cloned().collect();
        let name = names[self.rng.random_range(0..names.len())].clone();
        self.fleet.kill_member(&name)?;
        self.proposer.propose(PolicySize::Small);
        self.record_policy_time(&format!("a forwarder's death, sessions end after {DEATH_EXPIRY_FACTOR} TTL"))
            .await
    }

    async fn measure_losses(&mut self) -> Result<(), String> {
        self.sessions_end_after(LOSSES_EXPIRY_FACTOR).await?;
        let span = self.spans.ttl + self.spans.after_loss;
        let machine = self.fleet.hosts.iter().position(|host| host.zone == LOST_MACHINE_ZONE);
        self.fleet.kill_host(machine.ok_or("no process to kill")?);
        self.measure_loss(Phase::MachineLost, span, "a machine's loss").await?;
        self.fleet.kill_zone(LOST_ZONE);
        self.measure_loss(Phase::ZoneLost, span, "a zone's loss").await?;
        self.measure_region_cut(span).await
    }

    async fn measure_region_cut(&mut self, span: Duration) -> Result<(), String> {
        self.fleet.cut_region(CUT_REGION, true)?;
        self.measure_loss(Phase::RegionCut, span, "a region's cut").await?;
        let policies = self.fleet.in_force.len();
        let joined = clock();
        self.fleet.cut_region(CUT_REGION, false)?;
        self.measure_window(Phase::RegionJoined, self.spans.after_join, Vec::new(), 1).await?;
        self.settle().await?;
        let last = self.fleet.in_force[policies..].iter().map(|in_force| in_force.at).max();
        self.result.caught_up = last.map(|at| seconds(joined, at));
        Ok(())
    }

    /// Measures the time after a loss, with a policy that is proposed immediately.
    async fn measure_loss(&mut self, phase: Phase, span: Duration, what: &str) -> Result<(), String> {
        self.measure_window(
            phase,
            span,
            vec![(Duration::ZERO, ScheduledAction::Propose(PolicySize::Small))],
            1,
        )
        .await?;
        self.record_policy_time(&format!("{what}, sessions end after {LOSSES_EXPIRY_FACTOR} TTL")).await
    }

    /// Measures the load during `span`, with a snapshot each second for the busiest one, and starts the actions at
    /// their times.
    async fn measure_window(
        &mut self,
        phase: Phase,
        span: Duration,
        actions: Vec<(Duration, ScheduledAction)>,
        events: usize,
    ) -> Result<(), String> {
        let mut actions = actions.into_iter().peekable();
        let first = Snapshot::take(&mut self.fleet, self.proposer.bytes()).await?;
        let start = Instant::now();
        let (mut busiest, mut last) = (0.0_f64, first.clone());
        let mut last_snapshot_at = start;
        while start.elapsed() < span {
            while let Some((_, action)) = actions.next_if(|(at, _)| start + *at <= Instant::now()) {
                match action {
                    ScheduledAction::Propose(size) => self.proposer.propose(size),
                    ScheduledAction::Restart(name) => self.fleet.restart_member(&name)?,
                }
            }
            if Instant::now() >= last_snapshot_at + SECOND {
                last_snapshot_at = Instant::now();
                let now = Snapshot::take(&mut self.fleet, self.proposer.bytes()).await?;
                busiest = busiest.max(now.bytes_since(&last));
                last = now;
            }
            let next = actions.peek().map_or(start + span, |(at, _)| start + *at);
            self.fleet.receive_until(next.min(last_snapshot_at + SECOND).min(start + span)).await?;
        }
        let end = Snapshot::take(&mut self.fleet, self.proposer.bytes()).await?;
        let load = end.load_since(&first, &self.base_resident, busiest);
        let measured = PhaseLoad { load, seconds: end.seconds_since(&first), events };
        self.result.phases.insert(phase, measured);
        Ok(())
    }

    /// Waits until the next proposal is in force on all forwarders that can be reached, and records the times.
    async fn record_policy_time(&mut self, after: &str) -> Result<(), String> {
        let proposal = loop {
            tokio::select! {
                proposal = self.proposer.next() => break proposal?,
                () = self.fleet.receive() => self.fleet.check()?,
            }
        };
        let reachable = self.reachable();
        let has_it = |fleet: &Fleet| times(fleet, &proposal, &reachable).len() == reachable.len();
        self.fleet.wait_until(REPORT_TIMEOUT, "a policy in force on all", has_it).await?;
        let times = times(&self.fleet, &proposal, &reachable);
        self.result.times.push(PolicyTime {
            after: after.to_owned(),
            committed: seconds(proposal.proposed_at, proposal.committed_at),
            median: times[times.len() / 2],
            last: times[times.len() - 1],
        });
        Ok(())
    }

    /// Returns the forwarders that run and are not cut off.
    fn reachable(&self) -> BTreeSet<String> {
        let cut_off = |zone: usize| self.fleet.is_cut(zone / ZONES_PER_REGION);
        let hosts = self.fleet.hosts.iter().filter(|host| !cut_off(host.zone));
        hosts.flat_map(|host| host.members.iter().cloned()).collect()
    }

    /// Sets the expiry of sessions to a multiple of their TTL, and waits until it also applies to the sessions that
    /// were renewed before.
    async fn sessions_end_after(&mut self, ttls: f64) -> Result<(), String> {
        self.fleet.sessions_end_after(ttls)?;
        // Each session is renewed after a third of its TTL. Another quarter allows for late renewals.
        self.fleet.receive_until(Instant::now() + self.spans.ttl / 3 + self.spans.ttl / 4).await
    }

    /// Waits until all forwarders are members at the commit point and in their region, and all leases are held.
    async fn settle(&mut self) -> Result<(), String> {
        let until = Instant::now() + SETTLE_TIMEOUT;
        let mut commit_point = LockClient::new(consul_settings(self.fleet.commit_point())?);
        let mut stores = Vec::new();
        for region in 0..REGIONS {
            stores.push(LockClient::new(consul_settings(self.fleet.lease_store(region))?));
        }
        loop {
            let what = match self.unsettled_reason(&mut commit_point, &mut stores).await? {
                None => return Ok(()),
                Some(what) => what,
            };
            if Instant::now() > until {
                return Err(format!("not settled within {} s: {what}", SETTLE_TIMEOUT.as_secs()));
            }
            self.fleet.receive_until(Instant::now() + SETTLE_POLL_INTERVAL).await?;
        }
    }

    /// Returns the reason why the fleet has not settled, or `None` if it has.
    async fn unsettled_reason(
        &self,
        commit_point: &mut LockClient,
        stores: &mut [LockClient],
    ) -> Result<Option<String>, String> {
        let commit_address = self.fleet.commit_point().ok_or("there is no commit point")?;
        let folder = policy_settings(commit_address, self.spans.ttl).members_folder();
        let members = held(commit_point, &folder).await?;
        let expected = self.fleet.members().count();
        if members != expected {
            return Ok(Some(format!("{members} of {expected} are members at the commit point")));
        }
        for (region, store) in stores.iter_mut().enumerate() {
            let held = held(store, &self.fleet.lease_prefix()).await?;
            let expected = self.fleet.members_in(region) + self.fleet.lease_count(region);
            if held != expected {
                return Ok(Some(format!("region {region} has {held} of {expected} memberships and leases")));
            }
        }
        Ok(None)
    }
}

/// Returns the number of keys below a folder that a session holds.
async fn held(store: &mut LockClient, folder: &str) -> Result<usize, String> {
    let (_, rows) = store.read_keys(folder, 0, Duration::ZERO).await.map_err(|error| error.to_string())?;
    Ok(rows.iter().filter(|row| row.session.is_some()).count())
}

fn consul_settings(address: Option<std::net::SocketAddr>) -> Result<Rc<ConsulSettings>, String> {
    let address = address.ok_or("a store is missing")?;
    Ok(Rc::new(ConsulSettings { addresses: vec![address], ..ConsulSettings::default() }))
}

/// Returns the seconds from a proposal until it was in force, for each of the members on which it is in force, in
/// ascending order.
fn times(fleet: &Fleet, proposal: &Proposal, members: &BTreeSet<String>) -> Vec<f64> {
    let mut first: BTreeMap<&str, u64> = BTreeMap::new();
    for in_force in fleet.in_force.iter().filter(|in_force| in_force.epoch >= proposal.epoch) {
        if members.contains(&in_force.name) {
            let at = first.entry(&in_force.name).or_insert(in_force.at);
            *at = in_force.at.min(*at);
        }
    }
    let mut times: Vec<f64> = first.values().map(|at| seconds(proposal.proposed_at, *at)).collect();
    times.sort_by(f64::total_cmp);
    times
}

fn seconds(from: u64, to: u64) -> f64 {
    to.saturating_sub(from) as f64 / 1e6
}

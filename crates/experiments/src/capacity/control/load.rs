//! What control costs: snapshots of what the processes have used and counted, and the load between two of them.

use super::fleet::{COMMIT_POINT_ZONE, Fleet, ZONES, ZONES_PER_REGION};
use super::messages::Counts;
use crate::capacity::process::{self, Usage};
use std::collections::BTreeMap;
use tokio::time::Instant;

/// The operators' budget of control for a forwarder: bytes a second, percent of a core, and megabytes.
const BYTES_BUDGET: f64 = 6_000.0;
const CORE_BUDGET: f64 = 2.6;
const RESIDENT_BUDGET: f64 = 32.0;
/// One percent of a core for a second.
const MILLISECONDS_A_PERCENT: f64 = 10.0;

/// What is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Quantity {
    /// Bytes a second of a forwarder with the commit point, both ways.
    PolicyBytes,
    /// Bytes a second of a forwarder with its region's duties, both ways.
    DutiesBytes,
    /// The sum of both.
    Bytes,
    /// The same in the busiest second.
    BusiestBytes,
    /// Requests a second of a forwarder to the commit point; those of the proposer are among them.
    PolicyRequests,
    /// Requests a second of a forwarder for its duties.
    DutiesRequests,
    /// Percent of a core for a forwarder.
    Core,
    /// Megabytes of a forwarder that has its process for itself.
    Resident,
    /// Bytes a second through the control stand-in with the commit point, on its behalf.
    CommitPointBytes,
    /// Bytes a second through the busiest control stand-in on behalf of duties.
    DutiesStoreBytes,
    /// Bytes a second through the busiest control stand-in.
    ControlBytes,
    /// Requests a second to the busiest control stand-in.
    ControlRequests,
    /// Percent of a core for the busiest control stand-in.
    ControlCore,
    /// Megabytes of the largest control stand-in.
    ControlResident,
}

impl Quantity {
    /// All of them.
    pub const ALL: [Quantity; 14] = [
        Quantity::PolicyBytes,
        Quantity::DutiesBytes,
        Quantity::Bytes,
        Quantity::BusiestBytes,
        Quantity::PolicyRequests,
        Quantity::DutiesRequests,
        Quantity::Core,
        Quantity::Resident,
        Quantity::CommitPointBytes,
        Quantity::DutiesStoreBytes,
        Quantity::ControlBytes,
        Quantity::ControlRequests,
        Quantity::ControlCore,
        Quantity::ControlResident,
    ];

    /// What it is called in a table.
    pub fn label(self) -> &'static str {
        match self {
            Quantity::PolicyBytes => "policy B/s a forwarder",
            Quantity::DutiesBytes => "duties B/s a forwarder",
            Quantity::Bytes => "B/s a forwarder",
            Quantity::BusiestBytes => "B/s a forwarder in the busiest second",
            Quantity::PolicyRequests => "policy requests/s a forwarder",
            Quantity::DutiesRequests => "duties requests/s a forwarder",
            Quantity::Core => "% of a core a forwarder",
            Quantity::Resident => "MB a forwarder",
            Quantity::CommitPointBytes => "policy B/s commit point",
            Quantity::DutiesStoreBytes => "duties B/s busiest store",
            Quantity::ControlBytes => "B/s busiest control process",
            Quantity::ControlRequests => "requests/s busiest control process",
            Quantity::ControlCore => "% of a core busiest control process",
            Quantity::ControlResident => "MB largest control process",
        }
    }

    /// What it is called for one event, where that has a meaning, and how many of that unit one of this is for a second.
    pub fn of_one_event(self) -> Option<(&'static str, f64)> {
        match self {
            Quantity::PolicyBytes => Some(("policy B a forwarder", 1.0)),
            Quantity::DutiesBytes => Some(("duties B a forwarder", 1.0)),
            Quantity::Bytes => Some(("B a forwarder", 1.0)),
            Quantity::PolicyRequests => Some(("policy requests a forwarder", 1.0)),
            Quantity::DutiesRequests => Some(("duties requests a forwarder", 1.0)),
            Quantity::Core => Some(("ms of a core a forwarder", MILLISECONDS_A_PERCENT)),
            Quantity::CommitPointBytes => Some(("policy B commit point", 1.0)),
            Quantity::DutiesStoreBytes => Some(("duties B busiest store", 1.0)),
            Quantity::ControlBytes => Some(("B busiest control process", 1.0)),
            Quantity::ControlRequests => Some(("requests busiest control process", 1.0)),
            Quantity::ControlCore => Some(("ms of a core busiest control process", MILLISECONDS_A_PERCENT)),
            Quantity::BusiestBytes | Quantity::Resident | Quantity::ControlResident => None,
        }
    }

    /// The most that the operators allow, where they say.
    pub fn budget(self) -> Option<f64> {
        match self {
            Quantity::Bytes => Some(BYTES_BUDGET),
            Quantity::Core => Some(CORE_BUDGET),
            Quantity::Resident => Some(RESIDENT_BUDGET),
            _ => None,
        }
    }

    /// Whether the cost of one event times their rate comes on top of what it is at rest.
    fn adds_up(self) -> bool {
        self.of_one_event().is_some()
    }
}

/// The load of a span, by quantity.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Load(BTreeMap<Quantity, f64>);

impl Load {
    /// A quantity of it; 0 where it was not measured.
    pub fn get(&self, quantity: Quantity) -> f64 {
        self.0.get(&quantity).copied().unwrap_or(0.0)
    }

    /// What one event costs on top of `rest`, of `events` in a span of so many seconds with this load.
    pub fn cost_of_event(&self, rest: &Load, seconds: f64, events: usize) -> Load {
        let cost = |quantity: Quantity| {
            let extra = (self.get(quantity) - rest.get(quantity)).max(0.0);
            (quantity, extra * seconds / events.max(1) as f64)
        };
        let mut costs = Load(Quantity::ALL.into_iter().filter(|q| q.adds_up()).map(cost).collect());
        // All forwarders of a region look at their duties in the same second, so a short span has more or less than its
        // part of that: what is extra is told for each part, before it is summed.
        costs.sum_of(Quantity::Bytes, [Quantity::PolicyBytes, Quantity::DutiesBytes]);
        costs.sum_of(Quantity::ControlBytes, [Quantity::CommitPointBytes, Quantity::DutiesStoreBytes]);
        costs
    }

    fn sum_of(&mut self, whole: Quantity, parts: [Quantity; 2]) {
        let sum = parts.iter().map(|part| self.get(*part)).sum();
        self.0.insert(whole, sum);
    }

    /// This load, at rest, with events that cost so much at a rate a second. Memory is that of `busy`, in which they were
    /// measured.
    pub fn with_events(&self, cost: &Load, rate: f64, busy: &Load) -> Load {
        let value = |quantity: Quantity| match quantity {
            Quantity::BusiestBytes => None,
            quantity if quantity.adds_up() => {
                Some((quantity, self.get(quantity) + cost.get(quantity) * rate))
            }
            quantity => Some((quantity, busy.get(quantity))),
        };
        Load(Quantity::ALL.into_iter().filter_map(value).collect())
    }

    /// Whether a quantity was measured or worked out.
    pub fn has(&self, quantity: Quantity) -> bool {
        self.0.contains_key(&quantity)
    }
}

/// What all processes have used and counted by a moment.
#[derive(Clone, Debug)]
pub struct Snapshot {
    at: Instant,
    counts: BTreeMap<usize, Counts>,
    controls: BTreeMap<usize, Usage>,
    hosts: BTreeMap<usize, HostUsage>,
    members: usize,
    proposer_bytes: u64,
}

/// A process with forwarders.
#[derive(Clone, Copy, Debug)]
struct HostUsage {
    usage: Usage,
    members: usize,
}

impl Snapshot {
    /// Takes one. The experiment ends where the processes use more than they may.
    pub async fn take(fleet: &mut Fleet, proposer_bytes: u64) -> Result<Snapshot, String> {
        fleet.check_budget()?;
        let counts = fleet.counts().await?;
        let usage = |id: u32| process::usage(id).map_err(|error| format!("process {id}: {error}"));
        let mut controls = BTreeMap::new();
        for (zone, control) in fleet.controls.iter().enumerate() {
            if let Some(process) = &control.process {
                controls.insert(zone, usage(process.id())?);
            }
        }
        let mut hosts = BTreeMap::new();
        for (number, host) in fleet.hosts.iter().enumerate() {
            if let Some(process) = &host.process {
                let (usage, members) = (usage(process.id())?, host.members.len());
                hosts.insert(number, HostUsage { usage, members });
            }
        }
        let members = fleet.members().count();
        Ok(Snapshot { at: Instant::now(), counts, controls, hosts, members, proposer_bytes })
    }

    /// Seconds since an earlier one.
    pub fn seconds_since(&self, before: &Snapshot) -> f64 {
        (self.at - before.at).as_secs_f64().max(1e-3)
    }

    /// Resident memory of each process with forwarders.
    pub fn host_resident(&self) -> BTreeMap<usize, u64> {
        self.hosts.iter().map(|(number, host)| (*number, host.usage.resident)).collect()
    }

    /// Bytes that a forwarder had a second since an earlier one.
    pub fn bytes_since(&self, before: &Snapshot) -> f64 {
        let (policy, duties) = (self.sum(before, |c| c.policy_bytes), self.sum(before, |c| c.duties_bytes));
        (policy + duties) / self.members.max(1) as f64 / self.seconds_since(before)
    }

    /// The load since an earlier one. `base` is the memory of each process before its forwarders were started.
    pub fn load_since(&self, before: &Snapshot, base: &BTreeMap<usize, u64>, busiest: f64) -> Load {
        let each = |sum: f64| sum / self.members.max(1) as f64 / self.seconds_since(before);
        let policy_bytes = each(self.sum(before, |counts| counts.policy_bytes));
        let duties_bytes = each(self.sum(before, |counts| counts.duties_bytes));
        let controls = self.controls_since(before);
        let most = |value: fn(&ControlLoad) -> f64| controls.iter().map(value).fold(0.0, f64::max);
        Load(BTreeMap::from([
            (Quantity::PolicyBytes, policy_bytes),
            (Quantity::DutiesBytes, duties_bytes),
            (Quantity::Bytes, policy_bytes + duties_bytes),
            (Quantity::BusiestBytes, busiest),
            (Quantity::PolicyRequests, each(self.sum(before, |counts| counts.policy_requests))),
            (Quantity::DutiesRequests, each(self.sum(before, |counts| counts.duties_requests))),
            (Quantity::Core, self.core_since(before)),
            (Quantity::Resident, self.resident_alone(base)),
            (Quantity::CommitPointBytes, most(|control| control.policy_bytes)),
            (Quantity::DutiesStoreBytes, most(|control| control.duties_bytes)),
            (Quantity::ControlBytes, most(|control| control.policy_bytes + control.duties_bytes)),
            (Quantity::ControlRequests, most(|control| control.requests)),
            (Quantity::ControlCore, most(|control| control.core)),
            (Quantity::ControlResident, most(|control| control.resident)),
        ]))
    }

    /// The sum of a count's growth over the control stand-ins that ran all the time.
    fn sum(&self, before: &Snapshot, count: fn(&Counts) -> u64) -> f64 {
        self.counts.keys().map(|zone| self.growth(before, *zone, count)).sum()
    }

    fn growth(&self, before: &Snapshot, zone: usize, count: fn(&Counts) -> u64) -> f64 {
        match (self.counts.get(&zone), before.counts.get(&zone)) {
            (Some(now), Some(then)) => count(now).saturating_sub(count(then)) as f64,
            _ => 0.0,
        }
    }

    /// Percent of a core that a forwarder used.
    fn core_since(&self, before: &Snapshot) -> f64 {
        let (mut used, mut members) = (0.0, 0);
        for (number, host) in &self.hosts {
            if let Some(then) = before.hosts.get(number) {
                used += (host.usage.processor - then.usage.processor).as_secs_f64();
                members += host.members;
            }
        }
        100.0 * used / members.max(1) as f64 / self.seconds_since(before)
    }

    /// Megabytes of a forwarder that has its process for itself: the process, and its part of what they added.
    fn resident_alone(&self, base: &BTreeMap<usize, u64>) -> f64 {
        let alone = self.hosts.iter().filter(|(_, host)| host.members > 0).filter_map(|(number, host)| {
            let base = *base.get(number)? as f64;
            let added = (host.usage.resident as f64 - base).max(0.0);
            Some((base + added / host.members as f64) / 1e6)
        });
        alone.fold(0.0, f64::max)
    }

    fn controls_since(&self, before: &Snapshot) -> Vec<ControlLoad> {
        let seconds = self.seconds_since(before);
        let loads = self.controls.iter().filter_map(|(zone, usage)| {
            let then = before.controls.get(zone)?;
            let requests = self.growth(before, *zone, |c| c.policy_requests + c.duties_requests);
            Some(ControlLoad {
                policy_bytes: self.policy_bytes_through(before, *zone) / seconds,
                duties_bytes: self.duties_bytes_through(before, *zone) / seconds,
                requests: requests / seconds,
                core: 100.0 * (usage.processor - then.processor).as_secs_f64() / seconds,
                resident: usage.resident as f64 / 1e6,
            })
        });
        loads.collect()
    }

    /// Bytes of policy through a control stand-in: those of its zone's link, and for the one with the commit point those
    /// of all others and of the proposer.
    fn policy_bytes_through(&self, before: &Snapshot, zone: usize) -> f64 {
        let of_zone = |zone: usize| self.growth(before, zone, |counts| counts.policy_bytes);
        if zone != COMMIT_POINT_ZONE {
            return of_zone(zone);
        }
        let proposer = self.proposer_bytes.saturating_sub(before.proposer_bytes);
        (0..ZONES).map(of_zone).sum::<f64>() + proposer as f64
    }

    /// Bytes of duties through a control stand-in: those of its zone's link, and for one with a store those of the other
    /// zones of its region.
    fn duties_bytes_through(&self, before: &Snapshot, zone: usize) -> f64 {
        let of_zone = |zone: usize| self.growth(before, zone, |counts| counts.duties_bytes);
        if !zone.is_multiple_of(ZONES_PER_REGION) {
            return of_zone(zone);
        }
        (zone..zone + ZONES_PER_REGION).map(of_zone).sum()
    }
}

/// The load of one control stand-in.
struct ControlLoad {
    policy_bytes: f64,
    duties_bytes: f64,
    requests: f64,
    core: f64,
    resident: f64,
}

//! The cost of the control plane: snapshots of the processes' usage and counts, and the load between two snapshots.

use super::fleet::{COMMIT_POINT_ZONE, Fleet, ZONES, ZONES_PER_REGION};
use super::messages::Counts;
use crate::capacity::process::{self, Usage};
use std::collections::BTreeMap;
use tokio::time::Instant;

/// The operators' control budget for one forwarder: bytes per second, percent of a core, and megabytes.
const BYTES_PER_SECOND_BUDGET: f64 = 6_000.0;
const CORE_PERCENT_BUDGET: f64 = 2.6;
const RESIDENT_MB_BUDGET: f64 = 32.0;
/// Milliseconds of processor time per second that are one percent of a core.
const MILLISECONDS_PER_PERCENT: f64 = 10.0;

/// A measured quantity. Unless its comment says otherwise, a quantity of a forwarder is the mean over all
/// forwarders.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Quantity {
    /// Bytes per second between a forwarder and the commit point, both directions.
    PolicyBytes,
    /// Bytes per second between a forwarder and its region's lease store, both directions.
    LeaseBytes,
    /// Sum of [`Quantity::PolicyBytes`] and [`Quantity::LeaseBytes`].
    Bytes,
    /// Same as [`Quantity::Bytes`], in the busiest second.
    BusiestBytes,
    /// Requests per second and forwarder to the commit point. The requests of the proposer are included.
    PolicyRequests,
    /// Requests per second and forwarder to the lease store.
    LeaseRequests,
    /// Percent of a core that a forwarder uses.
    Core,
    /// Resident megabytes of a forwarder that is alone in its process, estimated from the shared processes.
    Resident,
    /// Bytes per second of policy traffic through the control process that has the commit point.
    CommitPointBytes,
    /// Bytes per second of lease traffic through the busiest control process.
    LeaseStoreBytes,
    /// Bytes per second of all traffic through the busiest control process.
    ControlBytes,
    /// Requests per second to the busiest control process.
    ControlRequests,
    /// Percent of a core that the busiest control process uses.
    ControlCore,
    /// Resident megabytes of the largest control process.
    ControlResident,
}

impl Quantity {
    /// All quantities, in the order of the table.
    pub const ALL: [Quantity; 14] = [
        Quantity::PolicyBytes,
        Quantity::LeaseBytes,
        Quantity::Bytes,
        Quantity::BusiestBytes,
        Quantity::PolicyRequests,
        Quantity::LeaseRequests,
        Quantity::Core,
        Quantity::Resident,
        Quantity::CommitPointBytes,
        Quantity::LeaseStoreBytes,
        Quantity::ControlBytes,
        Quantity::ControlRequests,
        Quantity::ControlCore,
        Quantity::ControlResident,
    ];

    /// Returns the label in tables.
    pub fn label(self) -> &'static str {
        match self {
            Quantity::PolicyBytes => "policy B/s a forwarder",
            Quantity::LeaseBytes => "duties B/s a forwarder",
            Quantity::Bytes => "B/s a forwarder",
            Quantity::BusiestBytes => "B/s a forwarder in the busiest second",
            Quantity::PolicyRequests => "policy requests/s a forwarder",
            Quantity::LeaseRequests => "duties requests/s a forwarder",
            Quantity::Core => "% of a core a forwarder",
            Quantity::Resident => "MB a forwarder",
            Quantity::CommitPointBytes => "policy B/s commit point",
            Quantity::LeaseStoreBytes => "duties B/s busiest store",
            Quantity::ControlBytes => "B/s busiest control process",
            Quantity::ControlRequests => "requests/s busiest control process",
            Quantity::ControlCore => "% of a core busiest control process",
            Quantity::ControlResident => "MB largest control process",
        }
    }

    /// Returns the label for the cost of one event, and the factor that converts this quantity, multiplied by seconds,
    /// to the unit of that label. Returns `None` if a cost per event has no meaning.
    pub fn of_one_event(self) -> Option<(&'static str, f64)> {
        match self {
            Quantity::PolicyBytes => Some(("policy B a forwarder", 1.0)),
            Quantity::LeaseBytes => Some(("duties B a forwarder", 1.0)),
            Quantity::Bytes => Some(("B a forwarder", 1.0)),
            Quantity::PolicyRequests => Some(("policy requests a forwarder", 1.0)),
            Quantity::LeaseRequests => Some(("duties requests a forwarder", 1.0)),
            Quantity::Core => Some(("ms of a core a forwarder", MILLISECONDS_PER_PERCENT)),
            Quantity::CommitPointBytes => Some(("policy B commit point", 1.0)),
            Quantity::LeaseStoreBytes => Some(("duties B busiest store", 1.0)),
            Quantity::ControlBytes => Some(("B busiest control process", 1.0)),
            Quantity::ControlRequests => Some(("requests busiest control process", 1.0)),
            Quantity::ControlCore => Some(("ms of a core busiest control process", MILLISECONDS_PER_PERCENT)),
            Quantity::BusiestBytes | Quantity::Resident | Quantity::ControlResident => None,
        }
    }

    /// Returns the limit that the operators set, or `None` if they set none.
    pub fn budget(self) -> Option<f64> {
        match self {
            Quantity::Bytes => Some(BYTES_PER_SECOND_BUDGET),
            Quantity::Core => Some(CORE_PERCENT_BUDGET),
            Quantity::Resident => Some(RESIDENT_MB_BUDGET),
            _ => None,
        }
    }

    /// Returns whether events add their cost times their rate to the value at rest.
    fn grows_with_events(self) -> bool {
        self.of_one_event().is_some()
    }
}

/// Values by quantity, for a span of time or for one event.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Load(BTreeMap<Quantity, f64>);

impl Load {
    /// Returns the value of a quantity, or 0 if it was not measured.
    pub fn get(&self, quantity: Quantity) -> f64 {
        self.0.get(&quantity).copied().unwrap_or(0.0)
    }

    /// Returns the cost of one event on top of `rest`, if this load was measured over `seconds` with `events` events.
    pub fn cost_of_event(&self, rest: &Load, seconds: f64, events: usize) -> Load {
        let cost = |quantity: Quantity| {
            let extra = (self.get(quantity) - rest.get(quantity)).max(0.0);
            (quantity, extra * seconds / events.max(1) as f64)
        };
        let mut costs = Load(Quantity::ALL.into_iter().filter(|q| q.grows_with_events()).map(cost).collect());
        // All forwarders of a region query their leases in the same second, so a short span has more or less than its
        // share of these queries. The extra cost is therefore computed for each part before the parts are summed.
        costs.sum_of(Quantity::Bytes, [Quantity::PolicyBytes, Quantity::LeaseBytes]);
        costs.sum_of(Quantity::ControlBytes, [Quantity::CommitPointBytes, Quantity::LeaseStoreBytes]);
        costs
    }

    fn sum_of(&mut self, whole: Quantity, parts: [Quantity; 2]) {
        let sum = parts.iter().map(|part| self.get(*part)).sum();
        self.0.insert(whole, sum);
    }

    /// Returns this load at rest plus events that cost `cost` each at `rate` events per second. Memory is taken from
    /// `busy`, the load during which the events were measured.
    pub fn with_events(&self, cost: &Load, rate: f64, busy: &Load) -> Load {
        let value = |quantity: Quantity| match quantity {
            Quantity::BusiestBytes => None,
            quantity if quantity.grows_with_events() => {
                Some((quantity, self.get(quantity) + cost.get(quantity) * rate))
            }
            quantity => Some((quantity, busy.get(quantity))),
        };
        Load(Quantity::ALL.into_iter().filter_map(value).collect())
    }

    /// Returns whether a quantity was measured or computed.
    pub fn has(&self, quantity: Quantity) -> bool {
        self.0.contains_key(&quantity)
    }
}

/// The usage and the counts of all processes at one moment.
#[derive(Clone, Debug)]
pub struct Snapshot {
    at: Instant,
    counts: BTreeMap<usize, Counts>,
    controls: BTreeMap<usize, Usage>,
    hosts: BTreeMap<usize, HostUsage>,
    members: usize,
    proposer_bytes: u64,
}

/// The usage of a process with forwarders.
#[derive(Clone, Copy, Debug)]
struct HostUsage {
    usage: Usage,
    members: usize,
}

impl Snapshot {
    /// Takes a snapshot. Returns an error if the experiment exceeds its budget.
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

    /// Returns the seconds since an earlier snapshot, at least 0.001.
    pub fn seconds_since(&self, before: &Snapshot) -> f64 {
        (self.at - before.at).as_secs_f64().max(1e-3)
    }

    /// Returns the resident memory of each process with forwarders, in bytes.
    pub fn host_resident(&self) -> BTreeMap<usize, u64> {
        self.hosts.iter().map(|(number, host)| (*number, host.usage.resident)).collect()
    }

    /// Returns the bytes per second and forwarder since an earlier snapshot.
    pub fn bytes_since(&self, before: &Snapshot) -> f64 {
        let (policy, leases) = (self.sum(before, |c| c.policy_bytes), self.sum(before, |c| c.lease_bytes));
        (policy + leases) / self.members.max(1) as f64 / self.seconds_since(before)
    }

    /// Returns the load since an earlier snapshot. `base_resident` is the resident memory of each process before its
    /// forwarders started, in bytes. `busiest` is the value of [`Quantity::BusiestBytes`].
    pub fn load_since(&self, before: &Snapshot, base_resident: &BTreeMap<usize, u64>, busiest: f64) -> Load {
        let each = |sum: f64| sum / self.members.max(1) as f64 / self.seconds_since(before);
        let policy_bytes = each(self.sum(before, |counts| counts.policy_bytes));
        let lease_bytes = each(self.sum(before, |counts| counts.lease_bytes));
        let controls = self.controls_since(before);
        let most = |value: fn(&ControlLoad) -> f64| controls.iter().map(value).fold(0.0, f64::max);
        Load(BTreeMap::from([
            (Quantity::PolicyBytes, policy_bytes),
            (Quantity::LeaseBytes, lease_bytes),
            (Quantity::Bytes, policy_bytes + lease_bytes),
            (Quantity::BusiestBytes, busiest),
            (Quantity::PolicyRequests, each(self.sum(before, |counts| counts.policy_requests))),
            (Quantity::LeaseRequests, each(self.sum(before, |counts| counts.lease_requests))),
            (Quantity::Core, self.core_since(before)),
            (Quantity::Resident, self.resident_alone(base_resident)),
            (Quantity::CommitPointBytes, most(|control| control.policy_bytes)),
            (Quantity::LeaseStoreBytes, most(|control| control.lease_bytes)),
            (Quantity::ControlBytes, most(|control| control.policy_bytes + control.lease_bytes)),
            (Quantity::ControlRequests, most(|control| control.requests)),
            (Quantity::ControlCore, most(|control| control.core)),
            (Quantity::ControlResident, most(|control| control.resident)),
        ]))
    }

    /// Returns the growth of a count, summed over the control processes that are in both snapshots.
    fn sum(&self, before: &Snapshot, count: fn(&Counts) -> u64) -> f64 {
        self.counts.keys().map(|zone| self.growth(before, *zone, count)).sum()
    }

    fn growth(&self, before: &Snapshot, zone: usize, count: fn(&Counts) -> u64) -> f64 {
        match (self.counts.get(&zone), before.counts.get(&zone)) {
            (Some(now), Some(then)) => count(now).saturating_sub(count(then)) as f64,
            _ => 0.0,
        }
    }

    /// Returns the percent of a core that a forwarder used.
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

    /// Returns the megabytes of a forwarder that is alone in its process: the process without forwarders, plus one
    /// forwarder's share of the memory that the forwarders added. Takes the maximum over all processes.
    fn resident_alone(&self, base_resident: &BTreeMap<usize, u64>) -> f64 {
        let alone = self.hosts.iter().filter(|(_, host)| host.members > 0).filter_map(|(number, host)| {
            let base_resident = *base_resident.get(number)? as f64;
            let added = (host.usage.resident as f64 - base_resident).max(0.0);
            Some((base_resident + added / host.members as f64) / 1e6)
        });
        alone.fold(0.0, f64::max)
    }

    fn controls_since(&self, before: &Snapshot) -> Vec<ControlLoad> {
        let seconds = self.seconds_since(before);
        let loads = self.controls.iter().filter_map(|(zone, usage)| {
            let then = before.controls.get(zone)?;
            let requests = self.growth(before, *zone, |c| c.policy_requests + c.lease_requests);
            Some(ControlLoad {
                policy_bytes: self.policy_bytes_through(before, *zone) / seconds,
                lease_bytes: self.lease_bytes_through(before, *zone) / seconds,
                requests: requests / seconds,
                core: 100.0 * (usage.processor - then.processor).as_secs_f64() / seconds,
                resident: usage.resident as f64 / 1e6,
            })
        });
        loads.collect()
    }

    /// Returns the bytes of policy traffic through a control process, which is the traffic of its zone's link. The
    /// control process with the commit point also has the traffic of all other zones and of the proposer.
    fn policy_bytes_through(&self, before: &Snapshot, zone: usize) -> f64 {
        let of_zone = |zone: usize| self.growth(before, zone, |counts| counts.policy_bytes);
        if zone != COMMIT_POINT_ZONE {
            return of_zone(zone);
        }
        let proposer = self.proposer_bytes.saturating_sub(before.proposer_bytes);
        (0..ZONES).map(of_zone).sum::<f64>() + proposer as f64
    }

    /// Returns the bytes of lease traffic through a control process, which is the traffic of its zone's link. A
    /// control process with a lease store also has the traffic of the other zones of its region.
    fn lease_bytes_through(&self, before: &Snapshot, zone: usize) -> f64 {
        let of_zone = |zone: usize| self.growth(before, zone, |counts| counts.lease_bytes);
        if !zone.is_multiple_of(ZONES_PER_REGION) {
            return of_zone(zone);
        }
        (zone..zone + ZONES_PER_REGION).map(of_zone).sum()
    }
}

/// The load of one control process.
struct ControlLoad {
    policy_bytes: f64,
    lease_bytes: f64,
    requests: f64,
    core: f64,
    resident: f64,
}

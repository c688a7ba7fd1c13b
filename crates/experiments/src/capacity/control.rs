//! `capacity-control`: measures the cost of the control plane on fleets of 50, 150 and 450 simulated forwarders.
//!
//! A simulated forwarder runs the policy participant, the membership and the lease manager of a real forwarder, with
//! their sockets and codecs, and takes no traffic. Up to 25 of them share a process. There are three regions with two
//! zones each, and each zone has one control process, which replaces the zone's Consul servers. Leases are called
//! duties in tables and in stored keys.
//!
//! The control processes do not replicate. Instead, each region has one store for its leases, in the region's first
//! zone, and the fleet has one commit point, in the first zone of the first region. A forwarder connects to the control
//! process of its own zone, and a fault proxy there forwards the connection to the store, as a Consul follower forwards
//! to its leader the requests that only the leader may answer. The election of another leader is not modelled, so the
//! experiment only kills a zone that has no store.

pub mod child;
mod control_process;
mod fleet;
mod load;
mod messages;
mod phases;
mod process;
mod proposer;
mod reporting;
mod rules;
mod scenario;
mod simulated_forwarder;
mod table;

use crate::options::RunOptions;
use crate::report::ExperimentReport;
use fleet::FleetPlan;
use phases::{FleetResult, PhasePlan, Spans};
use std::time::Duration;
use table::FleetSize;
use tokio::runtime::Builder;
use tokio::task::LocalSet;

pub use process::CHILD_COMMAND;

/// Returns a fleet size with the name of its column.
const fn size(members: usize, column: &'static str) -> FleetSize {
    FleetSize { members, column }
}

const FULL_SIZES: [FleetSize; 3] =
    [size(50, "50 forwarders"), size(150, "150 forwarders"), size(450, "450 forwarders")];
const QUICK_SIZES: [FleetSize; 2] = [size(10, "10 forwarders"), size(30, "30 forwarders")];

/// Time between changes at the peak rate: 2,500 changes within eight hours, times three, is one change in 3.84 s.
const PEAK_CHANGE_EVERY: Duration = Duration::from_millis(3_840);

const FULL_SPANS: Spans = Spans {
    ttl: Duration::from_secs(10),
    // Consul holds a blocking query for 30 s plus 1/32 of that.
    rest: Duration::from_secs(31),
    changes: 3,
    change_every: PEAK_CHANGE_EVERY,
    large_changes: 3,
    large_change_every: Duration::from_millis(1_500),
    restarts: 16,
    restart_every: Duration::from_millis(500),
    after_loss: Duration::from_secs(1),
    after_join: Duration::from_secs(6),
};

const QUICK_SPANS: Spans = Spans {
    // With this TTL the span at rest has several queries and renewals of each forwarder, so that one more or less
    // changes the result little.
    ttl: Duration::from_secs(3),
    rest: Duration::from_secs(5),
    changes: 3,
    change_every: Duration::from_millis(500),
    large_changes: 2,
    large_change_every: Duration::from_millis(500),
    restarts: 5,
    restart_every: Duration::from_millis(300),
    after_loss: Duration::ZERO,
    after_join: Duration::ZERO,
};

/// Returns the phases of each fleet size. Under sabotage only rest and changes run, because the effect of the
/// sabotage shows there.
fn phase_plan(run: &RunOptions) -> PhasePlan {
    let spans = if run.quick { QUICK_SPANS } else { FULL_SPANS };
    PhasePlan { spans, losses: !run.quick && !run.sabotage, restarts: !run.sabotage }
}

/// Runs the experiment and returns its report.
pub fn run(run: &RunOptions) -> Result<ExperimentReport, String> {
    let sizes: &[FleetSize] = if run.quick { &QUICK_SIZES } else { &FULL_SIZES };
    // Two sizes are enough to show the effect of the sabotage. The largest fleet would only take longer.
    let sizes = if run.sabotage { &sizes[..2] } else { sizes };
    let mut results: Vec<FleetResult> = Vec::new();
    for size in sizes {
        let phase_plan = phase_plan(run);
        let plan =
            FleetPlan { members: size.members, ttl: phase_plan.spans.ttl, reads_all_members: run.sabotage };
        let runtime =
            Builder::new_current_thread().enable_all().build().map_err(|error| error.to_string())?;
        let measured = LocalSet::new().block_on(&runtime, phases::measure(plan, &phase_plan, run.seed));
        results.push(measured.map_err(|error| format!("{} forwarders: {error}", size.members))?);
        eprintln!("capacity-control: {} forwarders done", size.members);
    }
    let rows = scenario::all(&results);
    let violations = rules::violations(&rows);
    Ok(table::report(run, sizes, &rows, violations))
}

//! `capacity-control`: what control costs, measured on fleets of 50, 150 and 450 hollow forwarders.
//!
//! Each has the policy agent, the membership and the duties' keeper of the real one, with their sockets and codecs; it
//! takes no traffic. Some dozens share a process. There are three regions with two zones each, and one control stand-in
//! a zone, in six processes. The stand-in does not replicate, so what is modelled is this: each region has one store of
//! its duties, in its first zone, and the fleet has one commit point, in the first zone of the first region. A forwarder
//! connects to the stand-in of its own zone, and a fault proxy there carries it on to the store, as a follower hands on
//! to its leader what only the leader may answer. The election of another leader is not modelled, so the zone that is
//! lost is one without a store.

pub mod child;
mod fleet;
mod hollow;
mod load;
mod messages;
mod phases;
mod process;
mod proposer;
mod reporting;
mod rules;
mod scenario;
mod stand_in;
mod table;

use crate::options::RunOptions;
use crate::report::ExperimentReport;
use fleet::FleetPlan;
use phases::{Course, FleetResult, Spans};
use std::time::Duration;
use table::FleetSize;
use tokio::runtime::Builder;
use tokio::task::LocalSet;

pub use process::CHILD_COMMAND;

/// A size of the fleet, with its column.
const fn size(members: usize, column: &'static str) -> FleetSize {
    FleetSize { members, column }
}

const FULL_SIZES: [FleetSize; 3] =
    [size(50, "50 forwarders"), size(150, "150 forwarders"), size(450, "450 forwarders")];
const QUICK_SIZES: [FleetSize; 2] = [size(10, "10 forwarders"), size(30, "30 forwarders")];

/// 2,500 changes within eight hours of work, and three times as many at their peak: one in 3.84 s.
const PEAK_CHANGE_EVERY: Duration = Duration::from_millis(3_840);

const FULL_SPANS: Spans = Spans {
    ttl: Duration::from_secs(10),
    // Consul holds a look for 30 s, and a thirty-second part more.
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
    // Several looks and renewals of each fall into the span at rest, so that one more or less is no great part.
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

/// What each size goes through. Sabotage shows at rest and in a change what it would show at all.
fn course(run: &RunOptions) -> Course {
    let spans = if run.quick { QUICK_SPANS } else { FULL_SPANS };
    Course { spans, losses: !run.quick && !run.sabotage, restarts: !run.sabotage }
}

/// Runs it.
pub fn run(run: &RunOptions) -> Result<ExperimentReport, String> {
    let sizes: &[FleetSize] = if run.quick { &QUICK_SIZES } else { &FULL_SIZES };
    // The largest fleet would only take longer to show it.
    let sizes = if run.sabotage { &sizes[..2] } else { sizes };
    let mut results: Vec<FleetResult> = Vec::new();
    for size in sizes {
        let course = course(run);
        let plan =
            FleetPlan { members: size.members, ttl: course.spans.ttl, reads_all_members: run.sabotage };
        let runtime =
            Builder::new_current_thread().enable_all().build().map_err(|error| error.to_string())?;
        let measured = LocalSet::new().block_on(&runtime, phases::measure(plan, &course, run.seed));
        results.push(measured.map_err(|error| format!("{} forwarders: {error}", size.members))?);
        eprintln!("capacity-control: {} forwarders done", size.members);
    }
    let rows = scenario::all(&results);
    let broken = rules::broken(&rows);
    Ok(table::outcome(run, sizes, &rows, broken))
}

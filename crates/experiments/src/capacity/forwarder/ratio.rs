//! Comparison of the cost of a message with the smallest and the largest list. Two forwarders run side by side and are
//! measured in turns, so that other load on the machine affects both alike.

use super::fixture::{Fixture, StartedForwarder, cost_of};
use super::plan::{Plan, SHARE_DOWN};
use super::quantities::milliseconds;
use crate::capacity::client::{Client, Message, submit_all};
use crate::capacity::destinations::Destinations;
use crate::capacity::error::CapacityError;
use crate::capacity::forwarder_process::ForwarderProcess;
use std::time::{Duration, Instant};

/// One forwarder of the comparison.
struct Side {
    started: StartedForwarder,
    /// Destinations that the measured messages are sent to.
    recipients: Vec<u64>,
    /// Processor time per second with only the waiting messages, in milliseconds.
    rest: f64,
    /// Lowest cost of a message over the turns so far, in milliseconds.
    lowest_cost: f64,
}

/// The situation in which messages are sent with both lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Case {
    /// An ordinary day: a share of the destinations is down, each with one waiting message, and the measured messages
    /// go to the other destinations.
    PartDown,
    /// All destinations are down, the same number of messages wait with both lists, and the measured messages join
    /// them.
    AllDown,
}

impl Case {
    fn share_down(self) -> f64 {
        match self {
            Case::PartDown => SHARE_DOWN,
            Case::AllDown => 1.0,
        }
    }

    /// Returns the number of destinations that get a waiting message.
    fn waiting_count(self, plan: &Plan, destinations: &Destinations) -> usize {
        match self {
            Case::PartDown => destinations.down.len(),
            Case::AllDown => plan.smallest().min(destinations.down.len()),
        }
    }
}

/// Costs with the smallest list and with the largest, in this order.
#[derive(Clone, Copy, Debug)]
pub struct Ratio {
    /// Processor time per message in the cheapest turn, in milliseconds.
    pub costs: [f64; 2],
    /// Processor time per second before the measured messages, with only the waiting ones, in milliseconds.
    pub rest: [f64; 2],
}

impl Ratio {
    /// Returns the cost of a message with the large list as a multiple of the cost with the small list.
    pub fn growth(&self) -> f64 {
        self.costs[1] / self.costs[0]
    }
}

/// Measures the costs with both lists. Returns `None` if a forwarder cannot be prepared within the time limits.
pub fn measure(fixture: &mut Fixture, case: Case) -> Result<Option<Ratio>, CapacityError> {
    let (small, large) = (fixture.plan.smallest(), fixture.plan.largest());
    eprintln!("capacity-forwarder: a message with {small} listed against {large}, {case:?}");
    let prepared =
        prepare(fixture, case, small).and_then(|small| Ok([small, prepare(fixture, case, large)?]));
    let mut sides = match prepared {
        Ok(sides) => sides,
        Err(CapacityError::TooSlow { .. }) => return Ok(None),
        Err(error) => return Err(error),
    };
    std::thread::sleep(fixture.plan.settle);
    for side in &mut sides {
        side.rest = fixture.measure_rest(&side.started.process)?;
    }
    for _ in 0..fixture.plan.turns {
        for side in &mut sides {
            measure_turn(fixture, side)?;
        }
    }
    let costs = sides.each_ref().map(|side| side.lowest_cost);
    let rest = sides.each_ref().map(|side| side.rest);
    Ok(Some(Ratio { costs, rest }))
}

/// Starts the forwarder of one side and sends it the messages that have to wait.
fn prepare(fixture: &mut Fixture, case: Case, listed: usize) -> Result<Side, CapacityError> {
    let started = fixture.start(listed, case.share_down())?;
    let destinations = &started.destinations;
    let waiting = &destinations.down[..case.waiting_count(&fixture.plan, destinations)];
    if fixture.submit_to_each(&started.process, waiting)? < waiting.len() {
        return Err(CapacityError::TooSlow { what: "messages to wait", limit: fixture.plan.submit_limit });
    }
    let recipients = if destinations.up.is_empty() { waiting.to_vec() } else { destinations.up.clone() };
    Ok(Side { started, recipients, rest: 0.0, lowest_cost: f64::INFINITY })
}

fn measure_turn(fixture: &mut Fixture, side: &mut Side) -> Result<(), CapacityError> {
    let messages = fixture.messages_to_random(&side.recipients, fixture.plan.messages_in_turn);
    let (limit, reloads) = (fixture.plan.submit_limit, fixture.sabotage);
    let process = &side.started.process;
    // The forwarder closes an idle connection while the other side has its turn, so each turn opens a new one.
    let mut client = [Client::connect(process.clients)?];
    let (accepted, cost) = cost_of(process, || submit(process, &mut client, messages, reloads, limit))?;
    if accepted == 0 {
        return Err(CapacityError::TooSlow { what: "a message", limit });
    }
    side.lowest_cost = side.lowest_cost.min(milliseconds(cost.processor) / accepted as f64);
    Ok(())
}

/// Sends messages one by one. If `reloads` is `true`, the forwarder reloads its configuration before each message.
fn submit(
    process: &ForwarderProcess,
    client: &mut [Client],
    messages: Vec<Message>,
    reloads: bool,
    limit: Duration,
) -> Result<usize, CapacityError> {
    if !reloads {
        return submit_all(client, &mut messages.into_iter(), limit);
    }
    let begin = Instant::now();
    let mut accepted = 0;
    for message in messages {
        if begin.elapsed() > limit {
            break;
        }
        process.signal_reload()?;
        accepted += submit_all(client, &mut std::iter::once(message), limit)?;
    }
    Ok(accepted)
}

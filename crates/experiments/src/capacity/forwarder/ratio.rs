//! The cost of a message at the smallest and the largest list, side by side and by turns, so that what else the machine
//! does weighs on both alike.

use super::plan::{PART_DOWN, Plan};
use super::quantities::milliseconds;
use super::rig::{Rig, Started, cost_of};
use crate::capacity::client::{Client, Message, hand_in_all};
use crate::capacity::destinations::Destinations;
use crate::capacity::error::CapacityError;
use crate::capacity::forwarder_process::ForwarderProcess;
use std::time::{Duration, Instant};

/// One side of the comparison.
struct Side {
    started: Started,
    /// Destinations that messages are handed in to.
    to: Vec<u64>,
    /// Milliseconds of processor time a second with the waiting messages alone.
    rest: f64,
    /// The least cost of a message in a turn, in milliseconds.
    least: f64,
}

/// What one more message does at both lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Case {
    /// An ordinary day: a part is down, with a message waiting for each, and messages go to the others.
    PartDown,
    /// All are down, with the same number of messages waiting at both lists, and messages join them.
    AllDown,
}

impl Case {
    fn part_down(self) -> f64 {
        match self {
            Case::PartDown => PART_DOWN,
            Case::AllDown => 1.0,
        }
    }

    /// Destinations of a list that get a message to wait with.
    fn given(self, plan: &Plan, destinations: &Destinations) -> usize {
        match self {
            Case::PartDown => destinations.down.len(),
            Case::AllDown => plan.smallest().min(destinations.down.len()),
        }
    }
}

/// Costs at the smallest list and at the largest.
#[derive(Clone, Copy, Debug)]
pub struct Ratio {
    /// Processor time a message, in milliseconds: the least turn.
    pub costs: [f64; 2],
    /// Processor time a second before the messages, in milliseconds: with those waiting alone.
    pub rest: [f64; 2],
}

impl Ratio {
    /// How many times as much a message costs at the large list.
    pub fn growth(&self) -> f64 {
        self.costs[1] / self.costs[0]
    }
}

/// Compares them; none where a forwarder with the large list cannot be had.
pub fn measure(rig: &mut Rig, case: Case) -> Result<Option<Ratio>, CapacityError> {
    let (small, large) = (rig.plan.smallest(), rig.plan.largest());
    eprintln!("capacity-forwarder: a message with {small} listed against {large}, {case:?}");
    let begun = begin(rig, case, small).and_then(|small| Ok([small, begin(rig, case, large)?]));
    let mut sides = match begun {
        Ok(sides) => sides,
        Err(CapacityError::TooSlow { .. }) => return Ok(None),
        Err(error) => return Err(error),
    };
    std::thread::sleep(rig.plan.settle);
    for side in &mut sides {
        side.rest = rig.at_rest(&side.started.process)?;
    }
    for _ in 0..rig.plan.turns {
        for side in &mut sides {
            take_turn(rig, side)?;
        }
    }
    let costs = sides.each_ref().map(|side| side.least);
    let rest = sides.each_ref().map(|side| side.rest);
    Ok(Some(Ratio { costs, rest }))
}

/// Starts one side, and has the messages wait that its case asks for.
fn begin(rig: &mut Rig, case: Case, listed: usize) -> Result<Side, CapacityError> {
    let started = rig.start(listed, case.part_down())?;
    let destinations = &started.destinations;
    let waiting = &destinations.down[..case.given(&rig.plan, destinations)];
    if rig.give_each(&started.process, waiting)? < waiting.len() {
        return Err(CapacityError::TooSlow { what: "messages to wait", limit: rig.plan.hand_in_limit });
    }
    let to = if destinations.up.is_empty() { waiting.to_vec() } else { destinations.up.clone() };
    Ok(Side { started, to, rest: 0.0, least: f64::INFINITY })
}

fn take_turn(rig: &mut Rig, side: &mut Side) -> Result<(), CapacityError> {
    let messages = rig.messages_to_some(&side.to, rig.plan.messages_in_turn);
    let (limit, reloads) = (rig.plan.hand_in_limit, rig.sabotage);
    let process = &side.started.process;
    // An idle connection is closed by the forwarder while the other side has its turn.
    let mut client = [Client::connect(process.clients)?];
    let (taken, cost) = cost_of(process, || hand_in(process, &mut client, messages, reloads, limit))?;
    if taken == 0 {
        return Err(CapacityError::TooSlow { what: "a message", limit });
    }
    side.least = side.least.min(milliseconds(cost.processor) / taken as f64);
    Ok(())
}

/// Hands them in one by one; `reloads` has the configuration with its list read again before each.
fn hand_in(
    process: &ForwarderProcess,
    client: &mut [Client],
    messages: Vec<Message>,
    reloads: bool,
    limit: Duration,
) -> Result<usize, CapacityError> {
    if !reloads {
        return hand_in_all(client, &mut messages.into_iter(), limit);
    }
    let begin = Instant::now();
    let mut taken = 0;
    for message in messages {
        if begin.elapsed() > limit {
            break;
        }
        process.signal_reload()?;
        taken += hand_in_all(client, &mut std::iter::once(message), limit)?;
    }
    Ok(taken)
}

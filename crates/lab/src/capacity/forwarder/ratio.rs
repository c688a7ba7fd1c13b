//! The cost of a message at the smallest and the largest list, side by side and by turns, so that what else the machine
//! does weighs on both alike.

use super::plan::PART_DOWN;
use super::quantities::milliseconds;
use super::rig::{Rig, Started, cost_of};
use crate::capacity::client::{Client, Message, hand_in_all};
use crate::capacity::error::CapacityError;
use crate::capacity::forwarder_process::ForwarderProcess;
use std::time::Duration;

/// One side of the comparison.
struct Side {
    started: Started,
    client: [Client; 1],
    /// Milliseconds of processor time a second with the waiting messages alone.
    rest: f64,
    /// The least cost of a message in a turn, in milliseconds.
    least: f64,
    /// The same without the forwarder's cost at rest.
    least_alone: f64,
}

/// Costs of a message in milliseconds: the least turn of each side.
#[derive(Clone, Copy, Debug)]
pub struct Ratio {
    /// With the smallest list and with the largest.
    pub costs: [f64; 2],
    /// The same without what the forwarder costs at rest.
    pub costs_alone: [f64; 2],
}

impl Ratio {
    /// How many times as much a message costs at the large list.
    pub fn growth(&self) -> f64 {
        self.costs[1] / self.costs[0]
    }

    /// The same without what the forwarder costs at rest.
    pub fn growth_alone(&self) -> f64 {
        self.costs_alone[1] / self.costs_alone[0]
    }
}

/// Compares them; none where a forwarder with the large list cannot be had.
pub fn measure(rig: &mut Rig) -> Result<Option<Ratio>, CapacityError> {
    let (small, large) = (rig.plan.smallest(), rig.plan.largest());
    eprintln!("capacity-forwarder: a message with {small} listed against {large}");
    let begun = begin(rig, small).and_then(|small| Ok([small, begin(rig, large)?]));
    let mut sides = match begun {
        Ok(sides) => sides,
        Err(CapacityError::TooSlow { .. }) => return Ok(None),
        Err(error) => return Err(error),
    };
    for _ in 0..rig.plan.turns {
        for side in &mut sides {
            take_turn(rig, side)?;
        }
    }
    let costs = sides.each_ref().map(|side| side.least);
    let costs_alone = sides.each_ref().map(|side| side.least_alone);
    Ok(Some(Ratio { costs, costs_alone }))
}

/// Starts one side, and has a message wait for each of its destinations that is down.
fn begin(rig: &mut Rig, listed: usize) -> Result<Side, CapacityError> {
    let started = rig.start(listed, PART_DOWN)?;
    let down = &started.destinations.down;
    let taken = rig.give_each(&started.process, down)?;
    if taken < down.len() {
        return Err(CapacityError::TooSlow { what: "messages to wait", limit: rig.plan.hand_in_limit });
    }
    let rest = rig.at_rest(&started.process)?;
    let client = [Client::connect(started.process.clients)?];
    Ok(Side { started, client, rest, least: f64::INFINITY, least_alone: f64::INFINITY })
}

fn take_turn(rig: &mut Rig, side: &mut Side) -> Result<(), CapacityError> {
    let messages = rig.messages_to_some(&side.started.destinations.up, rig.plan.messages_in_turn);
    let (limit, reloads) = (rig.plan.hand_in_limit, rig.sabotage);
    let (process, client) = (&side.started.process, &mut side.client);
    let (taken, cost) = cost_of(process, || hand_in(process, client, messages, reloads, limit))?;
    if taken == 0 {
        return Err(CapacityError::TooSlow { what: "a message", limit });
    }
    let used = milliseconds(cost.processor);
    let alone = (used - side.rest * cost.elapsed.as_secs_f64()).max(0.0);
    side.least = side.least.min(used / taken as f64);
    side.least_alone = side.least_alone.min(alone / taken as f64);
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
    let mut taken = 0;
    for message in messages {
        process.signal_reload()?;
        taken += hand_in_all(client, &mut std::iter::once(message), limit)?;
    }
    Ok(taken)
}

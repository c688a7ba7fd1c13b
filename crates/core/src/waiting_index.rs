//! Indexes the destinations with queued messages by what they wait for: sets of ready destinations, and timer queues
//! for those whose routes open later. A step examines these instead of all destinations.

use crate::interface::{DestinationId, Micros};
use crate::queue::QueueRank;
use crate::timer_queue::TimerQueue;
use std::collections::{BTreeMap, BTreeSet};

/// What a destination waits for, as determined at one time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Wait {
    /// When this was determined. The routes of a ready destination may have stopped taking calls since.
    pub found_at: Micros,
    /// The first message that can be sent now, on any route.
    pub ready: Option<QueueRank>,
    /// The first message that can be sent now on a route that is not faulty.
    pub ready_healthy: Option<QueueRank>,
    /// Earliest time at which one of its routes can open or close without an event. It may be too early but is never
    /// too late.
    pub changes_at: Option<Micros>,
    /// When the next slow-start draw of one of its routes is due.
    pub draw_at: Option<Micros>,
}

/// A message that can be sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReadyMessage {
    pub rank: QueueRank,
    pub destination: DestinationId,
    /// When this was determined.
    pub found_at: Micros,
}

/// Index of the destinations with queued messages.
#[derive(Debug, Default)]
pub(crate) struct WaitingIndex {
    waits: BTreeMap<DestinationId, Wait>,
    ready: BTreeSet<(QueueRank, DestinationId)>,
    ready_healthy: BTreeSet<(QueueRank, DestinationId)>,
    changes: TimerQueue<DestinationId>,
    draws: TimerQueue<DestinationId>,
    lengths: BTreeSet<(usize, DestinationId)>,
}

impl WaitingIndex {
    /// Replaces what a destination waits for; `None` if its queue is empty.
    pub fn set(&mut self, id: DestinationId, wait: Option<Wait>) {
        let before = match wait {
            Some(wait) => self.waits.insert(id, wait),
            None => self.waits.remove(&id),
        };
        let before = before.unwrap_or_default();
        let wait = wait.unwrap_or_default();
        replace(&mut self.ready, id, before.ready, wait.ready);
        replace(&mut self.ready_healthy, id, before.ready_healthy, wait.ready_healthy);
        self.changes.set(id, wait.changes_at);
        self.draws.set(id, wait.draw_at);
    }

    /// Records a change in the length of a queue.
    pub fn resize(&mut self, id: DestinationId, before: usize, length: usize) {
        replace(&mut self.lengths, id, Some(before).filter(|l| *l > 0), Some(length).filter(|l| *l > 0));
    }

    /// Returns the destination with the longest queue; if several are equally long, the one with the highest number.
    pub fn longest(&self) -> Option<DestinationId> {
        self.lengths.last().map(|(_, id)| *id)
    }

    /// Returns the first message that can be sent.
    pub fn first_ready(&self, healthy_only: bool) -> Option<ReadyMessage> {
        let ready = if healthy_only { &self.ready_healthy } else { &self.ready };
        let &(rank, destination) = ready.first()?;
        Some(ReadyMessage { rank, destination, found_at: self.waits[&destination].found_at })
    }

    /// Removes and returns the destinations whose routes may have opened or closed by now.
    pub fn pop_changed(&mut self, now: Micros) -> impl Iterator<Item = DestinationId> {
        std::iter::from_fn(move || self.changes.pop_due(now))
    }

    /// Removes and returns the destinations with a draw that is due.
    pub fn pop_draws(&mut self, now: Micros) -> impl Iterator<Item = DestinationId> {
        std::iter::from_fn(move || self.draws.pop_due(now))
    }

    /// Iterates over the destinations by the time at which they may open or close, the earliest first.
    pub fn changes(&self) -> impl Iterator<Item = (Micros, DestinationId)> {
        self.changes.iter()
    }

    /// Iterates over all indexed destinations with a queue.
    pub fn ids(&self) -> impl Iterator<Item = DestinationId> {
        self.waits.keys().copied()
    }
}

fn replace<Key: Ord + Copy>(
    set: &mut BTreeSet<(Key, DestinationId)>,
    id: DestinationId,
    before: Option<Key>,
    after: Option<Key>,
) {
    if before == after {
        return;
    }
    if let Some(before) = before {
        set.remove(&(before, id));
    }
    if let Some(after) = after {
        set.insert((after, id));
    }
}

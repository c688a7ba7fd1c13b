//! What is played: sizes, and how long each part may take.

use std::time::Duration;

/// Parts of the destinations that are down.
pub const PARTS_DOWN: [f64; 3] = [0.0, PART_DOWN, 1.0];
/// The part that is down on an ordinary day.
pub const PART_DOWN: f64 = 0.029;

/// Sizes and times of a run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Destinations listed, rising.
    pub listed: Vec<usize>,
    /// Messages taken on one after another, rising; each is measured.
    pub taken: Vec<usize>,
    /// Messages in a journal that is read at a start, rising.
    pub journaled: Vec<usize>,
    /// Destinations listed while messages wait.
    pub listed_while_waiting: usize,
    /// Destinations that are given a message each, at most, where they are down.
    pub most_down_given: usize,
    /// Messages handed in on one connection to measure what one costs.
    pub messages: usize,
    /// Turns by which the costs at the smallest and the largest list are compared, and messages in each.
    pub turns: usize,
    /// Messages in a turn.
    pub messages_in_turn: usize,
    /// Time from the messages that come to wait until anything is measured: trial calls at destinations that are down
    /// are most frequent at first.
    pub settle: Duration,
    /// Time for which a forwarder at rest is watched.
    pub rest: Duration,
    /// A start that takes longer ends the rising of its sizes.
    pub start_limit: Duration,
    /// Time for messages of one part of a play.
    pub hand_in_limit: Duration,
    /// Time for a change of the list, or a reload.
    pub change_limit: Duration,
}

impl Plan {
    /// The whole: minutes.
    pub fn full() -> Self {
        Plan {
            listed: vec![1_000, 3_000, 10_000, 30_000, 100_000],
            taken: vec![1_000, 3_000, 10_000, 30_000, 100_000],
            journaled: vec![1_000, 3_000, 10_000, 30_000, 100_000, 300_000, 1_000_000],
            listed_while_waiting: 1_000,
            most_down_given: 10_000,
            messages: 400,
            turns: 5,
            messages_in_turn: 100,
            settle: Duration::from_secs(8),
            rest: Duration::from_secs(2),
            start_limit: Duration::from_secs(20),
            hand_in_limit: Duration::from_secs(6),
            change_limit: Duration::from_secs(10),
        }
    }

    /// Seconds, for a look and for tests.
    pub fn quick() -> Self {
        Plan {
            listed: vec![300, 1_000, 3_000],
            taken: vec![300, 1_000, 3_000],
            journaled: vec![1_000, 3_000, 10_000],
            listed_while_waiting: 300,
            most_down_given: 300,
            messages: 60,
            turns: 8,
            messages_in_turn: 40,
            settle: Duration::from_millis(500),
            rest: Duration::from_millis(500),
            ..Plan::full()
        }
    }

    /// The least of the lists.
    pub fn smallest(&self) -> usize {
        self.listed.first().copied().unwrap_or_default()
    }

    /// The largest of the lists.
    pub fn largest(&self) -> usize {
        self.listed.last().copied().unwrap_or_default()
    }
}

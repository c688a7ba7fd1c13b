//! The sizes and time limits of a run.

use std::time::Duration;

/// Shares of the destinations that are down, each measured in turn.
pub const SHARES_DOWN: [f64; 3] = [0.0, SHARE_DOWN, 1.0];
/// Share of the destinations that is down on an ordinary day.
pub const SHARE_DOWN: f64 = 0.029;

/// The sizes and time limits of a run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Numbers of destinations listed, ascending.
    pub listed: Vec<usize>,
    /// Numbers of accepted messages at which the cost is measured, ascending.
    pub accepted: Vec<usize>,
    /// Numbers of messages in a journal that is read at a start, ascending.
    pub journaled: Vec<usize>,
    /// Number of destinations listed in the measurements by waiting messages.
    pub listed_while_waiting: usize,
    /// Maximum number of destinations that are down and get one waiting message each.
    pub max_waiting_destinations: usize,
    /// Number of messages sent on one connection to measure the mean cost of a message.
    pub messages: usize,
    /// Number of turns in which the costs with the smallest and the largest list are compared.
    pub turns: usize,
    /// Number of messages in a turn.
    pub messages_in_turn: usize,
    /// Pause between the sending of the waiting messages and the measurement, because trial calls to destinations that
    /// are down are most frequent at first.
    pub settle: Duration,
    /// Length of a measurement at rest.
    pub rest: Duration,
    /// Maximum time of a start. If a start takes longer, larger sizes are left out.
    pub start_limit: Duration,
    /// Maximum time for sending the messages of one measurement.
    pub submit_limit: Duration,
    /// Maximum time for a change of the list or a reload.
    pub change_limit: Duration,
}

impl Plan {
    /// Returns the sizes and limits of the full run, which takes minutes.
    pub fn full() -> Self {
        Plan {
            listed: vec![1_000, 3_000, 10_000, 30_000, 100_000],
            accepted: vec![1_000, 3_000, 10_000, 30_000, 100_000],
            journaled: vec![1_000, 3_000, 10_000, 30_000, 100_000, 300_000, 1_000_000],
            listed_while_waiting: 1_000,
            max_waiting_destinations: 10_000,
            messages: 400,
            turns: 5,
            messages_in_turn: 100,
            settle: Duration::from_secs(8),
            rest: Duration::from_secs(2),
            start_limit: Duration::from_secs(20),
            submit_limit: Duration::from_secs(6),
            change_limit: Duration::from_secs(10),
        }
    }

    /// Returns the sizes and limits of the quick run, which takes seconds and is for tests and a first impression.
    pub fn quick() -> Self {
        Plan {
            listed: vec![300, 1_000, 3_000],
            accepted: vec![300, 1_000, 3_000],
            journaled: vec![1_000, 3_000, 10_000],
            listed_while_waiting: 300,
            max_waiting_destinations: 300,
            messages: 60,
            turns: 8,
            messages_in_turn: 40,
            settle: Duration::from_millis(500),
            rest: Duration::from_millis(500),
            ..Plan::full()
        }
    }

    /// Returns the smallest number of destinations listed.
    pub fn smallest(&self) -> usize {
        self.listed.first().copied().unwrap_or_default()
    }

    /// Returns the largest number of destinations listed.
    pub fn largest(&self) -> usize {
        self.listed.last().copied().unwrap_or_default()
    }
}

//! Many services over few connections: which service is read next, and whether with a blocking query. No I/O, no clock.
//!
//! As long as there are no more services than connections, each service has a blocking query in flight, and Consul responds
//! the moment that something changes. Beyond that the services take turns: the one that has waited longest is read next,
//! without a wait, so that none is starved; services named by a hint come first. Times are in microseconds of the caller's
//! clock.

use orchidyoke_core::interface::Micros;
use std::collections::{BTreeSet, VecDeque};

/// Least time from one read of a service to the next.
const ROUND_MIN_US: Micros = 1_000_000;
/// The same in an expedited round.
const EXPEDITED_ROUND_MIN_US: Micros = 150_000;
/// Processor time of one read on the forwarder's thread, rounded up.
const QUERY_COST_US: Micros = 100;
/// Reads take at most this part of the thread's time.
const ROUND_COST_DIVISOR: Micros = 20;
/// The same in an expedited round.
const EXPEDITED_ROUND_COST_DIVISOR: Micros = 3;

/// What a connection is to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextQuery {
    /// Read this service with a blocking query.
    Blocking(usize),
    /// Read this service, without a wait.
    Immediate(usize),
    /// Nothing before this time.
    NotBefore(Micros),
}

/// A service and when it is due; the earliest is the least.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct DueService {
    due_at: Micros,
    service: usize,
}

/// The order in which services are read.
#[derive(Debug)]
pub struct QuerySchedule {
    /// Services by when they are due, without those in flight.
    due: BTreeSet<DueService>,
    /// When each is due, unless it is in flight.
    due_at: Vec<Option<Micros>>,
    /// How early each may be read in an expedited round.
    expedited_at: Vec<Micros>,
    /// In the order of their hints.
    hinted_services: VecDeque<usize>,
    /// The last turn went to a hint.
    last_was_hint: bool,
    /// Hinted at while in flight: the response may be older than the hint.
    hinted_in_flight: BTreeSet<usize>,
    is_blocking: bool,
    round_us: Micros,
    expedited_round_us: Micros,
}

impl QuerySchedule {
    /// A schedule of so many services over so many connections (at least one).
    pub fn new(services: usize, connections: usize) -> Self {
        QuerySchedule {
            due: (0..services).map(|service| DueService { due_at: 0, service }).collect(),
            due_at: vec![Some(0); services],
            expedited_at: vec![0; services],
            hinted_services: VecDeque::new(),
            last_was_hint: false,
            hinted_in_flight: BTreeSet::new(),
            is_blocking: services <= connections.max(1),
            round_us: ROUND_MIN_US.max(services as Micros * QUERY_COST_US * ROUND_COST_DIVISOR),
            expedited_round_us: EXPEDITED_ROUND_MIN_US
                .max(services as Micros * QUERY_COST_US * EXPEDITED_ROUND_COST_DIVISOR),
        }
    }

    /// Whether each service has a connection of its own.
    pub fn is_blocking(&self) -> bool {
        self.is_blocking
    }

    /// Time in microseconds from one read of a service to the next, where they take turns.
    pub fn round_us(&self) -> Micros {
        self.round_us
    }

    /// The next read for a connection that is free.
    pub fn next(&mut self, now: Micros) -> NextQuery {
        // Every other turn goes to the services that are due, so that hints without a pause starve none of them.
        let is_due = self.due.first().is_some_and(|next| next.due_at <= now);
        if (!self.last_was_hint || !is_due)
            && let Some(service) = self.hinted_services.pop_front()
        {
            self.last_was_hint = true;
            return self.start(service);
        }
        self.last_was_hint = false;
        match self.due.first().copied() {
            Some(next) if next.due_at <= now => self.start(next.service),
            Some(next) => NextQuery::NotBefore(next.due_at),
            None => NextQuery::NotBefore(Micros::MAX),
        }
    }

    /// Takes a service out of the schedule until its read has ended.
    fn start(&mut self, service: usize) -> NextQuery {
        self.hinted_services.retain(|other| *other != service);
        if let Some(due_at) = self.due_at[service].take() {
            self.due.remove(&DueService { due_at, service });
        }
        if self.is_blocking { NextQuery::Blocking(service) } else { NextQuery::Immediate(service) }
    }

    /// A read has ended; the service may be read again, not before this time. `failed`: there was no response, so it does
    /// not wait for its next round.
    pub fn answered(&mut self, now: Micros, service: usize, not_before: Micros, failed: bool) {
        let was_hinted = self.hinted_in_flight.remove(&service);
        let waits_a_round = !self.is_blocking && !failed && !was_hinted;
        let due_at = if waits_a_round { not_before.max(now + self.round_us) } else { not_before };
        self.expedited_at[service] = not_before.max(now + self.expedited_round_us);
        self.due_at[service] = Some(due_at);
        self.due.insert(DueService { due_at, service });
    }

    /// Something has changed in an unknown service: all are read sooner, though not within an expedited round of their
    /// last read.
    pub fn expedite(&mut self) {
        if self.is_blocking {
            return;
        }
        for (service, due) in self.due_at.iter_mut().enumerate() {
            let expedited_at = self.expedited_at[service];
            if let Some(due_at) = due.as_mut().filter(|due_at| **due_at > expedited_at) {
                self.due.remove(&DueService { due_at: *due_at, service });
                *due_at = expedited_at;
                self.due.insert(DueService { due_at: expedited_at, service });
            }
        }
    }

    /// This service may have changed: it is read next.
    pub fn hint(&mut self, service: usize) {
        if self.due_at[service].is_none() {
            self.hinted_in_flight.insert(service);
        } else if !self.hinted_services.contains(&service) {
            self.hinted_services.push_back(service);
        }
    }
}

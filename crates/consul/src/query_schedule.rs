//! Decides which of many services is read next over few connections, and whether with a blocking query. This module
//! does no I/O and reads no clock. Times are in microseconds of the caller's clock.
//!
//! If there are at most as many services as connections, each service has a blocking query in flight, and Consul
//! responds as soon as something changes. Otherwise the services take turns with immediate requests. The service that
//! has been due longest is read next, so that no service starves. A service that a hint names is read before the
//! others.

use orchidyoke_core::interface::Micros;
use std::collections::{BTreeSet, VecDeque};

/// Shortest time from one read of a service to the next.
const ROUND_MIN_US: Micros = 1_000_000;
/// Shortest time from one read of a service to the next in an expedited round.
const EXPEDITED_ROUND_MIN_US: Micros = 150_000;
/// Processor time of one read on the forwarder's thread, rounded up.
const QUERY_COST_US: Micros = 100;
/// Reads take at most one part in this many of the thread's time.
const ROUND_COST_DIVISOR: Micros = 20;
/// Reads take at most one part in this many of the thread's time in an expedited round.
const EXPEDITED_ROUND_COST_DIVISOR: Micros = 3;

/// The next action of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextQuery {
    /// Read this service with a blocking query.
    Blocking(usize),
    /// Read this service with an immediate request.
    Immediate(usize),
    /// Read no service before this time.
    NotBefore(Micros),
}

/// A service and the time when it is due. The order is by that time, earliest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct DueService {
    due_at: Micros,
    service: usize,
}

/// The order in which services are read.
#[derive(Debug)]
pub struct QuerySchedule {
    /// Services in the order in which they are due, except those with a read in flight.
    due: BTreeSet<DueService>,
    /// When each service is due; `None` while its read is in flight.
    due_at: Vec<Option<Micros>>,
    /// The earliest time at which each service may be read in an expedited round.
    expedited_at: Vec<Micros>,
    /// Services that a hint has named, in the order of their hints.
    hinted_services: VecDeque<usize>,
    /// Whether the last read was of a hinted service.
    last_was_hint: bool,
    /// Services that a hint has named while their read was in flight. The response may be older than the hint, so these
    /// services are read again without waiting for their next round.
    hinted_in_flight: BTreeSet<usize>,
    is_blocking: bool,
    round_us: Micros,
    expedited_round_us: Micros,
}

impl QuerySchedule {
    /// Creates a schedule for this number of services and connections. 0 connections count as 1.
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

    /// Returns whether each service has its own connection.
    pub fn is_blocking(&self) -> bool {
        self.is_blocking
    }

    /// Returns the time in microseconds from one read of a service to the next while services take turns.
    pub fn round_us(&self) -> Micros {
        self.round_us
    }

    /// Returns the next read for a connection that is free.
    pub fn next(&mut self, now: Micros) -> NextQuery {
        // At least every other read is of a service that is due, so that continuous hints starve no service.
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

    /// Handles the end of a read. The service may be read again, but not before `not_before`. `failed` says that there
    /// was no response; the service then does not wait for its next round.
    pub fn answered(&mut self, now: Micros, service: usize, not_before: Micros, failed: bool) {
        let was_hinted = self.hinted_in_flight.remove(&service);
        let waits_a_round = !self.is_blocking && !failed && !was_hinted;
        let due_at = if waits_a_round { not_before.max(now + self.round_us) } else { not_before };
        self.expedited_at[service] = not_before.max(now + self.expedited_round_us);
        self.due_at[service] = Some(due_at);
        self.due.insert(DueService { due_at, service });
    }

    /// Reads all services sooner, because one of them has changed and it is not known which one. No service is read
    /// again within an expedited round of its last read.
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

    /// Schedules a service before the others, because it may have changed.
    pub fn hint(&mut self, service: usize) {
        if self.due_at[service].is_none() {
            self.hinted_in_flight.insert(service);
        } else if !self.hinted_services.contains(&service) {
            self.hinted_services.push_back(service);
        }
    }
}

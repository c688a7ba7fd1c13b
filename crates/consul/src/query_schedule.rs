//! Many services over few connections: who is asked next, and how long Consul may hold the question. No I/O, no
//! clock.
//!
//! As long as there are no more services than connections, each service has a blocking query out, and Consul answers
//! the moment that something changes. Beyond that the services take turns: the one that has waited longest is asked
//! next, with no wait, so that none is starved; what a hint names comes before all others.

use orchidyoke_core::interface::Micros;
use std::collections::{BTreeSet, VecDeque};

/// Between two visits of one service there is at least this time: a round of idle services is not asked for nothing.
const ROUND_MIN_US: Micros = 1_000_000;
/// When expedited there is at least this time.
const EXPEDITED_ROUND_MIN_US: Micros = 150_000;
/// Time that a visit costs this thread, with some to spare (75 µs were measured). A round is so long that visits use
/// up a twentieth of it; when expedited, a third.
const QUERY_COST_US: Micros = 100;
const ROUND_COST_DIVISOR: Micros = 20;
const EXPEDITED_ROUND_COST_DIVISOR: Micros = 3;

/// What a connection is to ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextQuery {
    /// This service; Consul may hold the question.
    Blocking(usize),
    /// This service; the answer is wanted at once.
    Immediate(usize),
    /// Nothing before this moment.
    NotBefore(Micros),
}

/// The order in which services are asked.
#[derive(Debug)]
pub struct QuerySchedule {
    /// Services by when they are due, but for those out.
    due: BTreeSet<(Micros, usize)>,
    /// When each is due, unless it is out.
    due_at: Vec<Option<Micros>>,
    /// How early each may be asked when expedited.
    earliest: Vec<Micros>,
    hinted_services: VecDeque<usize>,
    /// The last turn was for a hint.
    last_was_hint: bool,
    /// Named by a hint while they were out: the answer may be older than the hint.
    hinted_in_flight: BTreeSet<usize>,
    blocking: bool,
    round: Micros,
    expedited_round: Micros,
}

impl QuerySchedule {
    /// So many services over so many connections (at least one).
    pub fn new(services: usize, connections: usize) -> Self {
        QuerySchedule {
            due: (0..services).map(|service| (0, service)).collect(),
            due_at: vec![Some(0); services],
            earliest: vec![0; services],
            hinted_services: VecDeque::new(),
            last_was_hint: false,
            hinted_in_flight: BTreeSet::new(),
            blocking: services <= connections.max(1),
            round: ROUND_MIN_US.max(services as Micros * QUERY_COST_US * ROUND_COST_DIVISOR),
            expedited_round: EXPEDITED_ROUND_MIN_US
                .max(services as Micros * QUERY_COST_US * EXPEDITED_ROUND_COST_DIVISOR),
        }
    }

    /// Whether each service has a connection of its own.
    pub fn is_blocking(&self) -> bool {
        self.blocking
    }

    /// Time from one visit of a service to the next, where they take turns.
    pub fn round(&self) -> Micros {
        self.round
    }

    /// The next question for a connection that is free.
    pub fn next(&mut self, now: Micros) -> NextQuery {
        // Hints come first, but every other turn is for those that are due: a hint that is never quiet starves nobody.
        let waits = self.due.first().is_some_and(|(at, _)| *at <= now);
        if (!self.last_was_hint || !waits)
            && let Some(service) = self.hinted_services.pop_front()
        {
            self.last_was_hint = true;
            return self.take(service);
        }
        self.last_was_hint = false;
        match self.due.first().copied() {
            Some((at, service)) if at <= now => self.take(service),
            Some((at, _)) => NextQuery::NotBefore(at),
            None => NextQuery::NotBefore(Micros::MAX),
        }
    }

    fn take(&mut self, service: usize) -> NextQuery {
        self.hinted_services.retain(|other| *other != service);
        if let Some(at) = self.due_at[service].take() {
            self.due.remove(&(at, service));
        }
        if self.blocking { NextQuery::Blocking(service) } else { NextQuery::Immediate(service) }
    }

    /// A service that was asked may be asked again, not before this moment. `failed`: its answer was none.
    pub fn answered(&mut self, now: Micros, service: usize, not_before: Micros, failed: bool) {
        let named = self.hinted_in_flight.remove(&service);
        let at = match (self.blocking, failed || named) {
            (true, _) | (false, true) => not_before,
            (false, false) => not_before.max(now + self.round),
        };
        self.earliest[service] = not_before.max(now + self.expedited_round);
        self.due_at[service] = Some(at);
        self.due.insert((at, service));
    }

    /// Something has changed, and it is not told where: all are asked sooner, though not within an expedited round
    /// of their last visit.
    pub fn expedite(&mut self) {
        if self.blocking {
            return;
        }
        for (service, due) in self.due_at.iter_mut().enumerate() {
            if let Some(at) = due.as_mut().filter(|at| **at > self.earliest[service]) {
                self.due.remove(&(*at, service));
                *at = self.earliest[service];
                self.due.insert((*at, service));
            }
        }
    }

    /// Something tells that this service has changed: it is asked next.
    pub fn hint(&mut self, service: usize) {
        if self.due_at[service].is_none() {
            self.hinted_in_flight.insert(service);
        } else if !self.hinted_services.contains(&service) {
            self.hinted_services.push_back(service);
        }
    }
}

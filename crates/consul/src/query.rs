//! One blocking query: its index, when it is asked again, and whether an answer is to be believed. No I/O, no clock.
//!
//! The rules for the index are those of
//! <https://developer.hashicorp.com/consul/api-docs/features/blocking#implementation-details>: one that goes backwards
//! starts over, one that is 0 counts as 1, and there is a limit on how often is asked.

use orchidyoke_core::interface::Micros;
use std::fmt;
use std::time::Duration;

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;
/// Least time from one question to the next of a service that changes all the time.
const LEAST_GAP: Micros = 50 * MS;
/// Pauses after a failure: the first, doubled for each further one, and the longest.
const PAUSE_FIRST: Micros = 250 * MS;
const PAUSE_LAST: Micros = 8 * SECOND;
/// The longest pause that Consul can ask for.
const PAUSE_TOLD: Micros = 60 * SECOND;

/// What is read of an answer beside its body.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Head {
    /// The HTTP status.
    pub status: u16,
    /// `X-Consul-Index`, as it was written.
    pub index: Option<String>,
    /// `X-Consul-KnownLeader`; where it is missing, nothing speaks against a leader.
    pub leaderless: bool,
    /// `X-Consul-LastContact`, where the server's leader has been silent for longer than the settings allow.
    pub too_old: Option<Duration>,
    /// `Retry-After`, in seconds.
    pub retry_after: Option<u64>,
}

impl Head {
    /// Why what comes with it does not count, if it does not.
    pub fn refusal(&self) -> Option<Refusal> {
        match (self.status, self.too_old) {
            (200, _) if self.leaderless => Some(Refusal::NoLeader),
            (200, Some(age)) => Some(Refusal::TooOld(age)),
            (200, None) => None,
            (403, _) => Some(Refusal::Forbidden),
            (429, _) => Some(Refusal::TooMany),
            (status, _) => Some(Refusal::Status(status)),
        }
    }
}

/// Why an answer is not taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The server that answered knows no leader: what it has may be old, or nothing.
    NoLeader,
    /// The server that answered has not heard from its leader for so long: what it has may be that old.
    TooOld(Duration),
    /// The token may not read this.
    Forbidden,
    /// Asked too often.
    TooMany,
    /// Any other status than 200.
    Status(u16),
    /// No whole answer, or one that is not of the form.
    Broken(String),
}

impl Refusal {
    /// Whether another server may well know better: this one is cut off, or ill.
    pub fn is_of_the_server(&self) -> bool {
        match self {
            Refusal::NoLeader | Refusal::TooOld(_) => true,
            Refusal::Status(status) => *status >= 500,
            Refusal::Forbidden | Refusal::TooMany | Refusal::Broken(_) => false,
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refusal::NoLeader => f.write_str("the agent knows no leader"),
            Refusal::TooOld(age) => {
                write!(f, "the server has not heard from its leader for {} s (max_stale)", age.as_secs())
            }
            Refusal::Forbidden => f.write_str(
                "403: the token is missing, has run out, or may not read the service and its nodes (service:read, \
                 node:read)",
            ),
            Refusal::TooMany => f.write_str("429: it is asked too often"),
            Refusal::Status(status) => write!(f, "answered {status}"),
            Refusal::Broken(why) => f.write_str(why),
        }
    }
}

/// What follows from an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The body is to be read: it may be news.
    Take,
    /// Nothing has changed.
    Same,
    /// The answer says nothing; the list stays as it is.
    Refuse(Refusal),
}

/// One blocking query on one service.
#[derive(Clone, Debug, Default)]
pub struct Query {
    index: u64,
    failures: u32,
    /// Answers in a row that came at once though nothing had changed.
    idle_answers: u32,
    heard: Option<Micros>,
    asked: Micros,
    /// Asked for an answer at once: that an index stands still means no more than that nothing has changed.
    visiting: bool,
}

impl Query {
    /// Asks now; gives the index to ask with. 0 asks for an answer at once.
    pub fn ask(&mut self, now: Micros) -> u64 {
        (self.asked, self.visiting) = (now, false);
        self.index
    }

    /// Asks now for an answer at once, whatever the index.
    pub fn visit(&mut self, now: Micros) -> u64 {
        (self.asked, self.visiting) = (now, true);
        0
    }

    /// When it last got an answer that can be believed.
    pub fn heard(&self) -> Option<Micros> {
        self.heard
    }

    /// Failures since then.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// An answer has come: what it is worth, and the earliest moment of the next question. `chance` lies between 0
    /// and 1 and keeps forwarders out of step.
    pub fn answered(&mut self, now: Micros, head: &Head, chance: f64) -> (Verdict, Micros) {
        let Some(refusal) = head.refusal() else { return self.believed(now, head) };
        let again = self.failed(now, chance);
        let told = head.retry_after.map_or(0, |seconds| i64::try_from(seconds).unwrap_or(i64::MAX));
        let told = now + told.saturating_mul(SECOND).min(PAUSE_TOLD);
        (Verdict::Refuse(refusal), again.max(told))
    }

    /// No answer, or none that can be read: the earliest moment of the next question. The body of an answer that
    /// was to be taken may fail as well; then its index must not count.
    pub fn failed(&mut self, now: Micros, chance: f64) -> Micros {
        self.index = 0;
        self.failures = self.failures.saturating_add(1);
        let pause = (PAUSE_FIRST << (self.failures - 1).min(8)).min(PAUSE_LAST);
        now + (pause as f64 * (0.75 + 0.5 * chance)) as Micros
    }

    fn believed(&mut self, now: Micros, head: &Head) -> (Verdict, Micros) {
        let told = head.index.as_deref().and_then(|text| text.trim().parse::<u64>().ok());
        let before = std::mem::take(&mut self.index);
        (self.failures, self.heard) = (0, Some(now));
        match told {
            // Not a number, or none: there is nothing to wait with, so each answer comes at once.
            None | Some(0) => (Verdict::Take, now + self.idle()),
            // Backwards: Consul was restored or has lost its state. Ask anew; what was said just now counts.
            Some(index) if index < before => (Verdict::Take, now + self.idle()),
            Some(index) if index == before => {
                self.index = index;
                // After its whole wait this is how a blocking query ends; at once, it is an agent that does not wait.
                let at_once = now - self.asked < SECOND && !self.visiting;
                let pause = if at_once { self.idle() } else { 0 };
                self.idle_answers = if at_once { self.idle_answers } else { 0 };
                (Verdict::Same, now + pause)
            }
            Some(index) => {
                (self.index, self.idle_answers) = (index, 0);
                (Verdict::Take, now.max(self.asked + LEAST_GAP))
            }
        }
    }

    /// The pause where an index is of no use: it grows up to 2 s, so that neither end is kept busy.
    fn idle(&mut self) -> Micros {
        self.idle_answers = self.idle_answers.saturating_add(1);
        (LEAST_GAP << (self.idle_answers - 1).min(8)).min(2 * SECOND)
    }
}

#[cfg(test)]
mod tests;

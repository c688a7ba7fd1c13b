//! Judges the requests and messages of a run by the protocol.

use super::client::{RequestEnd, RequestRecord};
use crate::message_records::MessageRecords;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time between a last byte and the close that its client saw from which on it is certain that the byte came first.
const CERTAIN_ORDER: Duration = Duration::from_millis(1);
/// Time from SIGTERM to SIGKILL.
pub(super) const TERMINATION_GRACE: Duration = Duration::from_millis(3_700);
/// Part of the shutdown whose accepted requests are counted apart.
const LATE_REQUESTS: std::ops::Range<Duration> = Duration::from_millis(2_400)..Duration::from_millis(3_500);

/// The result of a run.
#[derive(Clone, Debug, Default)]
pub struct ShutdownReport {
    /// Time from SIGTERM to the end of the process.
    pub ended_after: Duration,
    /// Whether the process ended by itself.
    pub has_exited: bool,
    /// Longest delay of a signal, by which the machine may have lengthened the stall.
    pub signal_delay: Duration,
    /// Number of requests.
    pub requests: usize,
    /// Number of requests by status.
    pub statuses: BTreeMap<u16, usize>,
    /// Requests answered 202 whose last byte came between 2.4 and 3.5 s after SIGTERM.
    pub accepted_late: usize,
    /// Requests that were whole in that time.
    pub complete_late: usize,
    /// Whole requests that crossed the close of a connection that was at rest. Their clients send them again.
    pub crossed: usize,
    /// Requests whose connection was closed with no answer before their last part was written.
    pub closed_in_progress: usize,
    /// Requests in parts that were whole before their connection was closed, with no answer.
    pub lost: Vec<String>,
    /// Requests that had neither an answer nor a close in time.
    pub silent: Vec<String>,
    /// Messages whose clients were not told that they were accepted, and which were sent.
    pub sent_unaccepted: Vec<String>,
    /// Accepted messages that were neither delivered nor ended by a notification.
    pub unfinished: Vec<String>,
    /// Accepted messages that may not be repeated and were sent more than once.
    pub sent_again: Vec<String>,
    /// The last lines of the forwarder's log.
    pub log: Vec<String>,
}

impl ShutdownReport {
    /// Returns the number of requests with this status.
    pub fn status_count(&self, status: u16) -> usize {
        self.statuses.get(&status).copied().unwrap_or(0)
    }

    /// Returns which rules were violated.
    pub fn violations(&self) -> Vec<String> {
        let mut violations: Vec<String> = [
            ("lost", &self.lost),
            ("silent", &self.silent),
            ("sent, not accepted", &self.sent_unaccepted),
            ("unfinished", &self.unfinished),
            ("sent again", &self.sent_again),
        ]
        .iter()
        .filter(|(_, messages)| !messages.is_empty())
        .map(|(name, messages)| format!("{} {name}: {messages:?}", messages.len()))
        .collect();
        if !self.has_exited || self.ended_after > TERMINATION_GRACE + self.signal_delay {
            violations.push(format!("ended after {:?}, by itself: {}", self.ended_after, self.has_exited));
        }
        if self.status_count(202) == 0 {
            violations.push(format!("nothing was accepted: {:?}", self.statuses));
        }
        violations
    }

    /// Adds what clients saw.
    pub(super) fn add_requests(&mut self, records: &[RequestRecord], terminated_at: Instant) {
        self.requests = records.len();
        for record in records {
            let completed_after =
                record.complete_at.map(|complete_at| complete_at.saturating_duration_since(terminated_at));
            let is_late = completed_after.is_some_and(|after| LATE_REQUESTS.contains(&after));
            self.complete_late += usize::from(is_late);
            match record.end {
                RequestEnd::Status(status) => {
                    *self.statuses.entry(status).or_default() += 1;
                    self.accepted_late += usize::from(is_late && status == 202);
                }
                RequestEnd::ClosedBeforeLastPart => self.closed_in_progress += 1,
                RequestEnd::Silent => self.silent.push(describe(record, terminated_at)),
                RequestEnd::ClosedWithoutAnswer if is_lost(record) => {
                    self.lost.push(describe(record, terminated_at));
                }
                RequestEnd::ClosedWithoutAnswer => self.crossed += 1,
            }
        }
    }

    /// Adds what became of the messages.
    pub(super) fn add_messages(&mut self, requests: &[RequestRecord], records: &MessageRecords) {
        self.unfinished = unfinished(requests, records).map(|request| request.message_id.clone()).collect();
        for request in requests {
            let calls = records.call_count(&request.message_id);
            if !is_accepted(request) && calls > 0 {
                self.sent_unaccepted.push(request.message_id.clone());
            }
            if request.is_order && calls > 1 {
                self.sent_again.push(request.message_id.clone());
            }
        }
    }
}

/// Returns the requests whose messages were accepted and have not ended yet.
pub(super) fn unfinished<'a>(
    requests: &'a [RequestRecord],
    records: &'a MessageRecords,
) -> impl Iterator<Item = &'a RequestRecord> {
    let has_ended = |id: &str| records.is_delivered(id) || records.is_notified(id);
    requests.iter().filter(move |request| is_accepted(request) && !has_ended(&request.message_id))
}

fn is_accepted(request: &RequestRecord) -> bool {
    request.end == RequestEnd::Status(202)
}

/// Returns whether the forwarder had read the first part of a request that was whole before the close.
fn is_lost(record: &RequestRecord) -> bool {
    let is_certain = |complete_at| record.ended_at.saturating_duration_since(complete_at) >= CERTAIN_ORDER;
    record.is_cut && record.complete_at.is_some_and(is_certain)
}

fn describe(record: &RequestRecord, terminated_at: Instant) -> String {
    let milliseconds = |at: Instant| at.saturating_duration_since(terminated_at).as_micros() as f64 / 1e3;
    let complete_at = record.complete_at.map_or(0.0, milliseconds);
    let ended_at = milliseconds(record.ended_at);
    format!("{} whole at {complete_at:.1} ms, ended at {ended_at:.1} ms", record.message_id)
}

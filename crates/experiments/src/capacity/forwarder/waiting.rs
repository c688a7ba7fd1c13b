//! Costs by the number of messages waiting for destinations that are all down: messages that are accepted one after
//! another, and messages that are read from a journal at a start.

use super::fixture::{Fixture, PARALLEL_CLIENTS, cost_of};
use super::quantities::{self, milliseconds};
use crate::capacity::client::{BODY_BYTES, CLASS, Client, TENANT, TIME_LEFT_SECONDS, submit_all};
use crate::capacity::error::CapacityError;
use crate::capacity::series::{Quantity, Size};
use bytes::BytesMut;
use orchidyoke_journal::{AcceptedMessage, HandoverState, Journal, Record};
use std::path::Path;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Minimum size of each write to the journal except the last, in bytes.
const WRITE_BYTES: usize = 4 << 20;
const SETTING: &str = "all down";

/// Sends messages until the planned numbers are waiting, and measures at each number. Returns one sentence for each
/// part that could not be run.
pub fn measure_accepting(fixture: &mut Fixture) -> Result<Vec<String>, CapacityError> {
    let listed = fixture.plan.listed_while_waiting;
    let started = fixture.start(listed, 1.0)?;
    let process = &started.process;
    let mut waiting = 0;
    for wanted in fixture.plan.accepted.clone() {
        eprintln!("capacity-forwarder: {wanted} messages taken on");
        let messages = fixture.messages_to_random(&started.destinations.down, wanted - waiting);
        let limit = fixture.plan.submit_limit * 2;
        let mut clients = Client::connect_many(process.clients, PARALLEL_CLIENTS)?;
        let (accepted, cost) =
            cost_of(process, || submit_all(&mut clients, &mut messages.into_iter(), limit))?;
        waiting += accepted;
        if accepted > 0 {
            let each = milliseconds(cost.processor) / accepted as f64;
            add(fixture, quantities::ACCEPTING, waiting, each);
            add(fixture, quantities::ACCEPTING_RESIDENT, waiting, process.usage()?.resident as f64);
            add(fixture, quantities::ACCEPTING_JOURNAL, waiting, process.journal_size()? as f64);
            let rest = fixture.measure_rest(process)?;
            add(fixture, quantities::ACCEPTING_REST, waiting, rest);
        }
        if waiting < wanted {
            let seconds = limit.as_secs();
            return Ok(vec![format!("{waiting} of {wanted} messages were taken on; a step has {seconds} s")]);
        }
    }
    Ok(Vec::new())
}

/// Starts a forwarder on journals of ascending sizes. Returns one sentence for each part that could not be run.
pub fn measure_starts(fixture: &mut Fixture) -> Result<Vec<String>, CapacityError> {
    let listed = fixture.plan.listed_while_waiting;
    for count in fixture.plan.journaled.clone() {
        eprintln!("capacity-forwarder: {count} messages in the journal");
        let (folder, destinations, _discovery) = fixture.prepare(listed, 1.0);
        let size = write_journal(&folder.path().join("state"), &destinations.down, count)?;
        let (process, cost) = match fixture.start_on(&folder, listed + count) {
            Ok(started) => started,
            Err(error @ CapacityError::TooSlow { .. }) => {
                return Ok(vec![format!("{count} messages in the journal: {error}; larger were not played")]);
            }
            Err(error) => return Err(error),
        };
        add(fixture, quantities::WAITING_READY, count, milliseconds(cost.elapsed));
        add(fixture, quantities::WAITING_READY_PROCESSOR, count, milliseconds(cost.usage.processor));
        add(fixture, quantities::WAITING_RESIDENT, count, cost.usage.resident as f64);
        add(fixture, quantities::WAITING_JOURNAL, count, size as f64);
        let rest = fixture.measure_rest(&process)?;
        add(fixture, quantities::WAITING_REST, count, rest);
    }
    Ok(Vec::new())
}

fn add(fixture: &mut Fixture, quantity: Quantity, waiting: usize, value: f64) {
    fixture.measurements.add(quantity, SETTING, Size::Waiting, waiting, value);
}

/// Writes the journal of a forwarder that crashed after it had accepted `count` messages. Returns its size in bytes.
fn write_journal(state: &Path, destinations: &[u64], count: usize) -> Result<usize, CapacityError> {
    let mut journal = Journal::open(state).map_err(std::io::Error::from)?.journal;
    let deadline = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
        + Duration::from_secs(TIME_LEFT_SECONDS.into());
    let deadline = i64::try_from(deadline.as_micros()).unwrap_or(i64::MAX);
    let body = [b'x'; BODY_BYTES];
    let mut bytes = BytesMut::new();
    for (number, destination) in (0..count).zip(destinations.iter().cycle()) {
        let accepted = AcceptedMessage {
            id: format!("j{number:09}"),
            class: CLASS.to_owned(),
            tenant: TENANT.to_owned(),
            idempotency_key: None,
            destination: *destination,
            deadline,
            attempts: 0,
            possible_delivery: None,
            in_flight: None,
            handover: HandoverState::default(),
        };
        Record::Accepted(accepted).encode(&body, &mut bytes);
        if bytes.len() >= WRITE_BYTES {
            journal.append(&bytes).map_err(std::io::Error::from)?;
            bytes.clear();
        }
    }
    journal.append(&bytes).map_err(std::io::Error::from)?;
    Ok(journal.size())
}

//! Costs by the number of destinations listed: of a start, at rest, of a message, of a change of the list, of a reload,
//! and of a start on an existing journal.

use super::fixture::{Cost, Fixture, StartedForwarder, cost_of};
use super::plan::SHARES_DOWN;
use super::quantities::{self, milliseconds};
use crate::capacity::client::{Client, submit_all};
use crate::capacity::error::CapacityError;
use crate::capacity::forwarder_process::ForwarderProcess;
use std::time::{Duration, Instant};

const POLL_INTERVAL: Duration = Duration::from_millis(2);
const ACCEPTED: u16 = 202;

/// Measures every list size with each share of the destinations down. If a measurement exceeds a time limit, all later
/// ones are left out. Returns one sentence for each part that could not be run.
pub fn measure(fixture: &mut Fixture) -> Result<Vec<String>, CapacityError> {
    for listed in fixture.plan.listed.clone() {
        for share_down in SHARES_DOWN {
            eprintln!("capacity-forwarder: {listed} listed, {} down", percent(share_down));
            match measure_list(fixture, listed, share_down) {
                Ok(()) => {}
                Err(error @ CapacityError::TooSlow { .. }) => {
                    return Ok(vec![format!(
                        "{listed} listed, {} down: {error}; larger lists were not played",
                        percent(share_down)
                    )]);
                }
                Err(error) => return Err(error),
            }
        }
    }
    Ok(Vec::new())
}

fn percent(part: f64) -> String {
    format!("{}%", (part * 1000.0).round() / 10.0)
}

fn measure_list(fixture: &mut Fixture, listed: usize, share_down: f64) -> Result<(), CapacityError> {
    let setting = format!("{} down", percent(share_down));
    let started = fixture.start(listed, share_down)?;
    add_start(fixture, &started, &setting, listed);
    let rest = fixture.measure_rest(&started.process)?;
    fixture.add_listed(quantities::REST, &setting, listed, rest);
    measure_messages(fixture, &started, &setting, listed)?;
    if started.destinations.down.is_empty() {
        measure_changes(fixture, started, &setting, listed)?;
    }
    Ok(())
}

fn add_start(fixture: &mut Fixture, started: &StartedForwarder, setting: &str, listed: usize) {
    let cost = started.cost;
    fixture.add_listed(quantities::READY, setting, listed, milliseconds(cost.elapsed));
    fixture.add_listed(quantities::READY_PROCESSOR, setting, listed, milliseconds(cost.usage.processor));
    fixture.add_listed(quantities::RESIDENT, setting, listed, cost.usage.resident as f64);
}

/// Submits one message, which then waits, to each destination that is down, up to `max_waiting_destinations` of the
/// plan. Then sends messages one by one, to destinations that serve if there are any, and measures their cost.
fn measure_messages(
    fixture: &mut Fixture,
    started: &StartedForwarder,
    setting: &str,
    listed: usize,
) -> Result<(), CapacityError> {
    let StartedForwarder { process, destinations, .. } = started;
    let waiting_count = destinations.down.len().min(fixture.plan.max_waiting_destinations);
    let mut rest = 0.0;
    if waiting_count > 0 {
        fixture.submit_to_each(process, &destinations.down[..waiting_count])?;
        std::thread::sleep(fixture.plan.settle);
        rest = fixture.measure_rest(process)?;
        fixture.add_listed(quantities::REST_WAITING, setting, listed, rest);
    }
    let recipients =
        if destinations.up.is_empty() { &destinations.down[..waiting_count] } else { &destinations.up[..] };
    let messages = fixture.messages_to_random(recipients, fixture.plan.messages);
    let mut client = [Client::connect(process.clients)?];
    let limit = fixture.plan.submit_limit;
    let (accepted, cost) = cost_of(process, || submit_all(&mut client, &mut messages.into_iter(), limit))?;
    if accepted == 0 {
        return Err(CapacityError::TooSlow { what: "a message", limit });
    }
    let each = |used: f64| used / accepted as f64;
    let used = milliseconds(cost.processor);
    fixture.add_listed(quantities::MESSAGE, setting, listed, each(used));
    let without_rest = used - rest * cost.elapsed.as_secs_f64();
    fixture.add_listed(quantities::MESSAGE_ALONE, setting, listed, each(without_rest));
    Ok(())
}

/// Measures a delta that adds one entry, a snapshot that adds another, a reload of the unchanged configuration, and a
/// start on the journal that results.
fn measure_changes(
    fixture: &mut Fixture,
    mut started: StartedForwarder,
    setting: &str,
    listed: usize,
) -> Result<(), CapacityError> {
    let limit = fixture.plan.change_limit;
    wait_until("a watch on the list", limit, || Ok(started.discovery.watch_count() > 0))?;
    let added = started.destinations.add(&fixture.endpoints);
    let cost = publish_list(fixture, &started, &started.destinations.delta(2), added)?;
    fixture.add_listed(quantities::DELTA, setting, listed, milliseconds(cost.elapsed));
    fixture.add_listed(quantities::DELTA_PROCESSOR, setting, listed, milliseconds(cost.processor));
    fixture.add_listed(quantities::DELTA_JOURNAL, setting, listed, cost.journal as f64);
    let added = started.destinations.add(&fixture.endpoints);
    let cost = publish_list(fixture, &started, &started.destinations.snapshot(3), added)?;
    fixture.add_listed(quantities::SNAPSHOT, setting, listed, milliseconds(cost.elapsed));
    fixture.add_listed(quantities::SNAPSHOT_PROCESSOR, setting, listed, milliseconds(cost.processor));
    fixture.add_listed(quantities::SNAPSHOT_JOURNAL, setting, listed, cost.journal as f64);
    let process = &started.process;
    let ((), cost) = cost_of(process, || {
        process.signal_reload()?;
        process.wait_for_reload(limit)?;
        wait_for_destination(fixture, process, added, limit)
    })?;
    fixture.add_listed(quantities::RELOAD, setting, listed, milliseconds(cost.elapsed));
    fixture.add_listed(quantities::RELOAD_PROCESSOR, setting, listed, milliseconds(cost.processor));
    let StartedForwarder { process, folder, .. } = started;
    drop(process);
    let (_, cost) = fixture.start_on(&folder, listed)?;
    fixture.add_listed(quantities::RESTART, setting, listed, milliseconds(cost.elapsed));
    fixture.add_listed(quantities::RESTART_PROCESSOR, setting, listed, milliseconds(cost.usage.processor));
    Ok(())
}

/// Publishes a list through discovery, and waits until the forwarder knows the destination that the list adds.
fn publish_list(
    fixture: &mut Fixture,
    started: &StartedForwarder,
    list: &str,
    added: u64,
) -> Result<Cost, CapacityError> {
    let StartedForwarder { process, discovery, .. } = started;
    let limit = fixture.plan.change_limit;
    let journal = process.journal_size()?;
    let ((), cost) = cost_of(process, || {
        discovery.publish(list);
        // The forwarder journals a list before it uses it. Until then no message is sent, because a message would add
        // to the measured cost.
        wait_until("a change of the list", limit, || Ok(process.journal_size()? != journal))?;
        wait_for_destination(fixture, process, added, limit)
    })?;
    Ok(cost)
}

/// Sends messages to a destination until one is accepted.
fn wait_for_destination(
    fixture: &mut Fixture,
    process: &ForwarderProcess,
    destination: u64,
    limit: Duration,
) -> Result<(), CapacityError> {
    let mut client = Client::connect(process.clients)?;
    wait_until("a change of the list", limit, || {
        Ok(client.submit(&fixture.message_to(destination))? == ACCEPTED)
    })
}

fn wait_until(
    what: &'static str,
    limit: Duration,
    mut holds: impl FnMut() -> Result<bool, CapacityError>,
) -> Result<(), CapacityError> {
    let begin = Instant::now();
    while !holds()? {
        if begin.elapsed() > limit {
            return Err(CapacityError::TooSlow { what, limit });
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}

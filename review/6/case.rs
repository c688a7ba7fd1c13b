//! A message that may not be repeated runs twice: a compaction of the journal forgets a call that has just begun, and the
//! process is killed while the call is out.

#[path = "../standins-2.rs"]
mod standins;

use standins::*;
use std::collections::{HashMap, HashSet, VecDeque};
use std::fs;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const DESTINATIONS: u64 = 12;
/// Partners answer an order after this time.
const SERVICE: Duration = ms_const(300);
/// Time between two bursts of one message for each partner.
const BURST_EVERY: Duration = ms_const(350);
const ORDER_BYTES: usize = 12;
const CYCLES: usize = 16;
const LAST_CYCLE_BY: Duration = ms_const(100_000);

const fn ms_const(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn main() {
    let case = Case::start();
    let result = run(&case);
    case.end(result);
}

fn run(case: &Case) -> Result<Vec<String>, String> {
    let record = &case.record;
    let calls = Calls::default();
    let mut targets = Vec::new();
    for destination in 1..=DESTINATIONS {
        let uid = format!("s-5be2a0{destination:02x}");
        let address = endpoint(&uid, &calls, record, Arc::new(|call| {
            // Status messages have large bodies here.
            Reply::delivered(if call.body.len() == ORDER_BYTES { SERVICE } else { ms(130) })
        }));
        let (zone, kind) = ("vitoria".to_owned(), "payment-partners".to_owned());
        targets.push(Target { uid, address, zone, kind, destination, state: "in_service", capacity_hint: 12.0 });
    }
    let platform = Platform::new(targets);
    let agent = platform.listen(record);
    let site = Site::new(case, "n0", free_address());
    site.write_config(&Settings::default().config(site.listen, agent.address, &platform.list()));
    let variables = [("EDGE_DISCOVERY", agent.address.to_string())];
    let mut forwarder = site.start(&variables)?;
    site.wait_ready(Duration::from_secs(10))?;
    let accepted: Arc<Mutex<HashSet<String>>> = Arc::default();
    let journal = site.state().join("journal");
    // When recent messages ended, to know how much of the journal is live.
    let mut ended: VecDeque<Instant> = VecDeque::new();
    for cycle in 1..=CYCLES {
        if record.elapsed() > LAST_CYCLE_BY {
            break;
        }
        fill(&site, &accepted, &mut ended);
        if !burst_until_compaction(&site, &accepted, &mut ended, record)? {
            continue;
        }
        if case.trouble {
            // The calls of the burst are out now.
            thread::sleep(ms(40));
            record.line(format!("cycle {cycle}: the journal was compacted, the process is killed"));
            forwarder.kill(record);
            thread::sleep(ms(600));
            forwarder = site.start(&variables)?;
            site.wait_ready(Duration::from_secs(10))?;
        }
        thread::sleep(ms(700));
        let broken = duplicates(&calls, &accepted.lock().unwrap());
        if !broken.is_empty() || fs::metadata(&journal).is_err() {
            return Ok(broken);
        }
    }
    if forwarder.has_ended() {
        return Ok(vec!["the forwarder has ended by itself".to_owned()]);
    }
    Ok(duplicates(&calls, &accepted.lock().unwrap()))
}

/// Returns how many bytes of the journal's file can still be written before it is compacted, about.
fn bytes_left(site: &Site, ended: &mut VecDeque<Instant>) -> i64 {
    while ended.front().is_some_and(|at| at.elapsed() > Duration::from_secs(30)) {
        ended.pop_front();
    }
    let live = 176 * ended.len().min(1171) as i64 + 15_000;
    let size = fs::metadata(site.state().join("journal")).map_or(0, |file| file.len() as i64);
    3_000_000 - 16_384 - live - size
}

/// Hands in status messages with large bodies until the journal's file is nearly full.
fn fill(site: &Site, accepted: &Arc<Mutex<HashSet<String>>>, ended: &mut VecDeque<Instant>) {
    let mut client = Client::new(site.listen);
    loop {
        let left = bytes_left(site, ended);
        if left < 30_000 {
            break;
        }
        let body = (left as usize / 30).clamp(500, 55_000);
        for destination in 1..=DESTINATIONS {
            let message = Message::new("status", destination, 8.0, body);
            if client.submit(&message).is_ok_and(|status| status == 202) {
                accepted.lock().unwrap().insert(message.id);
                ended.push_back(Instant::now());
            }
        }
        thread::sleep(ms(220));
    }
    thread::sleep(ms(600));
}

/// Hands in one small order for each partner at the same moment, again and again, until the journal's file is replaced.
/// Returns whether it was.
fn burst_until_compaction(
    site: &Site,
    accepted: &Arc<Mutex<HashSet<String>>>,
    ended: &mut VecDeque<Instant>,
    record: &Record,
) -> Result<bool, String> {
    let journal = site.state().join("journal");
    let mut clients: Vec<Client> = (0..DESTINATIONS).map(|_| Client::new(site.listen)).collect();
    let file = inode(&journal);
    for _ in 0..25 {
        let start = Instant::now();
        let handles: Vec<_> = clients
            .drain(..)
            .enumerate()
            .map(|(index, mut client)| {
                let (accepted, record) = (accepted.clone(), record.clone());
                thread::spawn(move || {
                    let message = Message::new("orders", index as u64 + 1, 28.0, ORDER_BYTES);
                    let _ = client.connect();
                    thread::sleep(ms(20).saturating_sub(start.elapsed()));
                    let status = client.submit(&message);
                    record.line(format!("handed in id={} answer={status:?}", message.id));
                    if status.is_ok_and(|status| status == 202) {
                        accepted.lock().unwrap().insert(message.id);
                    }
                    client
                })
            })
            .collect();
        let until = start + BURST_EVERY;
        while Instant::now() < until {
            if inode(&journal) != file {
                record.line("the journal's file was replaced");
                handles.into_iter().for_each(|handle| drop(handle.join()));
                return Ok(true);
            }
            thread::sleep(Duration::from_micros(500));
        }
        for handle in handles {
            clients.push(handle.join().map_err(|_| "a client's thread panicked")?);
            ended.push_back(Instant::now());
        }
    }
    Ok(false)
}

/// Returns the orders that were taken on and whose calls came more than once, though each call may have run.
fn duplicates(calls: &Calls, accepted: &HashSet<String>) -> Vec<String> {
    let mut counts: HashMap<String, Vec<String>> = HashMap::new();
    for call in calls.all() {
        // Status messages may be repeated; their bodies are large.
        if call.body.len() == ORDER_BYTES {
            for id in &call.ids {
                counts.entry(id.clone()).or_default().push(format!("{} at {}", call.number, call.endpoint));
            }
        }
    }
    let repeated = counts.into_iter().filter(|(id, calls)| calls.len() > 1 && accepted.contains(id));
    repeated.map(|(id, calls)| format!("order {id} was run {} times: calls {}", calls.len(), calls.join(", "))).collect()
}

//! In an upgrade with a long list, the new process finds no room to take over the messages that the old one has handed off.
//! Until the old process has ended nobody answers for them.

#[path = "../standins-2.rs"]
mod standins;

use standins::*;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const ENDPOINTS: u64 = 3200;
/// The endpoints that get messages, each of a destination of its own.
const SERVING: u64 = 10;
/// A partner that is shut, and tells how long to wait.
const SHUT: u64 = 1;
/// A partner that takes calls and answers none.
const HANGING: u64 = 2;
/// How long both are in trouble.
const TROUBLE_TIME: Duration = Duration::from_secs(12);
/// The upgrade is prepared when the folder holds this much, or at the latest after `FILL_TIME`.
const FILLED_BYTES: u64 = 2_060_000;
const FILL_TIME: Duration = Duration::from_secs(60);
/// Time that the messages for the shut partner have.
const REMAINING: f64 = 4.7;
/// Time from the new process's yes until SIGTERM goes to the old one.
const UNTIL_SIGTERM: Duration = Duration::from_millis(500);

fn main() {
    let listener = listener();
    inherit_as_descriptor_4(&listener);
    let case = Case::start();
    let result = run(&case, listener.local_addr().unwrap());
    case.end(result);
}

fn run(case: &Case, listen: SocketAddr) -> Result<Vec<String>, String> {
    let record = &case.record;
    let calls = Calls::default();
    let opens_at = Arc::new(std::sync::Mutex::new(None::<Instant>));
    let mut targets = Vec::new();
    for number in 1..=ENDPOINTS {
        let uid = format!("s-5be2a07c9d41-{number:04}");
        let address = if number <= SERVING {
            let opens_at = opens_at.clone();
            let behaviour = move |_: &Call| {
                let opens_at: Option<Instant> = *opens_at.lock().unwrap();
                let left = opens_at.map_or(Duration::ZERO, |at| at.saturating_duration_since(Instant::now()));
                match number {
                    SHUT if !left.is_zero() => Reply::turned_away(ms(0), left.as_millis() as u64 + 1),
                    HANGING if !left.is_zero() => Reply::Hang,
                    _ => Reply::delivered(ms(200)),
                }
            };
            endpoint(&uid, &calls, record, Arc::new(behaviour))
        } else {
            // Nobody sends messages there.
            format!("127.9.{}.{}:8000", number / 250, 1 + number % 250).parse().unwrap()
        };
        let (zone, kind) = ("vitoria".to_owned(), "payment-partners".to_owned());
        let destination = if number <= SERVING { number } else { SERVING + number / 2 };
        targets.push(Target { uid, address, zone, kind, destination, state: "in_service", capacity_hint: 12.0 });
    }
    let platform = Platform::new(targets);
    platform.begin_watches_with_the_whole_list();
    let agent = platform.listen(record);
    let site = Site::new(case, "n0", listen);
    site.write_config(&Settings::default().config(listen, agent.address, &platform.list()));
    let start = || -> Result<Forwarder, String> {
        let console_address = free_address();
        let process = site.start(&[
            ("EDGE_DISCOVERY", agent.address.to_string()),
            ("EDGE_CONSOLE", console_address.to_string()),
            ("EDGE_FD", "4".to_owned()),
        ])?;
        wait_yes(console_address, Duration::from_secs(6))?;
        record.line("it says yes");
        Ok(process)
    };
    let mut old = start()?;
    let stop = Arc::new(AtomicBool::new(false));
    let body = Arc::new(AtomicUsize::new(3_000));
    let client = {
        let (stop, body) = (stop.clone(), body.clone());
        thread::spawn(move || {
            let mut client = Client::new(listen);
            let mut number = 0;
            while !stop.load(Ordering::SeqCst) {
                number += 1;
                let destination = 3 + number % (SERVING - 2);
                let _ = client.submit(&Message::new("status", destination, 8.0, body.load(Ordering::SeqCst)));
                thread::sleep(ms(25));
            }
        })
    };
    let start_of_load = Instant::now();
    while folder_bytes(&site.state()) < FILLED_BYTES && start_of_load.elapsed() < FILL_TIME {
        thread::sleep(ms(5));
    }
    body.store(200, Ordering::SeqCst);
    record.line(format!("the folder holds {} bytes; a partner is shut, another hangs", folder_bytes(&site.state())));
    *opens_at.lock().unwrap() = Some(Instant::now() + TROUBLE_TIME);
    let mut handed = Vec::new();
    for _ in 0..6 {
        let message = Message::new("orders", SHUT, REMAINING, 200);
        let mut client = Client::new(listen);
        let status = client.submit(&message);
        record.line(format!("handed in id={} dest={SHUT} answer={status:?}", message.id));
        if let (Ok(202), Some(sent_at)) = (status, client.sent_at) {
            handed.push((message, sent_at));
        }
        thread::sleep(ms(40));
    }
    thread::sleep(ms(2100));
    // These calls are out during the whole upgrade.
    for _ in 0..2 {
        let message = Message::new("orders", HANGING, 20.0, 200);
        let status = Client::new(listen).submit(&message);
        record.line(format!("handed in id={} dest={HANGING} answer={status:?}", message.id));
        thread::sleep(ms(40));
    }
    let mut terminated_at = Instant::now();
    let mut new = None;
    if case.trouble {
        record.line(format!("the folder holds {} bytes before the upgrade", folder_bytes(&site.state())));
        new = Some(start()?);
        thread::sleep(UNTIL_SIGTERM);
        terminated_at = Instant::now();
        old.signal(SIGTERM, record);
        if !old.wait_end(ms(3700)) {
            old.kill(record);
        }
        record.line("the old process has ended");
    }
    thread::sleep(Duration::from_secs(4));
    stop.store(true, Ordering::SeqCst);
    let _ = client.join();
    drop((old, new));
    if handed.is_empty() {
        return Err("no message for the shut partner was taken on".to_owned());
    }
    let notices = platform.notices();
    let mut broken = Vec::new();
    for (message, sent_at) in &handed {
        let due = *sent_at + Duration::from_secs_f64(message.remaining) + ms(350);
        if case.trouble && due < terminated_at + ms(1500) {
            // Even if an upgrade counted as a restart, no excuse is left to the messages that are judged.
            continue;
        }
        let ended = notices.iter().filter(|(_, id, _)| *id == message.id).map(|(at, ..)| *at).min();
        let id = &message.id;
        match ended {
            Some(at) if at <= due => {}
            Some(at) => broken.push(format!("{id} got its notice {} ms too late", (at - due).as_millis())),
            None => broken.push(format!("{id} never got an end")),
        }
    }
    Ok(broken)
}

/// Returns the bytes in a folder, each file counted in whole 512 bytes.
fn folder_bytes(folder: &Path) -> u64 {
    let Ok(entries) = fs::read_dir(folder) else { return 0 };
    let sizes = entries.flatten().filter_map(|entry| Some(entry.metadata().ok()?.len()));
    sizes.map(|size| size.div_ceil(512) * 512).sum()
}

fn wait_yes(console_address: SocketAddr, longest: Duration) -> Result<(), String> {
    let until = Instant::now() + longest;
    while Instant::now() < until {
        if console(console_address, "ready").is_ok_and(|reply| reply.starts_with("200")) {
            return Ok(());
        }
        thread::sleep(ms(20));
    }
    Err("no yes at the console in time".to_owned())
}

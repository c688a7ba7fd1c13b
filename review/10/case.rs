//! In an upgrade with a long list, the folder holds more than its limit: both processes write the whole list, and neither can
//! compact its file.

#[path = "../standins-2.rs"]
mod standins;

use standins::*;
use std::fs;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const ENDPOINTS: u64 = 3200;
/// The endpoints that get messages, each of a destination of its own.
const SERVING: u64 = 10;
const DISK_MB: f64 = 3.0;
/// The limit if a megabyte is 2^20 bytes, which is the reading that allows more.
const LIMIT_BYTES: u64 = 3 << 20;
/// The upgrade begins when the folder holds this much, or at the latest after `FILL_TIME`.
const FILLED_BYTES: u64 = 2_150_000;
const FILL_TIME: Duration = Duration::from_secs(60);

fn main() {
    let listener = listener();
    inherit_as_descriptor_4(&listener);
    let case = Case::start();
    let result = run(&case, listener.local_addr().unwrap());
    case.end(result);
}

fn run(case: &Case, listen: std::net::SocketAddr) -> Result<Vec<String>, String> {
    let record = &case.record;
    let calls = Calls::default();
    let mut targets = Vec::new();
    for number in 1..=ENDPOINTS {
        let uid = format!("s-5be2a07c9d41-{number:04}");
        let address = if number <= SERVING {
            endpoint(&uid, &calls, record, Arc::new(|_| Reply::delivered(ms(200))))
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
    let settings = Settings { disk_mb: DISK_MB, ..Settings::default() };
    site.write_config(&settings.config(listen, agent.address, &platform.list()));
    let (first_console, second_console) = (free_address(), free_address());
    let variables = |console: std::net::SocketAddr| {
        vec![
            ("EDGE_DISCOVERY", agent.address.to_string()),
            ("EDGE_CONSOLE", console.to_string()),
            ("EDGE_FD", "4".to_owned()),
        ]
    };
    let mut old = site.start(&variables(first_console))?;
    wait_yes(first_console, Duration::from_secs(10))?;
    let stop = Arc::new(AtomicBool::new(false));
    let most = Arc::new(AtomicU64::new(0));
    let watcher = {
        let (stop, most, state, record) = (stop.clone(), most.clone(), site.state(), record.clone());
        thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                let bytes = folder_bytes(&state);
                if bytes > most.fetch_max(bytes, Ordering::SeqCst) + 20_000 {
                    record.line(format!("the folder holds {bytes} bytes"));
                }
                thread::sleep(ms(2));
            }
        })
    };
    let client = {
        let stop = stop.clone();
        thread::spawn(move || {
            let mut client = Client::new(listen);
            let mut number = 0;
            while !stop.load(Ordering::SeqCst) {
                number += 1;
                let message = Message::new("status", 1 + number % SERVING, 8.0, 3_000);
                let _ = client.submit(&message);
                thread::sleep(ms(25));
            }
        })
    };
    let start = Instant::now();
    while folder_bytes(&site.state()) < FILLED_BYTES && start.elapsed() < FILL_TIME {
        thread::sleep(ms(5));
    }
    record.line(format!("the folder holds {} bytes before the upgrade", folder_bytes(&site.state())));
    let mut new = None;
    if case.trouble {
        let successor = site.start(&variables(second_console))?;
        wait_yes(second_console, Duration::from_secs(6))?;
        record.line("the new process says yes");
        old.signal(SIGTERM, record);
        if !old.wait_end(ms(3700)) {
            old.kill(record);
        }
        record.line("the old process has ended");
        new = Some(successor);
    }
    thread::sleep(Duration::from_secs(4));
    stop.store(true, Ordering::SeqCst);
    let _ = (watcher.join(), client.join());
    drop(new);
    let most = most.load(Ordering::SeqCst);
    record.line(format!("the folder held at most {most} bytes; its limit is {DISK_MB} MB"));
    if calls.count() == 0 {
        return Err("no message was delivered".to_owned());
    }
    let broken = format!("the folder held {most} bytes, more than {DISK_MB} MB ({LIMIT_BYTES} bytes at most)");
    Ok(if most > LIMIT_BYTES { vec![broken] } else { Vec::new() })
}

/// Returns the bytes in a folder, each file counted in whole 512 bytes.
fn folder_bytes(folder: &Path) -> u64 {
    let Ok(entries) = fs::read_dir(folder) else { return 0 };
    let sizes = entries.flatten().filter_map(|entry| Some(entry.metadata().ok()?.len()));
    sizes.map(|size| size.div_ceil(512) * 512).sum()
}

fn wait_yes(console_address: std::net::SocketAddr, longest: Duration) -> Result<(), String> {
    let until = Instant::now() + longest;
    while Instant::now() < until {
        if console(console_address, "ready").is_ok_and(|reply| reply.starts_with("200")) {
            return Ok(());
        }
        thread::sleep(ms(20));
    }
    Err("no yes at the console in time".to_owned())
}

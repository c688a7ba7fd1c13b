//! A message whose repeat the endpoints drop for a time, and a forwarder that is held up shortly before that time ends.

#[path = "../standins.rs"]
mod standins;

use standins::*;
use std::collections::HashMap;
use std::io::Write;
use std::path::Path;
use std::sync::atomic::{AtomicI32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const DESTINATIONS: u64 = 8;
/// `window_us` of the class.
const WINDOW_MS: f64 = 2150.0;
/// On sockets, every time limit is 50 ms longer.
const SLACK_MS: f64 = 50.0;
/// The first attempt fails so long before the end of its window.
const FAILS_BEFORE_END_US: u64 = 54_500;
/// A forwarder may be held up for up to 0.15 s.
const HELD_UP: Duration = Duration::from_micros(147_000);
/// The longest hold-up that the pages allow. A repeat after a longer one, as a busy machine may make it, does not count.
const LONGEST_HOLD_UP: Duration = Duration::from_millis(150);
/// How long an endpoint takes to answer.
const USUAL: Duration = Duration::from_millis(800);

/// The attempts of one message, each with the times of its first and its last byte.
#[derive(Default)]
struct Attempts(Vec<(String, Instant, Instant)>);

struct Shared {
    log: Arc<Log>,
    attempts: Mutex<HashMap<String, Attempts>>,
    pid: AtomicI32,
    hold_ups: Mutex<HoldUps>,
    trouble: bool,
}

/// When the forwarder is held up: so long after an endpoint has answered the first attempt.
struct HoldUps {
    /// When the last hold-up ended, so that no two come close together.
    last_at: Instant,
    /// The message at which the last one was aimed.
    last_message: Option<String>,
    /// The begin and the end of each.
    spans: Vec<(Instant, Instant)>,
    delay_us: u64,
    random: u64,
}

impl Shared {
    /// Returns the delay of the next hold-up. It comes later if the last one came before the forwarder read its clock (there was no
    /// repeat), and earlier if it came after the repeat was written. Some jitter is added, from a fixed seed.
    fn next_delay(&self, hold_ups: &mut HoldUps) -> Duration {
        if let Some(message) = &hold_ups.last_message {
            let attempts = self.attempts.lock().unwrap();
            let after = attempts.get(message).and_then(repeat_after_ms);
            match after {
                None => hold_ups.delay_us = (hold_ups.delay_us + 25).min(2000),
                Some(after) if after < WINDOW_MS => hold_ups.delay_us = hold_ups.delay_us.saturating_sub(25),
                Some(_) => {}
            }
        }
        hold_ups.random = hold_ups.random.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        Duration::from_micros(hold_ups.delay_us + (hold_ups.random >> 33) % 80)
    }
}

/// Returns how long after the first attempt the first repeat began, in milliseconds.
fn repeat_after_ms(attempts: &Attempts) -> Option<f64> {
    let (_, _, first_at) = attempts.0.first()?;
    let (_, sent_at, _) = attempts.0.get(1)?;
    Some(sent_at.saturating_duration_since(*first_at).as_secs_f64() * 1e3)
}

fn main() {
    guard(ms(118_000));
    let log = Log::create(Path::new("review/1/record.txt"));
    let folder = temporary_folder();
    let shared = Arc::new(Shared {
        log: log.clone(),
        attempts: Mutex::default(),
        pid: AtomicI32::new(0),
        hold_ups: Mutex::new(HoldUps {
            last_at: Instant::now(),
            last_message: None,
            spans: Vec::new(),
            delay_us: 250,
            random: 1,
        }),
        trouble: with_trouble(),
    });
    let mut entries = Vec::new();
    let mut endpoints = Vec::new();
    for destination in 1..=DESTINATIONS {
        for copy in 1..=2 {
            let uid = format!("s-{destination}-{copy}");
            let (serving, name) = (shared.clone(), uid.clone());
            let endpoint = Endpoint::start("127.0.0.2", |_| {}, move |call| on_call(&serving, &name, call));
            entries.push(Entry {
                uid,
                address: endpoint.address,
                zone: "edificio-a",
                kind: "comercios",
                destination,
                state: "in_service",
            });
            endpoints.push(endpoint);
        }
    }
    let agent = Agent::start("127.0.0.3", entries, log.clone());
    let listen = free_address("127.0.0.4");
    let config = Settings::planta().config(listen, agent.address, &agent.list(), 1);
    std::fs::write(folder.join("config.json"), config).unwrap();
    let start = Start { folder: &folder, listen, discovery: agent.address, console: None, listener: None };
    let mut forwarder = start.start();
    shared.pid.store(forwarder.pid, Ordering::SeqCst);
    log.line("forwarder: ready");
    let until = Instant::now() + ms(std::env::var("SECONDS_TO_RUN").ok().and_then(|s| s.parse().ok()).unwrap_or(70) * 1000);
    let clients: Vec<_> = (1..=DESTINATIONS)
        .map(|destination| {
            let log = log.clone();
            thread::spawn(move || {
                thread::sleep(ms(490 * destination));
                while Instant::now() < until {
                    // Two messages that the two endpoints take, one each, so that both have a connection.
                    send(listen, destination, "estado", &log);
                    send(listen, destination, "estado", &log);
                    thread::sleep(ms(1000));
                    // The message of the trial.
                    send(listen, destination, "pedidos", &log);
                    thread::sleep(ms(3300));
                }
            })
        })
        .collect();
    clients.into_iter().for_each(|client| drop(client.join()));
    thread::sleep(ms(1500));
    forwarder.kill();
    judge(&shared)
}

fn send(listen: std::net::SocketAddr, destination: u64, class: &'static str, log: &Log) {
    let id = new_id();
    let key = (class == "pedidos").then(|| format!("{id}{id}"));
    let message = Message { id, class, tenant: None, key, destination, remaining: 11.5, body: format!("to {destination}") };
    let answer = hand_in(listen, &message);
    log.line(format!("client: id={} class={class} dest={destination} answer={answer:?}", message.id));
}

/// Calls without an idempotency key are answered as usual. The first attempt of a message with one fails just before the
/// window of its key ends.
fn on_call(shared: &Arc<Shared>, endpoint: &str, call: &Call) -> Reply {
    let id = call.id().to_owned();
    if call.request.header("idempotency-key").is_empty() {
        return Reply::Status(200, String::new(), USUAL);
    }
    let (first_byte_at, last_byte_at) = (call.request.first_byte_at, call.request.last_byte_at);
    let mut attempts = shared.attempts.lock().unwrap();
    let attempts = &mut attempts.entry(id.clone()).or_default().0;
    attempts.push((endpoint.to_owned(), first_byte_at, last_byte_at));
    shared.log.line_at(first_byte_at, format!("endpoint {endpoint}: id={id} attempt {}", attempts.len()));
    if attempts.len() > 1 {
        return Reply::Status(200, String::new(), USUAL);
    }
    let shared = shared.clone();
    Reply::Run(Box::new(move |stream| {
        let window = Duration::from_secs_f64(WINDOW_MS / 1e3);
        sleep_until(last_byte_at + window - Duration::from_micros(FAILS_BEFORE_END_US));
        let mut hold_ups = shared.hold_ups.lock().unwrap();
        let holds_up = shared.trouble && hold_ups.last_at.elapsed() > ms(250);
        let delay = if holds_up { shared.next_delay(&mut hold_ups) } else { Duration::ZERO };
        let failed_at = Instant::now();
        let is_written = stream.write_all(b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n").is_ok();
        if holds_up {
            while failed_at.elapsed() < delay {
                std::hint::spin_loop();
            }
            let begun_at = Instant::now();
            hold_up(shared.pid.load(Ordering::SeqCst));
            let ended_at = Instant::now();
            hold_ups.spans.push((begun_at, ended_at));
            hold_ups.last_at = ended_at;
            hold_ups.last_message = Some(id.clone());
            let lasted = ended_at - begun_at;
            shared.log.line_at(failed_at, format!("id={id} answered 500; held up {delay:?} later for {lasted:?}"));
        } else {
            shared.log.line_at(failed_at, format!("id={id} answered 500"));
        }
        is_written
    }))
}

fn hold_up(pid: i32) {
    signal(pid, SIGSTOP);
    sleep_until(Instant::now() + HELD_UP);
    signal(pid, SIGCONT);
}

fn judge(shared: &Shared) -> ! {
    let hold_ups = shared.hold_ups.lock().unwrap();
    let attempts = shared.attempts.lock().unwrap();
    let is_after_too_long = |at: Instant| {
        let mut too_long = hold_ups.spans.iter().filter(|(from, to)| *to - *from > LONGEST_HOLD_UP);
        too_long.any(|(from, to)| *from <= at && at <= *to + ms(100))
    };
    let (mut repeats, mut twice, mut left_out) = (0, 0, 0);
    for (id, Attempts(attempts)) in attempts.iter() {
        let Some((first, _, first_at)) = attempts.first() else { continue };
        for (endpoint, sent_at, _) in &attempts[1..] {
            repeats += 1;
            let after = sent_at.saturating_duration_since(*first_at).as_secs_f64() * 1e3;
            if after > WINDOW_MS + SLACK_MS && is_after_too_long(*sent_at) {
                left_out += 1;
            } else if after > WINDOW_MS + SLACK_MS {
                twice += 1;
                shared.log.say(format!(
                    "duplicate: id={id} ran at {first}, and its repeat at {endpoint} began {after:.1} ms after the last byte of \
                     the first attempt, over the window of {WINDOW_MS} ms and {SLACK_MS} ms"
                ));
            }
        }
    }
    shared.log.say(format!(
        "messages: {}; hold-ups: {}; repeats: {repeats}; after the window: {twice} (and {left_out} after a hold-up of over 0.15 s, left out)",
        attempts.len(),
        hold_ups.spans.len()
    ));
    if attempts.len() < 20 || repeats == 0 {
        cannot_run("too few messages or no repeats");
    }
    end(if twice > 0 { 1 } else { 0 })
}

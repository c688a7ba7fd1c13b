//! A planned restart: requests whose last byte comes in the very moment in which the forwarder ends.

#[path = "../standins.rs"]
mod standins;

use standins::*;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

/// Clients whose request is complete shortly before or after the forwarder ends.
const CLIENTS: u64 = 240;
/// Clients whose request stays unfinished. They only see when the forwarder ends its connections.
const WATCHERS: u64 = 4;
/// The time between a last byte and the first sign of any connection's end from which on it is certain that the byte
/// came first.
const CERTAIN_MS: f64 = 1.0;

struct Outcome {
    message: Message,
    /// When the write of the request's last byte returned; `None` if the connection had ended before.
    complete_at: Option<Instant>,
    answer: Answer,
    answered_at: Instant,
}

fn main() {
    guard(ms(110_000));
    let log = Log::create(Path::new("review/3/record.txt"));
    let folder = temporary_folder();
    let trouble = with_trouble();
    let calls = Arc::new(Mutex::new(Vec::<(String, String)>::new()));
    let (received, written) = (calls.clone(), log.clone());
    let endpoint = Endpoint::start("127.0.0.2", |_| {}, move |call| {
        written.line(format!("endpoint: call id={} body={}", call.id(), call.body()));
        received.lock().unwrap().push((call.id().to_owned(), call.body()));
        Reply::Status(200, String::new(), ms(20))
    });
    let entry = Entry {
        uid: "s-1".to_owned(),
        address: endpoint.address,
        zone: "vitoria",
        kind: "shops",
        destination: 7,
        state: "in_service",
    };
    let agent = Agent::start("127.0.0.3", vec![entry], log.clone());
    let listen = free_address("127.0.0.4");
    let config = Settings::arrieta().config(listen, agent.address, &agent.list(), 1);
    std::fs::write(folder.join("config.json"), config).unwrap();
    let start = Start { folder: &folder, listen, discovery: agent.address, console: None, listener: None };
    let mut forwarder = start.start();
    log.line("forwarder: ready");

    // Each client keeps its connection: a first message before the SIGTERM, a second one after it, and a third one that
    // is cut before its last byte.
    let base = Instant::now() + ms(500);
    let outcomes = Arc::new(Mutex::new(Vec::new()));
    let mut clients = Vec::new();
    for number in 0..CLIENTS + WATCHERS {
        let (log, outcomes) = (log.clone(), outcomes.clone());
        clients.push(thread::spawn(move || {
            let outcome = client(number, listen, base, &log);
            outcomes.lock().unwrap().extend(outcome);
        }));
    }
    sleep_until(base);
    if trouble {
        log.line("SIGTERM");
        forwarder.signal(SIGTERM);
    }
    for client in clients {
        let _ = client.join();
    }
    if trouble {
        let ended_at = forwarder.wait();
        log.line_at(ended_at, "forwarder: ended by itself");
    }
    // The next start, so that the record also shows what became of the messages that were taken on.
    thread::sleep(ms(600));
    if trouble {
        forwarder = start.start();
        log.line("forwarder: ready again");
    }
    thread::sleep(ms(3000));
    forwarder.kill();
    judge(&outcomes.lock().unwrap(), &calls.lock().unwrap(), &agent.notices(), &log)
}

fn message(id: String) -> Message {
    let body = format!("parcel {id}");
    Message { id, class: "orders", tenant: Some("acme"), key: None, destination: 7, remaining: 28.0, body }
}

/// Hands in three messages on one connection, the third one in two parts. Returns what became of the third.
fn client(number: u64, listen: std::net::SocketAddr, base: Instant, log: &Log) -> Option<Outcome> {
    sleep_until(base - ms(300) + ms(number));
    let mut stream = connect(listen).ok()?;
    for at in [base - ms(300) + ms(number), base + ms(1350) + ms(number)] {
        sleep_until(at);
        let message = message(new_id());
        stream.write_all(&message.request()).ok()?;
        let answer = read_answer(&mut stream, ms(400));
        log.line(format!("client {number}: id={} answer={answer:?}", message.id));
        if answer != Answer::Status(202) {
            log.line(format!("client {number}: leaves"));
            return None;
        }
    }
    let message = message(new_id());
    let request = message.request();
    let (first, last) = request.split_at(request.len() - 1);
    sleep_until(base + ms(3180));
    stream.write_all(first).ok()?;
    log.line(format!("client {number}: id={} all but the last byte is written", message.id));
    let is_watcher = number >= CLIENTS;
    let mut complete_at = None;
    if !is_watcher {
        // From 3.486 s to 3.512 s after the SIGTERM.
        sleep_until(base + ms(3486) + std::time::Duration::from_micros(number * 110));
        let _ = stream.set_nonblocking(true);
        let is_open = matches!(stream.peek(&mut [0]), Err(error) if error.kind() == std::io::ErrorKind::WouldBlock);
        let _ = stream.set_nonblocking(false);
        if is_open && stream.write_all(last).is_ok() {
            complete_at = Some(Instant::now());
        }
    }
    let answer = read_answer(&mut stream, ms(400));
    Some(Outcome { message, complete_at, answer, answered_at: Instant::now() })
}

fn judge(outcomes: &[Outcome], calls: &[(String, String)], notices: &[Notice], log: &Log) -> ! {
    let unanswered = outcomes.iter().filter(|outcome| matches!(outcome.answer, Answer::Ended(_)));
    let first_end = unanswered.map(|outcome| outcome.answered_at).min();
    if let Some(first_end) = first_end {
        log.line_at(first_end, "clients: the first sign of a connection's end");
    }
    let (mut answered, mut lost, mut ran) = (0, 0, 0);
    for Outcome { message, complete_at, answer, answered_at } in outcomes {
        let Some(complete_at) = complete_at else { continue };
        log.line_at(*complete_at, format!("client: id={} the last byte is written", message.id));
        log.line_at(*answered_at, format!("client: id={} answer={answer:?}", message.id));
        answered += u64::from(matches!(answer, Answer::Status(_)));
        let before_end = first_end.map_or(0.0, |end| end.saturating_duration_since(*complete_at).as_secs_f64() * 1e3);
        let was_called = calls.iter().any(|(id, _)| *id == message.id);
        let notice = notices.iter().find(|notice| notice.id == message.id).map(|notice| notice.state.clone());
        if matches!(answer, Answer::Ended(_)) && before_end >= CERTAIN_MS {
            lost += 1;
            ran += u64::from(was_called);
            log.say(format!(
                "lost: id={} the last byte was written {before_end:.2} ms before the forwarder ended any connection, \
                 answer={answer:?} called={was_called} notice={notice:?}",
                message.id
            ));
        }
    }
    log.say(format!(
        "requests written to the last byte and answered: {answered}; lost: {lost}, of which {ran} ran without their client knowing"
    ));
    if answered < 20 {
        cannot_run("too few requests were complete before the forwarder ended");
    }
    end(if lost > 0 { 1 } else { 0 })
}

//! A bad client that sends the id of another client's open request, while that request is still on its way.

#[path = "../standins.rs"]
mod standins;

use standins::*;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const MESSAGES: usize = 20;
/// How long a message may be delivered, in seconds.
const REMAINING: f64 = 3.0;
/// A message taken on is lost if it has no end so long after its time: 300 ms, and 50 ms on sockets.
const SLACK: Duration = Duration::from_millis(350);

/// A call that reached an endpoint: the endpoint's destination, the id and the body.
type Received = Arc<Mutex<Vec<(u64, String, String)>>>;

fn endpoint(destination: u64, received: &Received, log: &Arc<Log>) -> Endpoint {
    let (received, log) = (received.clone(), log.clone());
    Endpoint::start("127.0.0.2", |_| {}, move |call| {
        log.line(format!("endpoint of {destination}: call id={} body={:?}", call.id(), call.body()));
        received.lock().unwrap().push((destination, call.id().to_owned(), call.body()));
        Reply::Status(200, String::new(), ms(20))
    })
}

fn main() {
    guard(ms(110_000));
    let log = Log::create(Path::new("review/2/record.txt"));
    let folder = temporary_folder();
    let trouble = with_trouble();
    let received = Received::default();
    let mut entries = Vec::new();
    let mut endpoints = Vec::new();
    for destination in [7, 8] {
        let serving = endpoint(destination, &received, &log);
        entries.push(Entry {
            uid: format!("s-{destination}"),
            address: serving.address,
            zone: "vitoria",
            kind: "shops",
            destination,
            state: "in_service",
        });
        endpoints.push(serving);
    }
    let agent = Agent::start("127.0.0.3", entries, log.clone());
    let listen = free_address("127.0.0.4");
    let config = Settings::arrieta().config(listen, agent.address, &agent.list(), 1);
    std::fs::write(folder.join("config.json"), config).unwrap();
    let start = Start { folder: &folder, listen, discovery: agent.address, console: None, listener: None };
    let mut forwarder = start.start();
    log.line("forwarder: ready");

    let mut handed_in = Vec::new();
    for number in 0..MESSAGES {
        let message = Message {
            id: new_id(),
            class: "status",
            tenant: Some("acme"),
            key: None,
            destination: 7,
            remaining: REMAINING,
            body: format!("parcel {number} has arrived"),
        };
        // A usual client: its request comes cut in two, the second part 120 ms after the first.
        let Ok(mut client) = connect(listen) else { cannot_run("the forwarder takes no connection") };
        let request = message.request();
        let (first, second) = request.split_at(request.len() - 10);
        client.write_all(first).unwrap_or_else(|error| cannot_run(&error.to_string()));
        let sent_at = Instant::now();
        log.line(format!("client: id={} all but 10 bytes of the body are written", message.id));
        thread::sleep(ms(60));
        // A bad client: with the id of the request above, which is open.
        let id = if trouble { message.id.clone() } else { new_id() };
        let bad = Message { id, destination: 8, body: format!("not parcel {number}"), ..message.clone() };
        let answer = hand_in(listen, &bad);
        log.line(format!("bad client: id={} dest=8 body={:?} answer={answer:?}", bad.id, bad.body));
        sleep_until(sent_at + ms(120));
        let written = client.write_all(second);
        let answer = if written.is_ok() { read_answer(&mut client, ms(280)) } else { Answer::Ended("write".to_owned()) };
        log.line(format!("client: id={} dest=7 body={:?} answer={answer:?}", message.id, message.body));
        handed_in.push((message, answer, sent_at));
        thread::sleep(ms(100));
    }
    thread::sleep(Duration::from_secs_f64(REMAINING) + SLACK + ms(500));
    forwarder.kill();

    let (mut taken_on, mut lost) = (0, 0);
    let received = received.lock().unwrap();
    for (message, answer, sent_at) in &handed_in {
        if !matches!(answer, Answer::Status(200 | 202)) {
            continue;
        }
        taken_on += 1;
        let is_delivered =
            received.iter().any(|(dest, id, body)| *dest == 7 && *id == message.id && *body == message.body);
        let due = *sent_at + Duration::from_secs_f64(REMAINING) + SLACK;
        let is_ended = agent.notices().iter().any(|notice| notice.id == message.id && notice.at <= due);
        if !is_delivered && !is_ended {
            lost += 1;
            let calls: Vec<_> = received.iter().filter(|(_, id, _)| *id == message.id).collect();
            log.say(format!(
                "lost: id={} dest=7 body={:?} was taken on with {answer:?}, never delivered and has no notice; calls with this id \
                 (destination of the endpoint, id, body): {calls:?}",
                message.id, message.body
            ));
        }
    }
    log.say(format!("messages of usual clients: {MESSAGES}; taken on: {taken_on}; lost: {lost}"));
    if !trouble && taken_on == 0 {
        cannot_run("no message was taken on");
    }
    end(if lost > 0 { 1 } else { 0 })
}

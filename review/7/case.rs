//! During an upgrade a bad client hands the id of another client's open request to the new process. The old process takes
//! that other request on as well, and nobody ever delivers it.

#[path = "../standins-2.rs"]
mod standins;

use standins::*;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Usual clients, each with one request during the upgrade.
const CLIENTS: usize = 8;

fn main() {
    let listener = listener();
    inherit_as_descriptor_4(&listener);
    let case = Case::start();
    let result = run(&case, listener.local_addr().unwrap());
    case.end(result);
}

/// What a usual client sent and was answered.
struct Handed {
    message: Message,
    sent_at: Instant,
    status: Option<u16>,
}

fn run(case: &Case, listen: SocketAddr) -> Result<Vec<String>, String> {
    let record = &case.record;
    let calls = Calls::default();
    let mut targets = Vec::new();
    for destination in 1..=2 {
        let uid = format!("s-5be2a0{destination:02x}");
        let address = endpoint(&uid, &calls, record, Arc::new(|_| Reply::delivered(ms(150))));
        let (zone, kind) = ("vitoria".to_owned(), "payment-partners".to_owned());
        targets.push(Target { uid, address, zone, kind, destination, state: "in_service", capacity_hint: 40.0 });
    }
    let platform = Platform::new(targets);
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
    // The usual clients have connections that they use and keep.
    let mut connections = Vec::new();
    for _ in 0..CLIENTS {
        let stream = TcpStream::connect(listen).map_err(|error| error.to_string())?;
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        let message = order(1);
        let request = request(&message);
        let answer = send(&mut reader, &[&request]);
        record.line(format!("handed in id={} answer={answer:?}", message.id));
        connections.push(reader);
    }
    let new = start()?;
    old.signal(SIGTERM, record);
    thread::sleep(ms(150));
    let trouble = case.trouble;
    let usual: Vec<_> = connections
        .into_iter()
        .enumerate()
        .map(|(number, mut reader)| {
            let record = record.clone();
            thread::spawn(move || {
                thread::sleep(ms(100 * number as u64));
                let message = order(1);
                let request = request(&message);
                // The request comes in two parts, 100 ms apart.
                let (first, rest) = request.split_at(request.len() - 10);
                let written = reader.get_mut().write_all(first);
                record.line(format!("usual client: first part id={} written={}", message.id, written.is_ok()));
                thread::sleep(ms(50));
                if trouble {
                    bad_client(listen, &message.id, &record);
                }
                thread::sleep(ms(50));
                let sent_at = Instant::now();
                let status = send(&mut reader, &[rest]);
                record.line(format!("usual client: whole request id={} answer={status:?}", message.id));
                Handed { message, sent_at, status }
            })
        })
        .collect();
    let handed: Vec<Handed> = usual.into_iter().map(|usual| usual.join().unwrap()).collect();
    if !old.wait_end(ms(3700)) {
        old.kill(record);
    }
    record.line("the old process has ended");
    thread::sleep(Duration::from_secs(9));
    drop(new);
    if handed.iter().all(|handed| handed.status != Some(202)) {
        return Err("no request of the usual clients was taken on".to_owned());
    }
    let all = calls.all();
    let mut broken = Vec::new();
    for Handed { message, sent_at, status } in &handed {
        if *status != Some(202) {
            continue;
        }
        let is_its_own = |call: &&Call| call.ids.contains(&message.id) && call.body == message.body;
        let is_delivered = all.iter().filter(is_its_own).any(|call| calls.answered_at(call.number).is_some());
        let due = *sent_at + Duration::from_secs_f64(message.remaining) + ms(350);
        let is_ended = platform.notices().iter().any(|(at, id, _)| *id == message.id && *at <= due);
        if !is_delivered && !is_ended {
            let others = all.iter().filter(|call| call.ids.contains(&message.id));
            let others: Vec<_> = others.map(|call| format!("{} at {}", call.number, call.endpoint)).collect();
            broken.push(format!(
                "order {} was taken on (202), never reached its partner and got no notice; calls with its id and another body: {}",
                message.id,
                others.join(", ")
            ));
        }
    }
    Ok(broken)
}

/// Returns an order with a body of its own.
fn order(destination: u64) -> Message {
    let mut message = Message::new("orders", destination, 6.0, 0);
    message.body = format!("pickup order {} for partner {destination}", message.id).into_bytes();
    message
}

fn request(message: &Message) -> Vec<u8> {
    let mut request = format!(
        "POST /{} HTTP/1.1\r\nHost: origin.svc\r\nX-Txn: {}\r\nX-Org: {}\r\nX-Remaining: {:.3}\r\nContent-Length: {}\r\nX-Consignee: dest={}\r\n\r\n",
        message.class, message.id, message.tenant, message.remaining, message.body.len(), message.destination
    )
    .into_bytes();
    request.extend_from_slice(&message.body);
    request
}

/// Sends bytes and returns the status of the answer, or `None` if there is none within 400 ms.
fn send(reader: &mut BufReader<TcpStream>, parts: &[&[u8]]) -> Option<u16> {
    reader.get_ref().set_read_timeout(Some(ms(400))).ok()?;
    for part in parts {
        reader.get_mut().write_all(part).ok()?;
    }
    let (head, _) = read_message(reader).ok()??;
    head.first.split(' ').nth(1)?.parse().ok()
}

/// A bad client sends the id of another client's open request, with a body and a partner of its own.
fn bad_client(listen: SocketAddr, id: &str, record: &Record) {
    let mut message = order(2);
    message.id = id.to_owned();
    message.class = "status";
    message.body = b"something else".to_vec();
    let Ok(stream) = TcpStream::connect(listen) else { return };
    let _ = stream.set_nodelay(true);
    let answer = send(&mut BufReader::new(stream), &[&request(&message)]);
    record.line(format!("bad client: id={id} answer={answer:?}"));
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

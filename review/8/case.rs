//! After discovery has moved with SIGHUP, a new process that takes over in an upgrade goes back to the old address: its
//! notices reach nobody, and messages that were taken on never get their end.

#[path = "../standins-2.rs"]
mod standins;

use standins::*;
use std::collections::HashMap;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

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
    let sound = endpoint("s-5be2a001", &calls, record, Arc::new(|_| Reply::delivered(ms(250))));
    // This partner has crashed: it refuses connections, all the time.
    let crashed = free_address();
    let target = |uid: &str, address, destination| Target {
        uid: uid.to_owned(),
        address,
        zone: "vitoria".to_owned(),
        kind: "payment-partners".to_owned(),
        destination,
        state: "in_service",
        capacity_hint: 12.0,
    };
    let platform = Platform::new(vec![target("s-5be2a001", sound, 1), target("s-5be2a002", crashed, 2)]);
    let first_agent = platform.listen(record);
    let second_agent = platform.listen(record);
    let site = Site::new(case, "n0", listen);
    let settings = Settings::default();
    site.write_config(&settings.config(listen, first_agent.address, &platform.list()));
    let (first_console, second_console) = (free_address(), free_address());
    let variables = |console: std::net::SocketAddr| {
        vec![
            ("EDGE_DISCOVERY", first_agent.address.to_string()),
            ("EDGE_CONSOLE", console.to_string()),
            ("EDGE_FD", "4".to_owned()),
        ]
    };
    let mut old = site.start(&variables(first_console))?;
    wait_yes(first_console, Duration::from_secs(6))?;
    thread::sleep(ms(1500));
    if case.trouble {
        record.line("a new configuration moves discovery");
        site.write_config(&settings.config(listen, second_agent.address, &platform.list()));
        old.signal(SIGHUP, record);
        first_agent.retire(ms(1500));
    }
    thread::sleep(Duration::from_secs(5));
    // The old process posts its notices where discovery is now.
    let mut broken = Vec::new();
    let mut before = Handed::default();
    before.hand_in(&site, record);
    thread::sleep(ms(3000));
    if !before.unanswered(&platform, &calls).is_empty() {
        return Err("the old process did not give the messages their end either".to_owned());
    }
    record.line("upgrade: the new process is started on the same addresses but for the console");
    let new = site.start(&variables(second_console))?;
    wait_yes(second_console, Duration::from_secs(6))?;
    old.signal(SIGTERM, record);
    if !old.wait_end(ms(3700)) {
        old.kill(record);
    }
    thread::sleep(Duration::from_secs(3));
    let mut after = Handed::default();
    for _ in 0..10 {
        after.hand_in(&site, record);
        thread::sleep(ms(300));
    }
    thread::sleep(Duration::from_secs(8));
    drop(new);
    broken.extend(after.unanswered(&platform, &calls));
    Ok(broken)
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

/// The messages that were taken on, with the time that each had.
#[derive(Default)]
struct Handed(HashMap<String, (Instant, f64)>);

impl Handed {
    /// Hands in one message for each partner.
    fn hand_in(&mut self, site: &Site, record: &Record) {
        for destination in [1, 2] {
            let message = Message::new("orders", destination, 2.0, 200);
            let at = Instant::now();
            let status = Client::new(site.listen).submit(&message);
            record.line(format!("handed in id={} dest={destination} answer={status:?}", message.id));
            if status.is_ok_and(|status| status == 202) {
                self.0.insert(message.id, (at, message.remaining));
            }
        }
    }

    /// Returns the messages that were neither delivered nor ended by a notice 350 ms after their time was up.
    fn unanswered(&self, platform: &Platform, calls: &Calls) -> Vec<String> {
        let mut ends: HashMap<String, Instant> = HashMap::new();
        for (at, id, _) in platform.notices() {
            ends.entry(id).or_insert(at);
        }
        for call in calls.all() {
            if let Some(at) = calls.answered_at(call.number) {
                for id in &call.ids {
                    ends.entry(id.clone()).or_insert(at);
                }
            }
        }
        let mut lost = Vec::new();
        for (id, (at, remaining)) in &self.0 {
            let due = *at + Duration::from_secs_f64(*remaining) + ms(350);
            match ends.get(id) {
                Some(end) if *end <= due => {}
                Some(end) => lost.push(format!("{id} got its end {} ms too late", (*end - due).as_millis())),
                None => lost.push(format!("{id} was taken on and never got an end")),
            }
        }
        lost
    }
}

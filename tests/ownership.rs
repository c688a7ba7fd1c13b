//! Tests of the handover between real forwarders of one region whose destinations have owners. The forwarders are under
//! load, with a fault proxy on each link between two of them. The tests check that every accepted message has one final
//! answer, as a call at the destination or as a notification.

use orchidyoke_fakes::TemporaryFolder;
use orchidyoke_fakes::destination::{CapacityModel, DestinationServer};
use orchidyoke_fakes::forwarder::{ForwarderConfig, ForwarderProcess, endpoint_entry, submit_message};
use orchidyoke_fakes::{DiscoveryServer, FaultProxy, NetworkFault, ServerRuntime, unused_loopback_address};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const DESTINATIONS: u64 = 30;
const TIMEOUT: Duration = Duration::from_secs(40);
/// If a call arrived less than this time before its forwarder was killed, the forwarder may not have read its answer.
/// This is the time that a destination may take on a busy machine. A non-idempotent message then fails.
const UNREAD_ANSWER_WINDOW: Duration = Duration::from_secs(2);
/// The classes of the submitted messages. The second class is not idempotent.
const CLASSES: [&str; 2] = ["status", "orders"];

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_orchidyoke"))
}

fn wait_until(what: &str, mut done: impl FnMut() -> bool) {
    let deadline = Instant::now() + TIMEOUT;
    while !done() {
        assert!(Instant::now() < deadline, "timed out waiting until {what}");
        thread::sleep(Duration::from_millis(20));
    }
}

/// Returns an address that no other process of this run uses.
fn free_address() -> SocketAddr {
    TcpListener::bind((unused_loopback_address(), 0))
        .and_then(|listener| listener.local_addr())
        .expect("free port")
}

struct Member {
    folder: TemporaryFolder,
    address: SocketAddr,
    /// The running process and the address of its console. `None` while the member is not running.
    process: Option<(ForwarderProcess, SocketAddr)>,
    /// The links to the members, by index. `None` for this member itself.
    links: Vec<Option<FaultProxy>>,
}

struct Region {
    discovery: DiscoveryServer,
    destination: DestinationServer,
    members: Vec<Member>,
    /// The ids of accepted messages, with their classes.
    accepted: Arc<Mutex<BTreeMap<String, &'static str>>>,
    stop: Arc<AtomicBool>,
    clients: Vec<thread::JoinHandle<()>>,
    kills: Vec<Instant>,
    /// The log lines of processes that have ended.
    ended_logs: Vec<String>,
    _runtime: ServerRuntime,
}

impl Region {
    fn start(name: &str, size: usize) -> Region {
        let (discovery, runtime) = (DiscoveryServer::start(""), ServerRuntime::new());
        let destination = DestinationServer::new(CapacityModel {
            service_time: Duration::from_millis(5),
            ..CapacityModel::default()
        });
        let mut config = ForwarderConfig::new(discovery.address());
        config.fleet_size = size;
        let endpoint = |number| endpoint_entry(&format!("p{number}"), destination.open_endpoint(), number);
        config.endpoints = (1..=DESTINATIONS).map(endpoint).collect();
        let addresses: Vec<SocketAddr> = (0..size).map(|_| free_address()).collect();
        let mut region = Region {
            discovery,
            destination,
            members: Vec::new(),
            accepted: Arc::default(),
            stop: Arc::default(),
            clients: Vec::new(),
            kills: Vec::new(),
            ended_logs: Vec::new(),
            _runtime: runtime,
        };
        for number in 0..size {
            let link = |(index, address): (usize, &SocketAddr)| {
                (index != number)
                    .then(|| FaultProxy::start(&region._runtime, unused_loopback_address(), *address))
            };
            let links: Vec<_> = addresses.iter().enumerate().map(link).collect();
            let folder = TemporaryFolder::new(&format!("ownership-{name}-{number}"));
            folder.write("config.json", &config.text());
            folder.write("settings.star", &settings(number, addresses[number], &links));
            region.members.push(Member { folder, address: addresses[number], process: None, links });
            region.start_member(number);
        }
        region
    }

    /// Starts a member with its folder and its address.
    fn start_member(&mut self, number: usize) {
        let member = &mut self.members[number];
        let settings = member.folder.path().join("settings.star").display().to_string();
        let options = ["--settings", &settings, "--listen", &member.address.to_string()];
        let started =
            ForwarderProcess::start_with_console(program(), &member.folder, "127.0.0.1:0", &options);
        member.process = Some(started);
    }

    fn process(&self, number: usize) -> &ForwarderProcess {
        &self.members[number].process.as_ref().expect("running process").0
    }

    fn kill(&mut self, number: usize) {
        let (forwarder, _) = self.members[number].process.take().expect("running process");
        self.ended_logs.extend(forwarder.log.try_iter());
        forwarder.kill();
        self.kills.push(Instant::now());
    }

    /// Shuts a member down gracefully and starts it again.
    fn restart(&mut self, number: usize) {
        let (forwarder, _) = self.members[number].process.take().expect("running process");
        self.ended_logs.extend(forwarder.log.try_iter());
        forwarder.signal("TERM");
        assert!(forwarder.wait().success());
        self.start_member(number);
    }

    /// Returns the messages that were offered to an owner without an answer, according to the logs of the forwarders
    /// that offered them.
    fn in_doubt(&self) -> BTreeSet<String> {
        let running = self.members.iter().filter_map(|member| member.process.as_ref());
        let lines = running.flat_map(|(forwarder, _)| forwarder.log.try_iter());
        let txn = |line: String| {
            let (txn, rest) = line.split_once("hand-over of ")?.1.split_once(" to ")?;
            rest.contains("(in doubt)").then(|| txn.to_owned())
        };
        lines.chain(self.ended_logs.iter().cloned()).filter_map(txn).collect()
    }

    /// Returns the messages whose call may have been in flight when a forwarder was killed, according to the calls at
    /// the destination.
    fn in_flight_at_kills(&self) -> BTreeSet<String> {
        let was_in_flight = |at: Instant, kill: &Instant| at <= *kill && *kill - at < UNREAD_ANSWER_WINDOW;
        let calls = self.destination.calls().into_iter();
        calls
            .filter(|call| self.kills.iter().any(|kill| was_in_flight(call.received_at, kill)))
            .map(|call| call.message_id)
            .collect()
    }

    /// Returns a metric from a member's console, or 0 if the console does not answer.
    fn metric(&self, number: usize, name: &str) -> u64 {
        let ask = || -> Option<u64> {
            let (_, console) = self.members[number].process.as_ref()?;
            let mut stream = TcpStream::connect(console).ok()?;
            stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
            stream.write_all(b"show-stat\n").ok()?;
            let mut reply = String::new();
            stream.read_to_string(&mut reply).ok()?;
            reply.lines().find_map(|line| line.strip_prefix(&format!("app_{name} "))?.parse().ok())
        };
        ask().unwrap_or(0)
    }

    fn others(&self, number: usize) -> Vec<usize> {
        (0..self.members.len()).filter(|other| *other != number).collect()
    }

    /// Returns the sum of a metric over all members except this one.
    fn sum_of_others(&self, number: usize, name: &str) -> u64 {
        self.others(number).into_iter().map(|other| self.metric(other, name)).sum()
    }

    /// Sets a fault on the links from the other members to this one.
    fn set_fault_towards(&self, number: usize, fault: NetworkFault) {
        self.members
            .iter()
            .filter_map(|member| member.links[number].as_ref())
            .for_each(|link| link.set_fault(fault));
    }

    /// Sets a fault on the links from this member to the others.
    fn set_fault_from(&self, number: usize, fault: NetworkFault) {
        self.members[number].links.iter().flatten().for_each(|link| link.set_fault(fault));
    }

    /// Starts clients of these members. The clients submit messages of both classes for all destinations until `stop`
    /// is set.
    fn start_load(&mut self, members: &[usize]) {
        for &number in members {
            for class in CLASSES {
                let (accepted, stop) = (self.accepted.clone(), self.stop.clone());
                let address = self.members[number].address;
                let client = move || {
                    for count in 0.. {
                        if stop.load(Ordering::Relaxed) {
                            return;
                        }
                        let txn = format!("{class}-{number}-{count}");
                        if submit_message(address, class, &txn, 1 + count % DESTINATIONS) == 202 {
                            accepted.lock().expect("lock not poisoned").insert(txn, class);
                        }
                        thread::sleep(Duration::from_millis(10));
                    }
                };
                self.clients.push(thread::spawn(client));
            }
        }
    }

    /// Returns the number of calls at the destination, by message id.
    fn calls(&self) -> BTreeMap<String, usize> {
        let mut calls = BTreeMap::new();
        for call in self.destination.calls() {
            *calls.entry(call.message_id).or_default() += 1;
        }
        calls
    }

    /// Stops the clients, waits until each accepted message has a final answer, and checks that it has only one.
    /// Returns the number of accepted messages.
    fn stop_and_verify(mut self) -> usize {
        self.stop.store(true, Ordering::Relaxed);
        self.clients.drain(..).for_each(|client| client.join().expect("client thread finished"));
        let accepted = self.accepted.lock().expect("lock not poisoned").clone();
        let unanswered = |region: &Region| {
            let (calls, notifications) = (region.calls(), region.discovery.notifications());
            accepted
                .keys()
                .filter(|txn| !calls.contains_key(*txn) && !notifications.contains_key(*txn))
                .count()
        };
        let mut open_count = accepted.len();
        wait_until("each message has a final answer", || {
            open_count = unanswered(&self);
            open_count == 0
        });
        // Once no forwarder has any message, a second final answer would have been given.
        let idle =
            |number| self.metric(number, "concurrent") == 0 && self.metric(number, "owners_members") > 0;
        wait_until("no forwarder has any message", || (0..self.members.len()).all(idle));
        let (calls, notifications) = (self.calls(), self.discovery.notifications());
        let repeated: Vec<_> =
            calls.iter().filter(|(txn, count)| txn.starts_with("orders") && **count > 1).collect();
        assert!(repeated.is_empty(), "non-idempotent messages with more than one call: {repeated:?}");
        let returned = |txn: &str| {
            notifications.get(txn).is_some_and(|states| states.iter().any(|state| state == "returned"))
        };
        let wrongly_returned: Vec<_> =
            calls.keys().filter(|txn| txn.starts_with("orders") && returned(txn)).collect();
        assert!(
            wrongly_returned.is_empty(),
            "messages with a call, but notified as never sent: {wrongly_returned:?}"
        );
        // If an answer was lost, the forwarder that waited for it may have given a final answer of its own.
        let unknown: BTreeSet<_> = self.in_flight_at_kills().into_iter().chain(self.in_doubt()).collect();
        let final_answers =
            |txn: &String| usize::from(calls.contains_key(txn)) + notifications.get(txn).map_or(0, Vec::len);
        let with_several_answers: Vec<_> =
            accepted.keys().filter(|txn| final_answers(txn) > 1 && !unknown.contains(*txn)).collect();
        assert!(
            with_several_answers.is_empty(),
            "messages with more than one final answer: {with_several_answers:?}"
        );
        accepted.len()
    }
}

/// Returns the settings of one member, with its own address for itself and the addresses of the links for the others.
fn settings(number: usize, own_address: SocketAddr, links: &[Option<FaultProxy>]) -> String {
    let member = |(index, link): (usize, &Option<FaultProxy>)| {
        let address = link.as_ref().map_or(own_address, |link| link.address);
        let zone = if index % 2 == 0 { "a" } else { "b" };
        format!("member(name = \"f{index}\", zone = \"{zone}\", address = \"{address}\")")
    };
    let members: Vec<_> = links.iter().enumerate().map(member).collect();
    format!(
        "ownership(name = \"f{number}\", region = \"north\", regions = {{\"north\": [\"a\", \"b\"]}}, members = [{}])\n",
        members.join(", ")
    )
}

// Guards against a message that is lost or duplicated without any fault, and against a destination with no owner or
// with two owners.
#[test]
fn message_is_delivered_once_by_its_owner() {
    let mut region = Region::start("plain", 5);
    region.start_load(&[0, 1, 2, 3, 4]);
    wait_until("all members hand over and take over", || {
        (0..5).all(|number| {
            region.metric(number, "handed_over") > 30 && region.metric(number, "taken_over") > 30
        })
    });
    let owned: u64 = (0..5).map(|number| region.metric(number, "owned")).sum();
    assert_eq!(owned, DESTINATIONS);
    assert_eq!((0..5).map(|number| region.metric(number, "delivered_for_lack_of_owner")).sum::<u64>(), 0);
    assert!(region.stop_and_verify() > 300);
}

// Guards against a message that is lost when its owner is killed, or delivered again while the owner is down or after
// its restart.
#[test]
fn killed_owner_is_substituted_and_finishes_its_messages_after_restart() {
    let mut region = Region::start("killed", 6);
    region.start_load(&[0, 1, 2, 3, 4]);
    wait_until("the owner takes over", || region.metric(5, "taken_over") > 30);
    region.kill(5);
    wait_until("the others deliver for the owner", || {
        region.sum_of_others(5, "delivered_for_lack_of_owner") > 10
    });
    region.start_member(5);
    wait_until("the owner takes over again", || region.metric(5, "taken_over") > 30);
    region.stop_and_verify();
}

// Guards against an owner that is suspended, resumes, and delivers non-idempotent messages that others have already
// delivered for it.
#[test]
fn suspended_owner_resumes_without_a_duplicate_delivery() {
    let mut region = Region::start("frozen", 5);
    region.start_load(&[0, 1, 2, 3]);
    wait_until("the owner takes over", || region.metric(4, "taken_over") > 30);
    region.process(4).signal("STOP");
    wait_until("the others deliver for the owner", || {
        region.sum_of_others(4, "delivered_for_lack_of_owner") > 5
    });
    wait_until("answers are missed", || region.sum_of_others(4, "handover_unanswered") > 5);
    region.process(4).signal("CONT");
    let before = region.metric(4, "taken_over");
    wait_until("the owner takes over again", || region.metric(4, "taken_over") > before + 30);
    region.stop_and_verify();
}

// Guards against a second delivery after a lost answer. An offer arrives at the owner, but the owner's answer does not
// arrive in time.
#[test]
fn lost_handover_answers_cause_no_duplicate_delivery() {
    let mut region = Region::start("one-way", 5);
    region.start_load(&[0, 1, 2, 3]);
    wait_until("the owner takes over", || region.metric(4, "taken_over") > 30);
    // The offer and its answer together take longer than the time-out of an offer.
    region.set_fault_towards(4, NetworkFault::Delay(Duration::from_millis(700)));
    wait_until("answers are missed", || region.sum_of_others(4, "handover_unanswered") > 5);
    wait_until("the others deliver for the owner", || {
        region.sum_of_others(4, "delivered_for_lack_of_owner") > 5
    });
    region.set_fault_towards(4, NetworkFault::None);
    let before = region.sum_of_others(4, "handed_over");
    wait_until("the others hand over to the owner again", || {
        region.sum_of_others(4, "handed_over") > before + 60
    });
    region.stop_and_verify();
}

// Guards against a message that is lost between the two sides of a partition, or delivered on both sides after it.
#[test]
fn disconnected_forwarder_hands_over_again_after_the_partition() {
    let mut region = Region::start("cut", 5);
    region.start_load(&[0, 1, 2, 3, 4]);
    wait_until("the owner takes over", || region.metric(4, "taken_over") > 30);
    for fault in [NetworkFault::Blackhole, NetworkFault::Partition] {
        let before = region.sum_of_others(4, "delivered_for_lack_of_owner");
        region.set_fault_towards(4, fault);
        region.set_fault_from(4, fault);
        wait_until("the others deliver for the owner", || {
            region.sum_of_others(4, "delivered_for_lack_of_owner") > before + 5
        });
        wait_until("the disconnected member delivers for others", || {
            region.metric(4, "delivered_for_lack_of_owner") > 5
        });
        let before = region.metric(4, "taken_over");
        region.set_fault_towards(4, NetworkFault::None);
        region.set_fault_from(4, NetworkFault::None);
        wait_until("the owner takes over again", || region.metric(4, "taken_over") > before + 30);
    }
    region.stop_and_verify();
}

// Guards against messages that a graceful restart loses, both at the forwarders that accepted them and at their owners.
#[test]
fn rolling_restart_under_load_loses_and_duplicates_nothing() {
    let mut region = Region::start("rolling", 5);
    region.start_load(&[0, 1, 2, 3, 4]);
    for number in 0..5 {
        wait_until("the member takes over and hands over", || {
            region.metric(number, "taken_over") > 20 && region.metric(number, "handed_over") > 20
        });
        region.restart(number);
    }
    wait_until("the last member takes over again", || region.metric(4, "taken_over") > 20);
    region.stop_and_verify();
}

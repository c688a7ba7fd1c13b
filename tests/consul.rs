//! The program with Consul as the source of its transport map: real sockets, a stand-in Consul, kills and reloads.

use orchidyoke_fakes::TemporaryFolder;
use orchidyoke_fakes::certificates::CertificateAuthority;
use orchidyoke_fakes::consul::{ConsulFault, Instance};
use orchidyoke_fakes::destination::{Call, CapacityModel, Mode, OverloadBehavior};
use orchidyoke_fakes::forwarder::{ForwarderConfig, endpoint_entry, submit_message};
use orchidyoke_fakes::{ConsulServer, DestinationServer, DiscoveryServer, ForwarderProcess};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Command, Output};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

const PATIENCE: Duration = Duration::from_secs(20);
const PROGRAM: &str = env!("CARGO_BIN_EXE_orchidyoke");

fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < end, "{what} has to come");
        std::thread::sleep(Duration::from_millis(10));
    }
}

fn script(consul: SocketAddr) -> String {
    format!(
        "consul(\n    addresses = [\"{consul}\"],\n    networks = [\"127.0.0.0/8\"],\n    wait = \"5s\",\n    \
         services = [service(name = \"web\", destination = 3, kind = \"one\", zone = \"a\", capacity = 100.0)],\n)\n"
    )
}

struct Site {
    folder: TemporaryFolder,
    platform: DiscoveryServer,
    consul: ConsulServer,
    partner: DestinationServer,
}

impl Site {
    fn new(name: &str) -> Self {
        let consul = ConsulServer::start();
        let platform = DiscoveryServer::start("");
        let folder = TemporaryFolder::new(name);
        folder.write("config.json", &ForwarderConfig::new(platform.address()).text());
        folder.write("edge.star", &script(consul.address()));
        Site { folder, platform, consul, partner: DestinationServer::new(CapacityModel::default()) }
    }

    /// An endpoint that discovery tells, one that Consul does, and a forwarder that follows discovery.
    fn with_both(&self) -> (SocketAddr, SocketAddr, ForwarderProcess) {
        let listed = self.partner.open_endpoint();
        let told = serde_json::json!({"rev": 9, "all": true, "targets": [endpoint_entry("s1", listed, 3)]})
            .to_string();
        self.platform.publish(&told);
        let from_consul = self.register("w1");
        self.folder.write("edge.star", "# nothing yet\n");
        let forwarder = self.start();
        assert_eq!(self.delivers(&forwarder, "first").endpoint, listed);
        (listed, from_consul, forwarder)
    }

    fn register(&self, id: &str) -> SocketAddr {
        let endpoint = self.partner.open_endpoint();
        self.consul.register(Instance::new("web", "n1", id, endpoint));
        endpoint
    }

    fn start(&self) -> ForwarderProcess {
        let settings = self.folder.path().join("edge.star");
        ForwarderProcess::start(
            Path::new(PROGRAM),
            &self.folder,
            &["--settings", &settings.display().to_string()],
        )
    }

    /// Calls with this message so far.
    fn calls(&self, txn: &str) -> Vec<Call> {
        self.partner.calls().into_iter().filter(|call| call.message_id == txn).collect()
    }

    fn delivers(&self, forwarder: &ForwarderProcess, txn: &str) -> Call {
        // Until the list has come the destination is not known.
        until("the destination", || forwarder.submit_message("status", txn, 3) == 202);
        until(txn, || self.calls(txn).iter().any(|call| call.served));
        self.calls(txn)[0].clone()
    }
}

// Guards against a source that is read and not used.
#[test]
fn messages_follow_the_endpoints_of_consul() {
    let site = Site::new("consul-serve");
    let first = site.register("w1");
    let forwarder = site.start();
    assert_eq!(site.delivers(&forwarder, "a").endpoint, first);
    let second = site.register("w2");
    let index = site.consul.set_tag("n1", "w1", "draining", true);
    until("the change", || site.consul.first_answered_at("web", index).is_some());
    std::thread::sleep(Duration::from_millis(250));
    for number in 0..20 {
        let txn = format!("m{number}");
        assert_eq!(site.delivers(&forwarder, &txn).endpoint, second);
    }
    assert_eq!(forwarder.submit_message("status", "x", 4), 422, "no service stands for this destination");
    assert_eq!(site.platform.watch_count(), 0, "discovery is not followed beside it");
}

// Guards against an endpoint that is dialled though it lies where none may lie.
#[test]
fn endpoint_outside_the_networks_is_never_dialled() {
    let site = Site::new("consul-outside");
    let outside = "192.0.2.1:9".parse().expect("an address");
    site.consul.register(Instance::new("web", "n9", "out", outside));
    site.register("w1");
    let forwarder = site.start();
    site.delivers(&forwarder, "a");
    let line = forwarder.wait_for_log("n9/out", PATIENCE).expect("told once");
    assert!(line.contains("outside the networks"), "{line}");
    for number in 0..30 {
        site.delivers(&forwarder, &format!("m{number}"));
    }
    let log: Vec<String> = forwarder.log.try_iter().collect();
    assert!(log.iter().all(|line| !line.contains("192.0.2.1")), "{log:?}");
}

// Guards against a list that a restart forgets while Consul is away, and against a message lost or repeated by a kill.
#[test]
fn endpoint_list_survives_a_kill_during_a_consul_outage() {
    let site = Site::new("consul-kill");
    site.register("w1");
    let first = site.start();
    site.delivers(&first, "a");
    site.consul.set_fault(ConsulFault::Down);
    first.wait_for_log("without a valid response", PATIENCE).expect("told");
    site.delivers(&first, "b");
    site.partner.set_mode(Mode::Hang);
    assert_eq!(first.submit_message("orders", "order", 3), 202);
    until("the call", || !site.calls("order").is_empty());
    first.kill();
    site.partner.set_mode(Mode::Serve);
    let second = site.start();
    site.delivers(&second, "c");
    until("the order's end", || site.platform.notifications().contains_key("order"));
    assert_eq!(
        (site.platform.notifications()["order"].as_slice(), site.calls("order").len()),
        (&["failed".to_owned()][..], 1)
    );
    second.wait_for_log("without a valid response", PATIENCE).expect("told");
    site.consul.set_fault(ConsulFault::None);
    second.wait_for_log("have recovered", PATIENCE).expect("told");
    let next = site.register("w2");
    site.consul.deregister("n1", "w1");
    until("the new one", || {
        site.delivers(&second, &format!("d{}", site.partner.calls().len())).endpoint == next
    });
}

// Guards against messages lost or repeated as the source changes under load, and against a script taken in part.
#[test]
fn reload_switches_between_discovery_and_consul_under_load() {
    let site = Site::new("consul-reload");
    let (listed, from_consul, forwarder) = site.with_both();
    let mut sent = 0;
    let mut load = |site: &Site, count: usize| {
        for _ in 0..count {
            sent += 1;
            assert_eq!(forwarder.submit_message("orders", &format!("o{sent}"), 3), 202);
        }
        until("their calls", || site.calls(&format!("o{sent}")).iter().any(|call| call.served));
        site.calls(&format!("o{sent}"))[0].endpoint
    };
    for bad in ["consul(adresses = [])", "consul(", "def f():\n    return f()\nf()"] {
        site.folder.write("edge.star", bad);
        forwarder.signal("HUP");
        let line = forwarder.wait_for_log("the old one stays in use", PATIENCE).expect("refused");
        assert!(line.contains("edge.star"), "{line}");
        assert_eq!(load(&site, 5), listed);
    }
    site.folder.write("edge.star", &script(site.consul.address()));
    forwarder.signal("HUP");
    until("Consul's endpoint", || load(&site, 5) == from_consul);
    site.folder.write("edge.star", "# nothing any more\n");
    forwarder.signal("HUP");
    until("discovery's endpoint", || load(&site, 5) == listed);
    until("all of them", || (1..=sent).all(|n| site.calls(&format!("o{n}")).iter().any(|call| call.served)));
    assert!((1..=sent).all(|number| site.calls(&format!("o{number}")).len() == 1), "none is repeated");
    assert!(site.platform.notifications().is_empty(), "none is lost: {:?}", site.platform.notifications());
}

// Guards against a message lost, or one that may have run repeated, when the source changes while hundreds are under way:
// four clients hand in as fast as they are answered, while the source changes six times and endpoints of both stay up.
#[test]
fn repeated_source_switches_under_full_load_lose_and_repeat_nothing() {
    let site = Site::new("consul-swap");
    let (listed, from_consul, forwarder) = site.with_both();
    let none = "# nothing\n".to_owned();
    let some = script(site.consul.address());
    let over = AtomicBool::new(false);
    let door = forwarder.address;
    let taken: Vec<String> = std::thread::scope(|scope| {
        let client = |number: usize| {
            let over = &over;
            scope.spawn(move || {
                let mut taken = Vec::new();
                while !over.load(Ordering::Relaxed) {
                    let txn = format!("t{number}-{}", taken.len());
                    assert_eq!(submit_message(door, "orders", &txn, 3), 202, "{txn}");
                    taken.push(txn);
                }
                taken
            })
        };
        let clients: Vec<_> = (0..4).map(client).collect();
        for (text, source) in [&some, &none].into_iter().zip([from_consul, listed]).cycle().take(6) {
            let before = site.partner.calls().len();
            site.folder.write("edge.star", text);
            forwarder.signal("HUP");
            until("calls by the new source", || {
                let calls = site.partner.calls();
                let last = &calls[calls.len().saturating_sub(20)..];
                calls.len() >= before + 100 && last.iter().all(|call| call.endpoint == source)
            });
        }
        over.store(true, Ordering::Relaxed);
        clients.into_iter().flat_map(|client| client.join().expect("a client")).collect()
    });
    let count = || {
        let mut count: BTreeMap<String, usize> = BTreeMap::new();
        site.partner.calls().into_iter().for_each(|call| *count.entry(call.message_id).or_default() += 1);
        count
    };
    until("each message's call", || {
        let count = count();
        taken.iter().all(|txn| count.contains_key(txn))
    });
    let repeated: Vec<_> = count().into_iter().filter(|(_, calls)| *calls > 1).collect();
    assert!(taken.len() >= 600 && repeated.is_empty(), "of {}: {repeated:?}", taken.len());
    assert!(site.platform.notifications().is_empty(), "none is lost: {:?}", site.platform.notifications());
}

// Guards against all that has waited being sent at once when maintenance ends: Consul calls the partner well, and it is
// cold. A forwarder that is told that nothing tips the partner over does so, or the test would show nothing.
#[test]
fn end_of_maintenance_starts_the_recovery_ramp() {
    std::thread::scope(|scope| {
        for restrained in [true, false] {
            scope.spawn(move || {
                let mut site = Site::new(&format!("consul-maintenance-{restrained}"));
                let capacity = 400.0;
                let above = OverloadBehavior::Queue;
                site.partner = DestinationServer::new(CapacityModel {
                    capacity_rps: capacity,
                    overload_behavior: above,
                    ..CapacityModel::default()
                });
                site.folder.write("edge.star", &script(site.consul.address()).replace("100.0", "400.0"));
                let setup =
                    ForwarderConfig { max_in_flight: 512, ..ForwarderConfig::new(site.platform.address()) };
                let bold = [
                    ("\"fall_multiple\":2", "\"fall_multiple\":1000000"),
                    ("\"cold_from\":0.18", "\"cold_from\":1.0"),
                ];
                let text =
                    bold.iter().filter(|_| !restrained).fold(setup.text(), |t, (a, b)| t.replace(a, b));
                site.folder.write("config.json", &text);
                site.register("w1");
                let forwarder = site.start();
                site.delivers(&forwarder, "first");
                let index = site.consul.set_maintenance("n1", "w1", true);
                until("the maintenance", || site.consul.first_answered_at("web", index).is_some());
                std::thread::sleep(Duration::from_millis(250));
                for number in 0..900 {
                    assert_eq!(forwarder.submit_message("status", &format!("m{number}"), 3), 202);
                }
                assert_eq!(site.partner.calls().len(), 1, "nothing goes during maintenance");
                site.partner.recover();
                site.consul.set_maintenance("n1", "w1", false);
                until("what comes of it", || {
                    let calls = site.partner.calls();
                    !site.partner.collapses().is_empty()
                        || calls.iter().filter(|call| call.served).count() > 600
                });
                assert_eq!(site.partner.collapses().is_empty(), restrained, "restrained: {restrained}");
            });
        }
    });
}

// Guards against a partner that calls show to be well and a report calls critical, or the other way round.
#[test]
fn contradicting_health_checks_and_calls_still_end_each_message() {
    let site = Site::new("consul-contradict");
    site.register("w1");
    let forwarder = site.start();
    site.delivers(&forwarder, "a");
    let index = site.consul.set_status("n1", "w1", "critical");
    until("the report", || site.consul.first_answered_at("web", index).is_some());
    site.delivers(&forwarder, "b");
    site.partner.set_mode(Mode::Unavailable);
    site.consul.set_status("n1", "w1", "passing");
    assert_eq!(forwarder.submit_message("status", "c", 3), 202);
    until("its end", || site.platform.notifications().contains_key("c"));
    assert_eq!(site.platform.notifications()["c"], ["returned"]);
    assert!(site.calls("c").len() <= 8);
}

#[test]
fn check_command_explains_settings_or_locates_the_fault() {
    let site = Site::new("consul-check");
    let check = |text: &str, more: &[&str]| -> Output {
        let path = site.folder.write("edge.star", text);
        let mut program = Command::new(PROGRAM);
        program
            .env_remove("EDGE_CONFIG")
            .args(["check", "--settings"])
            .arg(path)
            .args(more)
            .output()
            .expect("it ends")
    };
    let good = script(site.consul.address());
    let output = check(&good, &[]);
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(output.status.success() && text.contains("service web is destination 3"), "{text}");
    let config = site.folder.path().join("config.json").display().to_string();
    assert!(check(&good, &["--config", &config]).status.success());
    let cases = [
        (good.replace("\"one\"", "\"none\""), "is \"one\" meant?"),
        (
            good.replace("networks = [\"127.0.0.0/8\"]", "networks = []"),
            "edge.star:1:1: consul: networks: is empty",
        ),
        (good.replace("service(", "servise("), "edge.star:5:17"),
        (
            "x = [1]\ndef f(x):\n    for i in range(60):\n        x = x + x\nf(x)\n".to_owned(),
            "the script was ended",
        ),
    ];
    for (text, why) in cases {
        let output = check(&text, &["--config", &config]);
        let error = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(
            !output.status.success() && error.contains(why) && error.lines().count() == 1,
            "{why}: {error}"
        );
    }
}

// Guards against a log that no program can read: each line is an object, with the same words as the text.
#[test]
fn json_log_lines_are_objects_with_the_same_message() {
    let site = Site::new("consul-log");
    let forwarder = ForwarderProcess::start(Path::new(PROGRAM), &site.folder, &["--log", "json"]);
    site.folder.write("config.json", "{");
    forwarder.signal("HUP");
    let line = forwarder.wait_for_log("the old one stays in use", PATIENCE).expect("refused");
    let line: serde_json::Value = serde_json::from_str(&line).expect("an object");
    assert!(line["message"].as_str().is_some_and(|text| text.starts_with("configuration: ")), "{line}");
    assert!(line["timestamp"].is_string() && line["level"] == "INFO");
}

// Guards against a list that one of Consul's failures and a kill together empty, and against changes that are not taken
// once it is back.
#[test]
fn endpoint_list_survives_a_kill_during_any_consul_fault() {
    let mut faults = ConsulFault::without_usable_answer();
    faults.push(ConsulFault::FixedIndex(Some("0")));
    std::thread::scope(|scope| {
        for (number, fault) in faults.into_iter().enumerate() {
            scope.spawn(move || {
                let site = Site::new(&format!("consul-fault-{number}"));
                let first = site.register("w1");
                let forwarder = site.start();
                site.delivers(&forwarder, "a");
                site.consul.set_fault(fault.clone());
                forwarder.kill();
                let forwarder = site.start();
                assert_eq!(site.delivers(&forwarder, "b").endpoint, first, "{fault:?}");
                site.consul.set_fault(ConsulFault::None);
                let second = site.register("w2");
                site.consul.deregister("n1", "w1");
                until("the change", || {
                    site.delivers(&forwarder, &format!("c{}", site.partner.calls().len())).endpoint == second
                });
            });
        }
    });
}

// Guards against a certificate that is trusted though it must not be, and against a list that goes with the trust: a
// forwarder that starts anew meets it, says why in one line, and goes on with the list that it had.
#[test]
fn invalid_certificate_is_logged_in_one_line_and_the_list_stays() {
    let cases = [
        ("run-out", "has expired"),
        ("other-name", "is not for server.dc1.consul"),
        ("other-authority", "signed by none of the authorities in"),
    ];
    std::thread::scope(|scope| {
        for (what, why) in cases {
            scope.spawn(move || {
                let site = Site::new(&format!("consul-tls-{what}"));
                let authority = CertificateAuthority::new(site.folder.path(), "dc1");
                let stranger = CertificateAuthority::new(site.folder.path(), "dc2");
                let ip = site.consul.address().ip();
                let day = time::Duration::days(1);
                let good = authority.sign("server.dc1.consul", ip, day);
                site.consul.use_tls(&good, None);
                let tls = format!(
                    "tls = tls(ca = {:?}, server_name = \"server.dc1.consul\"),\n    networks",
                    authority.certificate
                );
                site.folder.write("edge.star", &script(site.consul.address()).replace("networks", &tls));
                let first = site.register("w1");
                let forwarder = site.start();
                assert_eq!(site.delivers(&forwarder, "a").endpoint, first);
                forwarder.kill();
                let bad = match what {
                    "run-out" => authority.sign("old.dc1.consul", ip, -day),
                    "other-name" => authority.sign("other.dc1.consul", ip, day),
                    _ => stranger.sign("server2.dc1.consul", ip, day),
                };
                site.consul.use_tls(&bad, None);
                let forwarder = site.start();
                let line = forwarder.wait_for_log("without a valid response", PATIENCE).expect("told");
                assert!(line.contains(why) && line.contains("age_s="), "{line}");
                assert_eq!(site.delivers(&forwarder, "b").endpoint, first);
                site.consul.use_tls(&good, None);
                let second = site.register("w2");
                site.consul.deregister("n1", "w1");
                until("the change", || {
                    site.delivers(&forwarder, &format!("c{}", site.partner.calls().len())).endpoint == second
                });
            });
        }
    });
}

// Guards against a kill that forgets what Consul had said of an endpoint: Consul is gone when the forwarder comes back.
#[test]
fn changed_endpoint_stays_out_after_a_kill() {
    let changes =
        ["draining", "critical", "draining and critical", "maintenance", "moved", "gone", "flapped"];
    std::thread::scope(|scope| {
        for (number, what) in changes.into_iter().enumerate() {
            scope.spawn(move || {
                let site = Site::new(&format!("consul-kill-{number}"));
                let out = site.register("w1");
                site.register("w2");
                let forwarder = site.start();
                site.delivers(&forwarder, "a");
                let index = match what {
                    "draining" => site.consul.set_tag("n1", "w1", "draining", true),
                    "critical" => site.consul.set_status("n1", "w1", "critical"),
                    "draining and critical" => {
                        site.consul.set_tag("n1", "w1", "draining", true);
                        site.consul.set_status("n1", "w1", "critical")
                    }
                    "maintenance" => site.consul.set_maintenance("n1", "w1", true),
                    "moved" => {
                        site.consul.register(Instance::new("web", "n1", "w1", site.partner.open_endpoint()))
                    }
                    "gone" => site.consul.deregister("n1", "w1"),
                    _ => {
                        (0..50).for_each(|turn| {
                            site.consul.set_status(
                                "n1",
                                "w1",
                                if turn % 2 == 0 { "critical" } else { "passing" },
                            );
                            std::thread::sleep(Duration::from_millis(1));
                        });
                        site.consul.set_status("n1", "w1", "critical")
                    }
                };
                until("the change", || site.consul.first_answered_at("web", index).is_some());
                std::thread::sleep(Duration::from_millis(250));
                forwarder.kill();
                site.consul.set_fault(ConsulFault::Down);
                let forwarder = site.start();
                for number in 0..20 {
                    assert_ne!(site.delivers(&forwarder, &format!("m{number}")).endpoint, out, "{what}");
                }
            });
        }
    });
}

// Guards against a connection, or a wait, that goes over to whoever has the address next.
#[test]
fn new_instance_at_an_old_address_inherits_no_connection_and_no_faults() {
    let site = Site::new("consul-heir");
    let address = site.register("w1");
    let forwarder = site.start();
    let before = site.delivers(&forwarder, "a").peer;
    assert_eq!(site.delivers(&forwarder, "b").peer, before, "a connection is kept");
    for trouble in [false, true] {
        let (old, new) = if trouble { ("w2", "w3") } else { ("w1", "w2") };
        let before = site.delivers(&forwarder, &format!("c-{new}")).peer;
        if trouble {
            site.partner.set_mode(Mode::InternalError);
            (0..6).for_each(|number| {
                assert_eq!(forwarder.submit_message("status", &format!("f{number}"), 3), 202)
            });
            until("failures", || {
                site.partner.calls().iter().filter(|c| c.message_id.starts_with('f')).count() >= 4
            });
            site.partner.set_mode(Mode::Serve);
        }
        site.consul.deregister("n1", old);
        let index = site.consul.register(Instance::new("web", "n1", new, address));
        until("the change", || site.consul.first_answered_at("web", index).is_some());
        std::thread::sleep(Duration::from_millis(250));
        let call = site.delivers(&forwarder, &format!("d-{new}"));
        assert!(call.peer != before && call.endpoint == address, "{call:?}");
        assert_eq!(site.calls(&format!("d-{new}")).len(), 1, "the first call is served");
    }
}

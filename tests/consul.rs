//! Tests of the program with Consul as the source of its endpoint list, over real sockets with a fake Consul, including
//! kills and reloads.

use orchidyoke_fakes::TemporaryFolder;
use orchidyoke_fakes::certificates::CertificateAuthority;
use orchidyoke_fakes::consul::{ConsulFault, Instance};
use orchidyoke_fakes::destination::{Call, CapacityModel, Mode, OverloadBehavior};
use orchidyoke_fakes::forwarder::{ForwarderConfig, endpoint_entry, submit_message};
use orchidyoke_fakes::{ConsulServer, DestinationServer, DiscoveryServer, ForwarderProcess};
use orchidyoke_forwarder::connection_pool::REUSE_DELAY_US;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Command, Output};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

const TIMEOUT: Duration = Duration::from_secs(20);
/// Longer than a connection to an endpoint rests after a response before it is used again.
const REST: Duration = Duration::from_micros(REUSE_DELAY_US as u64 + 100_000);
const PROGRAM: &str = env!("CARGO_BIN_EXE_orchidyoke");

fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "timed out waiting for {what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

fn script(consul: SocketAddr) -> String {
    format!(
        "consul(\n    addresses = [\"{consul}\"],\n    networks = [\"127.0.0.0/8\"],\n    wait = \"5s\",\n    \
         services = [service(name = \"web\", destination = 3, kind = \"one\", zone = \"a\", capacity = 100.0)],\n)\n"
    )
}

/// A fake Consul, a fake discovery and a fake destination, and a folder with a configuration that names them.
struct Site {
    folder: TemporaryFolder,
    discovery: DiscoveryServer,
    consul: ConsulServer,
    destination: DestinationServer,
}

impl Site {
    fn new(name: &str) -> Self {
        let consul = ConsulServer::start();
        let discovery = DiscoveryServer::start("");
        let folder = TemporaryFolder::new(name);
        folder.write("config.json", &ForwarderConfig::new(discovery.address()).text());
        folder.write("edge.star", &script(consul.address()));
        Site { folder, discovery, consul, destination: DestinationServer::new(CapacityModel::default()) }
    }

    /// Starts a forwarder that takes its endpoints from discovery. Returns an endpoint listed by discovery, one
    /// registered in Consul, and the forwarder.
    fn start_with_both_sources(&self) -> (SocketAddr, SocketAddr, ForwarderProcess) {
        let listed = self.destination.open_endpoint();
        let list = serde_json::json!({"rev": 9, "all": true, "targets": [endpoint_entry("s1", listed, 3)]})
            .to_string();
        self.discovery.publish(&list);
        let from_consul = self.register("w1");
        self.folder.write("edge.star", "# nothing yet\n");
        let forwarder = self.start();
        assert_eq!(self.deliver(&forwarder, "first").endpoint, listed);
        (listed, from_consul, forwarder)
    }

    fn register(&self, id: &str) -> SocketAddr {
        let endpoint = self.destination.open_endpoint();
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

    /// Returns the calls with this message so far.
    fn calls(&self, txn: &str) -> Vec<Call> {
        self.destination.calls().into_iter().filter(|call| call.message_id == txn).collect()
    }

    /// Submits a message once its destination is known, and waits until a call with it was served. Returns its first
    /// call.
    fn deliver(&self, forwarder: &ForwarderProcess, txn: &str) -> Call {
        wait_until("the destination to be known", || forwarder.submit_message("status", txn, 3) == 202);
        wait_until(txn, || self.calls(txn).iter().any(|call| call.served));
        self.calls(txn)[0].clone()
    }
}

// Guards against Consul being configured as the source but not used.
#[test]
fn messages_follow_the_endpoints_of_consul() {
    let site = Site::new("consul-serve");
    let first = site.register("w1");
    let forwarder = site.start();
    assert_eq!(site.deliver(&forwarder, "a").endpoint, first);
    let second = site.register("w2");
    let index = site.consul.set_tag("n1", "w1", "draining", true);
    wait_until("Consul's answer with the change", || site.consul.first_answered_at("web", index).is_some());
    std::thread::sleep(Duration::from_millis(250));
    for number in 0..20 {
        let txn = format!("m{number}");
        assert_eq!(site.deliver(&forwarder, &txn).endpoint, second);
    }
    assert_eq!(forwarder.submit_message("status", "x", 4), 422, "no service has this destination");
    assert_eq!(site.discovery.watch_count(), 0, "discovery is not watched while Consul is the source");
}

// Guards against connections to an endpoint outside the allowed networks.
#[test]
fn endpoint_outside_the_networks_is_never_dialled() {
    let site = Site::new("consul-outside");
    let outside = "192.0.2.1:9".parse().expect("valid address");
    site.consul.register(Instance::new("web", "n9", "out", outside));
    site.register("w1");
    let forwarder = site.start();
    site.deliver(&forwarder, "a");
    let line = forwarder.wait_for_log("n9/out", TIMEOUT).expect("log line");
    assert!(line.contains("outside the networks"), "{line}");
    for number in 0..30 {
        site.deliver(&forwarder, &format!("m{number}"));
    }
    let log: Vec<String> = forwarder.log.try_iter().collect();
    assert!(log.iter().all(|line| !line.contains("192.0.2.1")), "{log:?}");
}

// Guards against an endpoint list lost by a restart while Consul is down, and against a message lost or repeated after
// a kill.
#[test]
fn endpoint_list_survives_a_kill_during_a_consul_outage() {
    let site = Site::new("consul-kill");
    site.register("w1");
    let first = site.start();
    site.deliver(&first, "a");
    site.consul.set_fault(ConsulFault::Down);
    first.wait_for_log("without a valid response", TIMEOUT).expect("log line");
    site.deliver(&first, "b");
    site.destination.set_mode(Mode::Hang);
    assert_eq!(first.submit_message("orders", "order", 3), 202);
    wait_until("the call", || !site.calls("order").is_empty());
    first.kill();
    site.destination.set_mode(Mode::Serve);
    let second = site.start();
    site.deliver(&second, "c");
    wait_until("the notification of the order", || site.discovery.notifications().contains_key("order"));
    assert_eq!(
        (site.discovery.notifications()["order"].as_slice(), site.calls("order").len()),
        (&["failed".to_owned()][..], 1)
    );
    second.wait_for_log("without a valid response", TIMEOUT).expect("log line");
    site.consul.set_fault(ConsulFault::None);
    second.wait_for_log("have recovered", TIMEOUT).expect("log line");
    let next = site.register("w2");
    site.consul.deregister("n1", "w1");
    wait_until("a call at the new endpoint", || {
        site.deliver(&second, &format!("d{}", site.destination.calls().len())).endpoint == next
    });
}

// Guards against messages lost or repeated when the source changes under load, and against a script applied partly.
#[test]
fn reload_switches_between_discovery_and_consul_under_load() {
    let site = Site::new("consul-reload");
    let (listed, from_consul, forwarder) = site.start_with_both_sources();
    let mut sent = 0;
    let mut load = |site: &Site, count: usize| {
        for _ in 0..count {
            sent += 1;
            assert_eq!(forwarder.submit_message("orders", &format!("o{sent}"), 3), 202);
        }
        wait_until("a served call of the last message", || {
            site.calls(&format!("o{sent}")).iter().any(|call| call.served)
        });
        site.calls(&format!("o{sent}"))[0].endpoint
    };
    for bad in ["consul(adresses = [])", "consul(", "def f():\n    return f()\nf()"] {
        site.folder.write("edge.star", bad);
        forwarder.signal("HUP");
        let line = forwarder.wait_for_log("the old one stays in use", TIMEOUT).expect("log line");
        assert!(line.contains("edge.star"), "{line}");
        assert_eq!(load(&site, 5), listed);
    }
    site.folder.write("edge.star", &script(site.consul.address()));
    forwarder.signal("HUP");
    wait_until("a call at Consul's endpoint", || load(&site, 5) == from_consul);
    site.folder.write("edge.star", "# nothing any more\n");
    forwarder.signal("HUP");
    wait_until("a call at discovery's endpoint", || load(&site, 5) == listed);
    wait_until("a served call of each message", || {
        (1..=sent).all(|n| site.calls(&format!("o{n}")).iter().any(|call| call.served))
    });
    assert!((1..=sent).all(|number| site.calls(&format!("o{number}")).len() == 1), "no message is repeated");
    assert!(
        site.discovery.notifications().is_empty(),
        "no message is lost: {:?}",
        site.discovery.notifications()
    );
}

// Guards against a lost message, and against a repeated message that may already have been processed, when the source
// changes while hundreds of messages are in flight. Four clients submit as fast as they are answered, while the source
// changes six times and the endpoints of both sources stay up.
#[test]
fn repeated_source_switches_under_full_load_lose_and_repeat_nothing() {
    let site = Site::new("consul-swap");
    let (listed, from_consul, forwarder) = site.start_with_both_sources();
    let empty_script = "# nothing\n".to_owned();
    let consul_script = script(site.consul.address());
    let stop = AtomicBool::new(false);
    let address = forwarder.address;
    let accepted: Vec<String> = std::thread::scope(|scope| {
        let client = |number: usize| {
            let stop = &stop;
            scope.spawn(move || {
                let mut accepted = Vec::new();
                while !stop.load(Ordering::Relaxed) {
                    let txn = format!("t{number}-{}", accepted.len());
                    assert_eq!(submit_message(address, "orders", &txn, 3), 202, "{txn}");
                    accepted.push(txn);
                }
                accepted
            })
        };
        let clients: Vec<_> = (0..4).map(client).collect();
        for (text, source) in
            [&consul_script, &empty_script].into_iter().zip([from_consul, listed]).cycle().take(6)
        {
            let before = site.destination.calls().len();
            site.folder.write("edge.star", text);
            forwarder.signal("HUP");
            wait_until("calls at the new source's endpoint", || {
                let calls = site.destination.calls();
                let last = &calls[calls.len().saturating_sub(20)..];
                calls.len() >= before + 100 && last.iter().all(|call| call.endpoint == source)
            });
        }
        stop.store(true, Ordering::Relaxed);
        clients.into_iter().flat_map(|client| client.join().expect("client thread finished")).collect()
    });
    let count = || {
        let mut count: BTreeMap<String, usize> = BTreeMap::new();
        site.destination.calls().into_iter().for_each(|call| *count.entry(call.message_id).or_default() += 1);
        count
    };
    wait_until("a call of each message", || {
        let count = count();
        accepted.iter().all(|txn| count.contains_key(txn))
    });
    let repeated: Vec<_> = count().into_iter().filter(|(_, calls)| *calls > 1).collect();
    assert!(accepted.len() >= 600 && repeated.is_empty(), "of {}: {repeated:?}", accepted.len());
    assert!(
        site.discovery.notifications().is_empty(),
        "no message is lost: {:?}",
        site.discovery.notifications()
    );
}

// Guards against sending all waiting messages at once when maintenance ends. Consul then reports the destination as
// passing, but it is cold. As a control, a forwarder with settings that switch off the recovery ramp does send them all
// and overloads the destination; otherwise the test would prove nothing.
#[test]
fn end_of_maintenance_starts_the_recovery_ramp() {
    std::thread::scope(|scope| {
        for ramp_enabled in [true, false] {
            scope.spawn(move || {
                let mut site = Site::new(&format!("consul-maintenance-{ramp_enabled}"));
                let capacity = 400.0;
                let behavior = OverloadBehavior::Queue;
                site.destination = DestinationServer::new(CapacityModel {
                    capacity_rps: capacity,
                    overload_behavior: behavior,
                    ..CapacityModel::default()
                });
                site.folder.write("edge.star", &script(site.consul.address()).replace("100.0", "400.0"));
                let config =
                    ForwarderConfig { max_in_flight: 512, ..ForwarderConfig::new(site.discovery.address()) };
                let settings_without_ramp = [
                    ("\"fall_multiple\":2", "\"fall_multiple\":1000000"),
                    ("\"cold_from\":0.18", "\"cold_from\":1.0"),
                ];
                let text = settings_without_ramp
                    .iter()
                    .filter(|_| !ramp_enabled)
                    .fold(config.text(), |text, (old, new)| text.replace(old, new));
                site.folder.write("config.json", &text);
                site.register("w1");
                let forwarder = site.start();
                site.deliver(&forwarder, "first");
                let index = site.consul.set_maintenance("n1", "w1", true);
                wait_until("the maintenance", || site.consul.first_answered_at("web", index).is_some());
                std::thread::sleep(Duration::from_millis(250));
                for number in 0..900 {
                    assert_eq!(forwarder.submit_message("status", &format!("m{number}"), 3), 202);
                }
                assert_eq!(site.destination.calls().len(), 1, "nothing is sent during maintenance");
                site.destination.recover();
                site.consul.set_maintenance("n1", "w1", false);
                wait_until("a collapse or 600 served calls", || {
                    let calls = site.destination.calls();
                    !site.destination.collapses().is_empty()
                        || calls.iter().filter(|call| call.served).count() > 600
                });
                assert_eq!(
                    site.destination.collapses().is_empty(),
                    ramp_enabled,
                    "recovery ramp enabled: {ramp_enabled}"
                );
            });
        }
    });
}

// Guards against messages without a final answer when calls succeed while the health check is critical, or when calls
// fail while the health check is passing.
#[test]
fn contradicting_health_checks_and_calls_still_end_each_message() {
    let site = Site::new("consul-contradict");
    site.register("w1");
    let forwarder = site.start();
    site.deliver(&forwarder, "a");
    let index = site.consul.set_status("n1", "w1", "critical");
    wait_until("the critical status", || site.consul.first_answered_at("web", index).is_some());
    site.deliver(&forwarder, "b");
    site.destination.set_mode(Mode::Unavailable);
    site.consul.set_status("n1", "w1", "passing");
    assert_eq!(forwarder.submit_message("status", "c", 3), 202);
    wait_until("the notification of the message", || site.discovery.notifications().contains_key("c"));
    assert_eq!(site.discovery.notifications()["c"], ["returned"]);
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
            .expect("program finished")
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
    for (text, expected_reason) in cases {
        let output = check(&text, &["--config", &config]);
        let error = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(
            !output.status.success() && error.contains(expected_reason) && error.lines().count() == 1,
            "{expected_reason}: {error}"
        );
    }
}

// Guards against a JSON log that programs cannot parse. Each line must be an object with the same message as in the
// text format.
#[test]
fn json_log_lines_are_objects_with_the_same_message() {
    let site = Site::new("consul-log");
    let forwarder = ForwarderProcess::start(Path::new(PROGRAM), &site.folder, &["--log", "json"]);
    site.folder.write("config.json", "{");
    forwarder.signal("HUP");
    let line = forwarder.wait_for_log("the old one stays in use", TIMEOUT).expect("log line");
    let line: serde_json::Value = serde_json::from_str(&line).expect("valid JSON");
    assert!(line["message"].as_str().is_some_and(|text| text.starts_with("configuration: ")), "{line}");
    assert!(line["timestamp"].is_string() && line["level"] == "INFO");
}

// Guards against an endpoint list that becomes empty by a fault of Consul together with a kill, and against changes
// that are not applied after Consul has recovered.
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
                site.deliver(&forwarder, "a");
                site.consul.set_fault(fault.clone());
                forwarder.kill();
                let forwarder = site.start();
                assert_eq!(site.deliver(&forwarder, "b").endpoint, first, "{fault:?}");
                site.consul.set_fault(ConsulFault::None);
                let second = site.register("w2");
                site.consul.deregister("n1", "w1");
                wait_until("a call at the new endpoint", || {
                    site.deliver(&forwarder, &format!("c{}", site.destination.calls().len())).endpoint
                        == second
                });
            });
        }
    });
}

// Guards against accepting an invalid certificate, and against losing the endpoint list because of it. A restarted
// forwarder rejects the certificate, logs the reason in one line, and keeps the list that it had.
#[test]
fn invalid_certificate_is_logged_in_one_line_and_the_list_stays() {
    let cases = [
        ("expired", "has expired"),
        ("other-name", "is not for server.dc1.consul"),
        ("other-authority", "signed by none of the authorities in"),
    ];
    std::thread::scope(|scope| {
        for (what, expected_reason) in cases {
            scope.spawn(move || {
                let site = Site::new(&format!("consul-tls-{what}"));
                let authority = CertificateAuthority::new(site.folder.path(), "dc1");
                let other_authority = CertificateAuthority::new(site.folder.path(), "dc2");
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
                assert_eq!(site.deliver(&forwarder, "a").endpoint, first);
                forwarder.kill();
                let bad = match what {
                    "expired" => authority.sign("old.dc1.consul", ip, -day),
                    "other-name" => authority.sign("other.dc1.consul", ip, day),
                    _ => other_authority.sign("server2.dc1.consul", ip, day),
                };
                site.consul.use_tls(&bad, None);
                let forwarder = site.start();
                let line = forwarder.wait_for_log("without a valid response", TIMEOUT).expect("log line");
                assert!(line.contains(expected_reason) && line.contains("age_s="), "{line}");
                assert_eq!(site.deliver(&forwarder, "b").endpoint, first);
                site.consul.use_tls(&good, None);
                let second = site.register("w2");
                site.consul.deregister("n1", "w1");
                wait_until("a call at the new endpoint", || {
                    site.deliver(&forwarder, &format!("c{}", site.destination.calls().len())).endpoint
                        == second
                });
            });
        }
    });
}

// Guards against an excluded endpoint that gets messages again after a kill, because its state is lost. Consul is down
// when the forwarder restarts.
#[test]
fn changed_endpoint_stays_out_after_a_kill() {
    let changes =
        ["draining", "critical", "draining and critical", "maintenance", "moved", "gone", "flapped"];
    std::thread::scope(|scope| {
        for (number, what) in changes.into_iter().enumerate() {
            scope.spawn(move || {
                let site = Site::new(&format!("consul-kill-{number}"));
                let changed_endpoint = site.register("w1");
                site.register("w2");
                let forwarder = site.start();
                site.deliver(&forwarder, "a");
                let index = match what {
                    "draining" => site.consul.set_tag("n1", "w1", "draining", true),
                    "critical" => site.consul.set_status("n1", "w1", "critical"),
                    "draining and critical" => {
                        site.consul.set_tag("n1", "w1", "draining", true);
                        site.consul.set_status("n1", "w1", "critical")
                    }
                    "maintenance" => site.consul.set_maintenance("n1", "w1", true),
                    "moved" => site.consul.register(Instance::new(
                        "web",
                        "n1",
                        "w1",
                        site.destination.open_endpoint(),
                    )),
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
                wait_until("Consul's answer with the change", || {
                    site.consul.first_answered_at("web", index).is_some()
                });
                std::thread::sleep(Duration::from_millis(250));
                forwarder.kill();
                site.consul.set_fault(ConsulFault::Down);
                let forwarder = site.start();
                for number in 0..20 {
                    assert_ne!(
                        site.deliver(&forwarder, &format!("m{number}")).endpoint,
                        changed_endpoint,
                        "{what}"
                    );
                }
            });
        }
    });
}

// Guards against a new instance at an old address that inherits the old instance's connection or backoff.
#[test]
fn new_instance_at_an_old_address_inherits_no_connection_and_no_faults() {
    let site = Site::new("consul-new-instance");
    let address = site.register("w1");
    let forwarder = site.start();
    let before = site.deliver(&forwarder, "a").peer;
    std::thread::sleep(REST);
    assert_eq!(site.deliver(&forwarder, "b").peer, before, "the connection is reused");
    for after_faults in [false, true] {
        let (old, new) = if after_faults { ("w2", "w3") } else { ("w1", "w2") };
        let before = site.deliver(&forwarder, &format!("c-{new}")).peer;
        if after_faults {
            site.destination.set_mode(Mode::InternalError);
            (0..6).for_each(|number| {
                assert_eq!(forwarder.submit_message("status", &format!("f{number}"), 3), 202)
            });
            wait_until("failed calls", || {
                site.destination.calls().iter().filter(|call| call.message_id.starts_with('f')).count() >= 4
            });
            site.destination.set_mode(Mode::Serve);
        }
        site.consul.deregister("n1", old);
        let index = site.consul.register(Instance::new("web", "n1", new, address));
        wait_until("Consul's answer with the change", || {
            site.consul.first_answered_at("web", index).is_some()
        });
        // The old instance's connection would be used again now.
        std::thread::sleep(REST);
        let call = site.deliver(&forwarder, &format!("d-{new}"));
        assert!(call.peer != before && call.endpoint == address, "{call:?}");
        assert_eq!(site.calls(&format!("d-{new}")).len(), 1, "the first call is served");
    }
}

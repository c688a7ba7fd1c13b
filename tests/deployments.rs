//! Tests of the program in a second kind of deployment. It has no tenants, a class with idempotency keys whose retries
//! are deduplicated per zone, separate routes, and six attempts. The tests kill, upgrade and shut down real processes.
//! The destinations are fakes that keep all calls.

use orchidyoke_fakes::TemporaryFolder;
use orchidyoke_fakes::destination::{Call, CapacityModel, DestinationServer, Mode};
use orchidyoke_fakes::discovery::DiscoveryServer;
use orchidyoke_fakes::forwarder::{ForwarderConfig, ForwarderProcess, endpoint_entry};
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

const TIMEOUT: Duration = Duration::from_secs(30);

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_orchidyoke"))
}

fn wait_until(what: &str, done: impl Fn() -> bool) {
    let deadline = Instant::now() + TIMEOUT;
    while !done() {
        assert!(Instant::now() < deadline, "timed out waiting until {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// Two zones with one endpoint of destination 1 each, a fake discovery, and a folder with the configuration.
struct Deployment {
    folder: TemporaryFolder,
    discovery: DiscoveryServer,
    /// For each zone a fake destination and its only endpoint.
    zones: [(DestinationServer, SocketAddr); 2],
}

impl Deployment {
    /// Sets up a deployment in which retries are deduplicated for as long as `window`.
    fn new(name: &str, window: Duration) -> Self {
        let discovery = DiscoveryServer::start("");
        let zones = [(); 2].map(|()| {
            let destination = DestinationServer::new(CapacityModel::default());
            let endpoint = destination.open_endpoint();
            (destination, endpoint)
        });
        let folder = TemporaryFolder::new(name);
        let deployment = Deployment { folder, discovery, zones };
        let targets = deployment.targets(["a", "b"]);
        let config = ForwarderConfig {
            endpoints: targets,
            fleet_size: 2,
            ..ForwarderConfig::new(deployment.discovery.address())
        };
        let mut text: Value = serde_json::from_str(&config.text()).expect("valid JSON");
        let settings = &mut text["settings"];
        let class = |name: &str, effect: &str| {
            json!({"name": name, "effect": effect, "group": "zone", "window_us": window.as_micros() as u64,
                "on_time_us": 2_000_000, "hard_limit_us": 20_000_000, "credit": 1, "late_share": 0.5})
        };
        settings["classes"] = json!([class("bread", "dedup"), class("state", "retryable")]);
        settings["tenants"] = json!([]);
        settings["weights"] = json!("silent");
        settings["family_info"]["own_limits"] = json!([true, false]);
        settings["limits"]["try_limit"] = json!(6);
        settings["limits"]["second_copies"] = json!(true);
        settings["rules"]["drain_grace_us"] = json!(1_000_000);
        deployment.folder.write("config.json", &text.to_string());
        deployment
    }

    fn targets(&self, zones: [&str; 2]) -> Vec<Value> {
        let listed = self.zones.iter().zip(["s-a", "s-b"]).zip(zones);
        let listed = listed.map(|(((_, endpoint), uid), zone)| {
            let mut target = endpoint_entry(uid, *endpoint, 1);
            target["az"] = json!(zone);
            target
        });
        listed.collect()
    }

    fn start(&self) -> ForwarderProcess {
        ForwarderProcess::start(program(), &self.folder, &[])
    }

    fn calls(&self, zone: usize, txn: &str) -> Vec<Call> {
        self.zones[zone].0.calls().into_iter().filter(|call| call.message_id == txn).collect()
    }

    /// Waits until a zone has been called with this message, and returns the zone's index.
    fn called_zone(&self, txn: &str) -> usize {
        wait_until("a zone is called", || (0..2).any(|zone| !self.calls(zone, txn).is_empty()));
        usize::from(self.calls(0, txn).is_empty())
    }

    fn set_mode(&self, mode: Mode) {
        self.zones.iter().for_each(|(destination, _)| destination.set_mode(mode));
    }
}

/// Sends one request line to a console and returns the reply. Returns `None` if the console does not answer.
fn ask_console(console: SocketAddr, line: &str) -> Option<String> {
    let mut stream = TcpStream::connect(console).ok()?;
    stream.set_read_timeout(Some(TIMEOUT)).ok()?;
    stream.write_all(format!("{line}\n").as_bytes()).ok()?;
    let mut reply = String::new();
    stream.read_to_string(&mut reply).ok()?;
    Some(reply)
}

/// Submits a message as a client of a deployment without tenants does, and returns the status.
fn submit(forwarder: &ForwarderProcess, class: &str, txn: &str, keys: &[&str]) -> u16 {
    let mut stream = TcpStream::connect(forwarder.address).expect("connected");
    stream.set_read_timeout(Some(TIMEOUT)).expect("read timeout set");
    let keys: String = keys.iter().map(|key| format!("Idempotency-Key: {key}\r\n")).collect();
    let head = format!("POST /{class} HTTP/1.1\r\nHost: x\r\nX-Txn: {txn}\r\nX-Remaining: 12\r\n{keys}");
    let request = head + "X-Consignee: dest=1\r\nConnection: close\r\nContent-Length: 1\r\n\r\nx";
    stream.write_all(request.as_bytes()).expect("bytes sent");
    let mut text = String::new();
    stream.read_to_string(&mut text).expect("answer read");
    text.split(' ').nth(1).and_then(|status| status.parse().ok()).expect("status in the answer")
}

// Guards against a deployment without tenants that accepts no message, and against an idempotency key that is lost,
// changed or made up by the forwarder.
#[test]
fn messages_without_tenant_are_forwarded_with_their_idempotency_key() {
    let deployment = Deployment::new("second-keys", Duration::from_secs(10));
    let forwarder = deployment.start();
    let key = "\"5c0F, e;1a=2\"";
    assert_eq!(submit(&forwarder, "bread", "with", &[key]), 202);
    assert_eq!(submit(&forwarder, "bread", "without", &[]), 400);
    assert_eq!(submit(&forwarder, "bread", "two", &["a", "b"]), 400);
    assert_eq!(submit(&forwarder, "state", "safe", &[]), 202);
    let zone = deployment.called_zone("with");
    assert_eq!(deployment.calls(zone, "with")[0].idempotency_key.as_deref(), Some(key));
    let zone = deployment.called_zone("safe");
    assert_eq!(deployment.calls(zone, "safe")[0].idempotency_key, None);
    assert!((0..2).all(|zone| deployment.calls(zone, "without").is_empty()));
    assert!((0..2).all(|zone| deployment.calls(zone, "two").is_empty()));
}

// Guards against a key, or the zone of the attempt in flight, that is lost by SIGKILL. The retry must go to the same
// zone with the same key. Only an idempotent message may go to any zone.
#[test]
fn retry_after_a_kill_goes_to_the_same_zone_with_the_same_key() {
    let deployment = Deployment::new("second-kill", Duration::from_secs(10));
    deployment.set_mode(Mode::Hang);
    let first = deployment.start();
    assert_eq!(submit(&first, "bread", "loaf", &["k-1"]), 202);
    let zone = deployment.called_zone("loaf");
    first.kill();
    deployment.set_mode(Mode::Serve);
    let second = deployment.start();
    wait_until("the message is delivered", || deployment.calls(zone, "loaf").iter().any(|call| call.served));
    let calls = deployment.calls(zone, "loaf");
    assert!(
        calls.len() >= 2 && calls.iter().all(|call| call.idempotency_key.as_deref() == Some("k-1")),
        "{calls:?}"
    );
    assert!(deployment.calls(1 - zone, "loaf").is_empty(), "the other zone does not deduplicate the retry");
    assert!(deployment.discovery.notifications().is_empty());
    second.kill();
}

// Guards against a lost key of a message that was accepted but never attempted. After SIGKILL the message is forwarded
// to any zone with its key.
#[test]
fn key_survives_a_kill_before_the_first_attempt() {
    let deployment = Deployment::new("second-before", Duration::from_secs(10));
    // The connection is refused, so nothing is delivered and the message waits.
    deployment.set_mode(Mode::Unavailable);
    let first = deployment.start();
    assert_eq!(submit(&first, "bread", "loaf", &["k-2"]), 202);
    first.kill();
    deployment.set_mode(Mode::Serve);
    let second = deployment.start();
    let served = |zone: usize| deployment.calls(zone, "loaf").into_iter().find(|call| call.served);
    wait_until("the message is delivered", || (0..2).any(|zone| served(zone).is_some()));
    let call = (0..2).find_map(served).expect("served call");
    assert_eq!(call.idempotency_key.as_deref(), Some("k-2"));
    second.kill();
}

// Guards against a retry that no endpoint deduplicates. Either the endpoint of the attempt in flight has moved to the
// other zone under its old name while the process was down, or the deduplication window has ended. Then no endpoint may
// get the message again, and it fails.
#[test]
fn possible_delivery_fails_when_no_endpoint_deduplicates_its_retry() {
    for (name, window, endpoint_moves) in [
        ("second-moved", Duration::from_secs(10), true),
        ("second-window", Duration::from_millis(1500), false),
    ] {
        let deployment = Deployment::new(name, window);
        deployment.set_mode(Mode::Hang);
        let first = deployment.start();
        assert_eq!(submit(&first, "bread", "loaf", &["k-3"]), 202);
        let zone = deployment.called_zone("loaf");
        let sent_at = Instant::now();
        first.kill();
        deployment.set_mode(Mode::Serve);
        if endpoint_moves {
            // Both endpoints are now in the zone that has not been called.
            let zone = ["b", "a"][zone];
            let update = json!({"rev": 2, "all": true, "targets": deployment.targets([zone, zone])});
            deployment.discovery.publish(&update.to_string());
            let mut text: Value = serde_json::from_str(
                &std::fs::read_to_string(deployment.folder.path().join("config.json")).expect("file read"),
            )
            .expect("valid JSON");
            text["known"] = update;
            deployment.folder.write("config.json", &text.to_string());
        } else {
            thread::sleep((window + Duration::from_millis(100)).saturating_sub(sent_at.elapsed()));
        }
        let second = deployment.start();
        // Another message is delivered, so the forwarder works.
        assert_eq!(submit(&second, "bread", "next", &["k-4"]), 202);
        wait_until("the next message is delivered", || {
            (0..2).any(|zone| deployment.calls(zone, "next").iter().any(|call| call.served))
        });
        wait_until("the message has failed", || deployment.discovery.notifications().contains_key("loaf"));
        assert_eq!(deployment.discovery.notifications()["loaf"], ["failed"], "{name}");
        let calls: usize = (0..2).map(|zone| deployment.calls(zone, "loaf").len()).sum();
        assert_eq!(calls, 1, "{name}: the message is sent only once");
        second.kill();
    }
}

// Guards against a key, or the zone of an attempt, that is lost between two processes. A waiting message is handed over
// with its key. A message in flight when the predecessor ends is retried by the successor only in the zone of that
// attempt.
#[test]
fn upgrade_hands_over_key_and_zone() {
    let deployment = Deployment::new("second-upgrade", Duration::from_secs(15));
    let listener = TcpListener::bind("127.0.0.1:0").expect("listener bound");
    let (predecessor, _) = ForwarderProcess::start_with_listener(program(), &deployment.folder, &listener);
    deployment.set_mode(Mode::Hang);
    assert_eq!(submit(&predecessor, "bread", "out", &["k-out"]), 202);
    let zone = deployment.called_zone("out");
    deployment.set_mode(Mode::Unavailable);
    assert_eq!(submit(&predecessor, "bread", "waiting", &["k-waiting"]), 202);
    deployment.called_zone("waiting");
    let (successor, console) =
        ForwarderProcess::start_with_listener(program(), &deployment.folder, &listener);
    wait_until("the successor is ready", || {
        ask_console(console, "ready").is_some_and(|reply| reply.starts_with("200"))
    });
    predecessor.signal("TERM");
    assert!(
        successor.wait_for_log("took over another process's messages", TIMEOUT).is_some(),
        "the waiting message is handed over"
    );
    deployment.set_mode(Mode::Serve);
    let served = |zone: usize, txn: &str| deployment.calls(zone, txn).iter().any(|call| call.served);
    wait_until("the waiting message is delivered", || (0..2).any(|zone| served(zone, "waiting")));
    wait_until("the message in flight is delivered", || served(zone, "out"));
    assert!(deployment.calls(1 - zone, "out").is_empty(), "the other zone does not deduplicate the retry");
    for txn in ["out", "waiting"] {
        let mut calls = (0..2).flat_map(|zone| deployment.calls(zone, txn));
        assert!(calls.all(|call| call.idempotency_key == Some(format!("k-{txn}"))), "{txn}");
    }
    assert!(predecessor.wait().success());
    assert!(deployment.discovery.notifications().is_empty());
    successor.kill();
}

// Guards against connections that stay open after SIGTERM but are no longer served. A client on a persistent connection
// continues to submit, and each request is answered until the connection is closed.
#[test]
fn persistent_connections_are_served_until_the_shutdown_ends() {
    let deployment = Deployment::new("second-term", Duration::from_secs(10));
    let forwarder = deployment.start();
    let mut stream = TcpStream::connect(forwarder.address).expect("connected");
    stream.set_read_timeout(Some(TIMEOUT)).expect("read timeout set");
    let mut answered = 0;
    let mut terminated_at = None;
    for number in 0.. {
        let head = format!("POST /bread HTTP/1.1\r\nHost: x\r\nX-Txn: t{number}\r\nX-Remaining: 12\r\n");
        let request =
            format!("{head}Idempotency-Key: k{number}\r\nX-Consignee: dest=1\r\nContent-Length: 0\r\n\r\n");
        if stream.write_all(request.as_bytes()).is_err() {
            break;
        }
        let mut answer = [0; 4096];
        let Ok(read @ 1..) = stream.read(&mut answer) else { break };
        let text = String::from_utf8_lossy(&answer[..read]).to_lowercase();
        assert!(text.starts_with("http/1.1 202") || text.starts_with("http/1.1 503"), "{text}");
        answered += 1;
        if number == 5 {
            forwarder.signal("TERM");
            terminated_at = Some(Instant::now());
        }
        if text.contains("connection: close") {
            break;
        }
        thread::sleep(Duration::from_millis(20));
    }
    let shutdown_time = terminated_at.expect("SIGTERM was sent").elapsed();
    assert!(
        answered > 20 && shutdown_time < Duration::from_millis(3700),
        "{answered} answers, closed after {shutdown_time:?}"
    );
    assert!(forwarder.wait().success());
}

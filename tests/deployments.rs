//! The program on a deployment of a second shape: no tenants, a keyed class whose repeats are dropped by building, routes
//! apart, six attempts. Real processes, killed, replaced and told to end; partners are stand-ins that keep all calls.

use orchidyoke_fakes::forwarder::{Folder, Forwarder, Setup, target};
use orchidyoke_fakes::partner::{Bearing, Call, Mode, Partner};
use orchidyoke_fakes::platform::Platform;
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

const PATIENCE: Duration = Duration::from_secs(30);

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_orchidyoke"))
}

fn wait(what: &str, done: impl Fn() -> bool) {
    let until = Instant::now() + PATIENCE;
    while !done() {
        assert!(Instant::now() < until, "it did not come about that {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// Two buildings with an endpoint of destination 1 each, the platform, and a folder with the configuration.
struct Deployment {
    folder: Folder,
    platform: Platform,
    /// One partner in each building, with one endpoint.
    buildings: [(Partner, SocketAddr); 2],
}

impl Deployment {
    /// Repeats are dropped for so long.
    fn new(name: &str, window: Duration) -> Self {
        let platform = Platform::start("");
        let buildings = [(); 2].map(|()| {
            let partner = Partner::new(Bearing::default());
            let endpoint = partner.endpoint();
            (partner, endpoint)
        });
        let folder = Folder::new(name);
        let deployment = Deployment { folder, platform, buildings };
        let targets = deployment.targets(["a", "b"]);
        let setup = Setup { targets, fleet: 2, ..Setup::new(deployment.platform.address()) };
        let mut text: Value = serde_json::from_str(&setup.text()).expect("JSON");
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
        let listed = self.buildings.iter().zip(["s-a", "s-b"]).zip(zones);
        let listed = listed.map(|(((_, endpoint), uid), zone)| {
            let mut target = target(uid, *endpoint, 1);
            target["az"] = json!(zone);
            target
        });
        listed.collect()
    }

    fn start(&self) -> Forwarder {
        Forwarder::start(program(), &self.folder, &[])
    }

    fn calls(&self, building: usize, txn: &str) -> Vec<Call> {
        self.buildings[building].0.calls().into_iter().filter(|call| call.txn == txn).collect()
    }

    /// The building that has been called with a message.
    fn called(&self, txn: &str) -> usize {
        wait("a building is called", || (0..2).any(|building| !self.calls(building, txn).is_empty()));
        usize::from(self.calls(0, txn).is_empty())
    }

    fn set(&self, mode: Mode) {
        self.buildings.iter().for_each(|(partner, _)| partner.set(mode));
    }
}

/// Makes one call at a console.
fn ask(console: SocketAddr, call: &str) -> Option<String> {
    let mut stream = TcpStream::connect(console).ok()?;
    stream.set_read_timeout(Some(PATIENCE)).ok()?;
    stream.write_all(format!("{call}\n").as_bytes()).ok()?;
    let mut reply = String::new();
    stream.read_to_string(&mut reply).ok()?;
    Some(reply)
}

/// Hands a message in as a client of a deployment without tenants does; the status.
fn hand_in(forwarder: &Forwarder, class: &str, txn: &str, keys: &[&str]) -> u16 {
    let mut stream = TcpStream::connect(forwarder.address).expect("it takes connections");
    stream.set_read_timeout(Some(PATIENCE)).expect("a socket");
    let keys: String = keys.iter().map(|key| format!("Idempotency-Key: {key}\r\n")).collect();
    let head = format!("POST /{class} HTTP/1.1\r\nHost: x\r\nX-Txn: {txn}\r\nX-Remaining: 12\r\n{keys}");
    let request = head + "X-Consignee: dest=1\r\nConnection: close\r\nContent-Length: 1\r\n\r\nx";
    stream.write_all(request.as_bytes()).expect("written");
    let mut text = String::new();
    stream.read_to_string(&mut text).expect("answered");
    text.split(' ').nth(1).and_then(|status| status.parse().ok()).expect("a status")
}

// Guards against a deployment without tenants that takes nothing, and a key that is lost, changed or chosen on its way.
#[test]
fn messages_without_tenant_go_out_with_the_key_that_came() {
    let deployment = Deployment::new("second-keys", Duration::from_secs(10));
    let forwarder = deployment.start();
    let key = "\"5c0F, e;1a=2\"";
    assert_eq!(hand_in(&forwarder, "bread", "with", &[key]), 202);
    assert_eq!(hand_in(&forwarder, "bread", "without", &[]), 400);
    assert_eq!(hand_in(&forwarder, "bread", "two", &["a", "b"]), 400);
    assert_eq!(hand_in(&forwarder, "state", "safe", &[]), 202);
    let building = deployment.called("with");
    assert_eq!(deployment.calls(building, "with")[0].key.as_deref(), Some(key));
    let building = deployment.called("safe");
    assert_eq!(deployment.calls(building, "safe")[0].key, None);
    assert!((0..2).all(|building| deployment.calls(building, "without").is_empty()));
    assert!((0..2).all(|building| deployment.calls(building, "two").is_empty()));
}

// Guards against a key, or the building of the attempt that was out, that SIGKILL forgets: the repeat goes to the same
// building with the same key, while a safe message may go anywhere.
#[test]
fn a_kill_repeats_in_the_same_building_with_the_same_key() {
    let deployment = Deployment::new("second-kill", Duration::from_secs(10));
    deployment.set(Mode::Hang);
    let first = deployment.start();
    assert_eq!(hand_in(&first, "bread", "loaf", &["k-1"]), 202);
    let building = deployment.called("loaf");
    first.kill();
    deployment.set(Mode::Serve);
    let second = deployment.start();
    wait("it is delivered", || deployment.calls(building, "loaf").iter().any(|call| call.served));
    let calls = deployment.calls(building, "loaf");
    assert!(calls.len() >= 2 && calls.iter().all(|call| call.key.as_deref() == Some("k-1")), "{calls:?}");
    assert!(deployment.calls(1 - building, "loaf").is_empty(), "the other building drops no repeat");
    assert!(deployment.platform.notices().is_empty());
    second.kill();
}

// Guards against a message whose record is written and whose first attempt never was: after SIGKILL it goes out with its
// key, wherever it likes.
#[test]
fn a_key_is_kept_from_the_taking_on_to_the_first_attempt() {
    let deployment = Deployment::new("second-before", Duration::from_secs(10));
    // Refused: nothing has run, and the message waits.
    deployment.set(Mode::Shut);
    let first = deployment.start();
    assert_eq!(hand_in(&first, "bread", "loaf", &["k-2"]), 202);
    first.kill();
    deployment.set(Mode::Serve);
    let second = deployment.start();
    let served = |building: usize| deployment.calls(building, "loaf").into_iter().find(|call| call.served);
    wait("it is delivered", || (0..2).any(|building| served(building).is_some()));
    let call = (0..2).find_map(served).expect("delivered");
    assert_eq!(call.key.as_deref(), Some("k-2"));
    second.kill();
}

// Guards against a repeat in a building that does not drop it: the endpoint of the attempt that was out has moved there
// under its name while the process was dead, or the window has ended. Then nobody may have it any more: it is failed.
#[test]
fn what_may_have_run_is_failed_when_no_endpoint_drops_its_repeat() {
    for (name, window, moves) in [
        ("second-moved", Duration::from_secs(10), true),
        ("second-window", Duration::from_millis(1500), false),
    ] {
        let deployment = Deployment::new(name, window);
        deployment.set(Mode::Hang);
        let first = deployment.start();
        assert_eq!(hand_in(&first, "bread", "loaf", &["k-3"]), 202);
        let building = deployment.called("loaf");
        let sent = Instant::now();
        first.kill();
        deployment.set(Mode::Serve);
        if moves {
            // Both are in the building that has not been called.
            let zone = ["b", "a"][building];
            let news = json!({"rev": 2, "all": true, "targets": deployment.targets([zone, zone])});
            deployment.platform.tell(&news.to_string());
            let mut text: Value = serde_json::from_str(
                &std::fs::read_to_string(deployment.folder.path().join("config.json")).expect("there"),
            )
            .expect("JSON");
            text["known"] = news;
            deployment.folder.write("config.json", &text.to_string());
        } else {
            thread::sleep((window + Duration::from_millis(100)).saturating_sub(sent.elapsed()));
        }
        let second = deployment.start();
        // It works: another message is delivered.
        assert_eq!(hand_in(&second, "bread", "next", &["k-4"]), 202);
        wait("the next is delivered", || {
            (0..2).any(|building| deployment.calls(building, "next").iter().any(|call| call.served))
        });
        wait("it is failed", || deployment.platform.notices().contains_key("loaf"));
        assert_eq!(deployment.platform.notices()["loaf"], ["failed"], "{name}");
        let calls: usize = (0..2).map(|building| deployment.calls(building, "loaf").len()).sum();
        assert_eq!(calls, 1, "{name}: sent once, and never again");
        second.kill();
    }
}

// Guards against a key, or the building of an attempt, that is lost between two processes: what waits is handed over with
// its key, and what is out when the elder ends is repeated by the newcomer in its building alone.
#[test]
fn an_upgrade_hands_over_key_and_building() {
    let deployment = Deployment::new("second-upgrade", Duration::from_secs(15));
    let held = TcpListener::bind("127.0.0.1:0").expect("a port");
    let (elder, _) = Forwarder::start_beside(program(), &deployment.folder, &held);
    deployment.set(Mode::Hang);
    assert_eq!(hand_in(&elder, "bread", "out", &["k-out"]), 202);
    let building = deployment.called("out");
    deployment.set(Mode::Shut);
    assert_eq!(hand_in(&elder, "bread", "waiting", &["k-waiting"]), 202);
    deployment.called("waiting");
    let (newcomer, console) = Forwarder::start_beside(program(), &deployment.folder, &held);
    wait("the newcomer is ready", || ask(console, "ready").is_some_and(|reply| reply.starts_with("200")));
    elder.signal("TERM");
    assert!(newcomer.logged("taken over from process", PATIENCE).is_some(), "what waits is handed over");
    deployment.set(Mode::Serve);
    let served = |building: usize, txn: &str| deployment.calls(building, txn).iter().any(|call| call.served);
    wait("what waited is delivered", || (0..2).any(|building| served(building, "waiting")));
    wait("what was out is delivered", || served(building, "out"));
    assert!(deployment.calls(1 - building, "out").is_empty(), "the other building drops no repeat");
    for txn in ["out", "waiting"] {
        let mut calls = (0..2).flat_map(|building| deployment.calls(building, txn));
        assert!(calls.all(|call| call.key == Some(format!("k-{txn}"))), "{txn}");
    }
    assert!(elder.wait().success());
    assert!(deployment.platform.notices().is_empty());
    newcomer.kill();
}

// Guards against connections that stay open after SIGTERM and are served no more: a client that keeps its connection
// goes on handing in, and each is answered up to the end.
#[test]
fn kept_connections_are_served_up_to_the_end() {
    let deployment = Deployment::new("second-term", Duration::from_secs(10));
    let forwarder = deployment.start();
    let mut stream = TcpStream::connect(forwarder.address).expect("it takes connections");
    stream.set_read_timeout(Some(PATIENCE)).expect("a socket");
    let (mut answered, mut ended) = (0, None);
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
            ended = Some(Instant::now());
        }
        if text.contains("connection: close") {
            break;
        }
        thread::sleep(Duration::from_millis(20));
    }
    let span = ended.expect("told to end").elapsed();
    assert!(answered > 20 && span < Duration::from_millis(3700), "{answered} answers, closed after {span:?}");
    assert!(forwarder.wait().success());
}

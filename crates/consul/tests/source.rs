//! The source against the stand-in Consul: what it tells, and what it does not when Consul fails.

use orchidyoke_consul::EndpointSource as Source;
use orchidyoke_consul::settings::{Consistency, Service, Settings, Tls};
use orchidyoke_core::endpoint_list::{EndpointEntry, EndpointList, EndpointState, HealthStatus, WatchEvent};
use orchidyoke_fakes::Consul;
use orchidyoke_fakes::certificates::Authority;
use orchidyoke_fakes::consul::{Fault, Instance};
use orchidyoke_fakes::forwarder::Folder;
use orchidyoke_forwarder::catalogue::Catalogue;
use orchidyoke_forwarder::input::{Input, update_sender};
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, timeout};

const PATIENCE: Duration = Duration::from_secs(20);

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn web_instance(id: &str, port: u16) -> Instance {
    Instance::new("web", "n1", id, address(port))
}

fn settings(consul: &Consul) -> Settings {
    let service = |name: &str, destination| Service {
        name: name.to_owned(),
        destination,
        kind: "one".to_owned(),
        zone: "a".to_owned(),
        capacity: 20.0,
        ..Service::default()
    };
    Settings {
        addresses: vec![consul.address()],
        wait: Duration::from_secs(5),
        services: vec![service("web", 3)],
        networks: vec!["127.0.0.0/8".parse().expect("a network")],
        ..Settings::default()
    }
}

/// The map as the source tells it.
struct Follower {
    list: EndpointList,
    inputs: UnboundedReceiver<Input>,
}

impl Follower {
    fn follow(settings: Settings, map: EndpointList) -> Self {
        let (inputs, news) = unbounded_channel();
        let following = Source::new(settings).follow(map.snapshot(), update_sender(1, inputs));
        spawn_local(following);
        Follower { list: map, inputs: news }
    }

    fn states(&self) -> Vec<(String, EndpointState, HealthStatus)> {
        let name = |target: &EndpointEntry| target.uid.split(['/', '@']).nth(2).unwrap_or("").to_owned();
        self.list.snapshot().endpoints.iter().map(|t| (name(t), t.state, t.health)).collect()
    }

    fn apply(&mut self, input: Input) {
        let Input::WatchEvent { event: news, .. } = input else { panic!("news only") };
        assert!(!news.is_snapshot && news.version > self.list.version());
        self.list.apply(&news);
    }

    /// Waits until the map holds so many endpoints.
    async fn wait_for_count(&mut self, count: usize) {
        while self.list.len() != count {
            let news = timeout(PATIENCE, self.inputs.recv()).await;
            self.apply(
                news.unwrap_or_else(|_| panic!("{count} are due: {:?}", self.states())).expect("followed"),
            );
        }
    }

    /// Waits until an endpoint stands so.
    async fn wait_for_state(&mut self, id: &str, state: EndpointState, checks: HealthStatus) {
        while !self.states().contains(&(id.to_owned(), state, checks)) {
            let news = timeout(PATIENCE, self.inputs.recv()).await;
            self.apply(news.unwrap_or_else(|_| panic!("{id}: {:?}", self.states())).expect("followed"));
        }
    }

    /// Nothing is told in this time.
    async fn assert_no_event(&mut self, span: Duration) {
        let told = timeout(span, self.inputs.recv()).await;
        assert!(told.is_err(), "nothing was to be told: {told:?}");
    }
}

/// Runs a test on one thread, as the forwarder does.
fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime
        .block_on(LocalSet::new().run_until(async { timeout(3 * PATIENCE, test).await.expect("in time") }));
}

/// A Consul with so many instances, `w1` and on at ports from 8001, and what a source that follows it has seen: all.
async fn follow_instances(count: u16) -> (Consul, Follower) {
    let consul = Consul::start();
    for number in 1..=count {
        consul.register(web_instance(&format!("w{number}"), 8000 + number));
    }
    let mut seen = Follower::follow(settings(&consul), EndpointList::default());
    seen.wait_for_count(usize::from(count)).await;
    (consul, seen)
}

/// Until this holds.
async fn wait_until(what: &str, holds: impl Fn() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < end, "{what} has to come");
        sleep(Duration::from_millis(5)).await;
    }
}

#[test]
fn registration_health_tag_and_maintenance_changes_are_followed() {
    run(async {
        let (consul, mut seen) = follow_instances(2).await;
        consul.status("n1", "w1", "critical");
        seen.wait_for_state("w1", EndpointState::Active, HealthStatus::Critical).await;
        consul.tag("n1", "w1", "draining", true);
        seen.wait_for_state("w1", EndpointState::Draining, HealthStatus::Critical).await;
        consul.tag("n1", "w1", "draining", false);
        consul.status("n1", "w1", "warning");
        seen.wait_for_state("w1", EndpointState::Active, HealthStatus::Warning).await;
        consul.maintenance("n1", "w2", true);
        seen.wait_for_state("w2", EndpointState::Draining, HealthStatus::Critical).await;
        consul.maintenance("n1", "w2", false);
        seen.wait_for_state("w2", EndpointState::Active, HealthStatus::Passing).await;
        consul.node_check("n1", "serfHealth", Some("critical"));
        seen.wait_for_state("w1", EndpointState::Active, HealthStatus::Critical).await;
        seen.wait_for_state("w2", EndpointState::Active, HealthStatus::Critical).await;
        consul.node_check("n1", "serfHealth", None);
        consul.deregister("n1", "w1");
        seen.wait_for_count(1).await;
        consul.deregister("n1", "w2");
        seen.wait_for_count(0).await;
    });
}

// Guards against a list emptied because Consul has nothing sensible to say, and against missing what changed meanwhile.
#[test]
fn fault_keeps_the_list_and_recovery_applies_missed_changes() {
    for fault in Fault::that_tell_nothing() {
        run(async {
            let (consul, mut seen) = follow_instances(2).await;
            consul.fault(fault.clone());
            let asked = consul.questions();
            consul.deregister("n1", "w1");
            consul.register(web_instance("w3", 8003));
            seen.assert_no_event(Duration::from_millis(700)).await;
            assert!(
                consul.questions() - asked <= 8,
                "{fault:?}: no busy loop: {}",
                consul.questions() - asked
            );
            assert_eq!(seen.list.len(), 2, "{fault:?}");
            consul.fault(Fault::None);
            seen.wait_for_state("w3", EndpointState::Active, HealthStatus::Passing).await;
            seen.wait_for_count(2).await;
        });
    }
}

// Guards against a list taken from a server that has lost touch with its leader, and against staying with it: the next
// address is asked. Within the limit what it says counts, an empty list too.
#[test]
fn stale_read_counts_only_within_max_stale() {
    for (behind, counts) in [(Duration::from_secs(3), false), (Duration::from_millis(900), true)] {
        run(async {
            let (cut_off, other) = (Consul::start(), Consul::start());
            for consul in [&cut_off, &other] {
                consul.register(web_instance("w1", 8001));
                consul.register(web_instance("w2", 8002));
            }
            let settings = Settings {
                addresses: vec![cut_off.address(), other.address()],
                consistency: Consistency::Stale,
                max_stale: Duration::from_secs(1),
                ..settings(&cut_off)
            };
            let mut seen = Follower::follow(settings, EndpointList::default());
            seen.wait_for_count(2).await;
            cut_off.fault(Fault::Behind(behind));
            if counts {
                seen.wait_for_count(0).await;
                assert_eq!(other.questions(), 0);
            } else {
                wait_until("a question to the other", || other.questions() > 0).await;
                let asked = cut_off.questions();
                other.register(web_instance("w3", 8003));
                seen.wait_for_count(3).await;
                seen.assert_no_event(Duration::from_millis(500)).await;
                assert_eq!(cut_off.questions(), asked, "it stays with the other");
            }
        });
    }
}

// Guards against an age that is minded where the leader answers: there it says nothing.
#[test]
fn last_contact_is_ignored_without_stale_consistency() {
    run(async {
        let (consul, mut seen) = follow_instances(1).await;
        consul.fault(Fault::Behind(Duration::from_secs(3600)));
        seen.wait_for_count(0).await;
    });
}

// Guards against an agent without a leader being asked on and on while another has one.
#[test]
fn agent_without_a_leader_causes_failover() {
    for fault in [Fault::NoLeader { whole: true }, Fault::Status(500, "No cluster leader", None)] {
        run(async {
            let (cut_off, other) = (Consul::start(), Consul::start());
            let addresses = vec![cut_off.address(), other.address()];
            let mut seen =
                Follower::follow(Settings { addresses, ..settings(&cut_off) }, EndpointList::default());
            cut_off.register(web_instance("w1", 8001));
            seen.wait_for_count(1).await;
            cut_off.fault(fault.clone());
            other.register(web_instance("w1", 8001));
            other.register(web_instance("w2", 8002));
            seen.wait_for_count(2).await;
        });
    }
}

// Guards against a silence that is never noticed: the question is given up after its wait and a grace, and asked on
// another connection; what changed in the silence comes then.
#[test]
fn silent_agent_times_out_and_causes_failover() {
    run(async {
        let (silent, other) = (Consul::start(), Consul::start());
        for consul in [&silent, &other] {
            consul.register(web_instance("w1", 8001));
        }
        let wait = Duration::from_secs(1);
        let addresses = vec![silent.address(), other.address()];
        let mut seen =
            Follower::follow(Settings { addresses, wait, ..settings(&silent) }, EndpointList::default());
        seen.wait_for_count(1).await;
        silent.fault(Fault::Silent);
        other.register(web_instance("w2", 8002));
        seen.wait_for_count(2).await;
        assert!(other.questions() > 0);
    });
}

#[test]
fn unusable_index_does_not_stop_updates_or_cause_a_busy_loop() {
    for index in [Some("0"), Some("many"), Some("7"), None] {
        run(async {
            let (consul, mut seen) = follow_instances(1).await;
            consul.fault(Fault::Index(index));
            consul.register(web_instance("w2", 8002));
            // With an index that stands still nothing tells that there is news; with none, all of it is read.
            if index != Some("7") {
                seen.wait_for_count(2).await;
            }
            let asked = consul.questions();
            sleep(Duration::from_secs(1)).await;
            assert!(consul.questions() - asked <= 15, "{index:?}: no busy loop");
            consul.fault(Fault::None);
            consul.register(web_instance("w3", 8003));
            seen.wait_for_count(3).await;
        });
    }
}

#[test]
fn lower_index_restarts_the_query() {
    run(async {
        let (consul, mut seen) = follow_instances(5).await;
        consul.lose_index();
        consul.deregister("n1", "w1");
        seen.wait_for_count(4).await;
        consul.deregister("n1", "w2");
        seen.wait_for_count(3).await;
    });
}

// Guards against an endpoint inherited: by an id that moves, an id on two nodes, an address with a new owner, and an
// agent that takes all out and puts it back within a second.
#[test]
fn new_instance_at_a_known_address_is_a_new_endpoint() {
    run(async {
        let (consul, mut seen) = follow_instances(1).await;
        let uid = |seen: &Follower| seen.list.snapshot().endpoints[0].uid.clone();
        let first = uid(&seen);
        consul.register(web_instance("w1", 8009));
        while uid(&seen) == first {
            let news = seen.inputs.recv().await.expect("told");
            seen.apply(news);
        }
        consul.deregister("n1", "w1");
        consul.register(Instance::new("web", "n2", "w1", address(8009)));
        while !uid(&seen).contains("/n2/") {
            let news = seen.inputs.recv().await.expect("told");
            seen.apply(news);
        }
        consul.register(Instance::new("web", "n1", "w1", address(8009)));
        seen.wait_for_count(2).await;
        let before = seen.list.snapshot().endpoints;
        for (node, back) in [("n1", false), ("n2", false), ("n1", true), ("n2", true)] {
            if back {
                consul.register(Instance::new("web", node, "w1", address(8009)));
            } else {
                consul.deregister(node, "w1");
            }
        }
        consul.register(Instance::new("web", "n3", "w1", address(8010)));
        seen.wait_for_count(3).await;
        assert_eq!(seen.list.snapshot().endpoints[..2], before);
    });
}

#[test]
fn flapping_check_ends_in_its_last_state() {
    run(async {
        let (consul, mut seen) = follow_instances(1).await;
        let asked = consul.questions();
        for turn in 0..200 {
            consul.status("n1", "w1", if turn % 2 == 0 { "critical" } else { "passing" });
            sleep(Duration::from_millis(1)).await;
        }
        consul.status("n1", "w1", "warning");
        seen.wait_for_state("w1", EndpointState::Active, HealthStatus::Warning).await;
        assert!(consul.questions() - asked <= 30, "bounded: {}", consul.questions() - asked);
    });
}

// Guards against a token or certificate that has to wait for a restart, and against an unclear refusal.
#[test]
fn replaced_token_and_certificates_take_effect_without_restart() {
    let folder = Folder::new("consul-tls");
    let authority = Authority::new(folder.path(), "dc1");
    let consul = Consul::start();
    let day = time::Duration::days(1);
    let server = authority.sign("server.dc1.consul", consul.address().ip(), day);
    let client = authority.sign("edge.dc1.consul", consul.address().ip(), day);
    consul.speak_tls(&server, Some(&authority.ca));
    consul.require(Some("first"));
    let tls = Tls {
        ca: authority.ca.clone(),
        cert: Some(client.cert.clone()),
        key: Some(client.key.clone()),
        server_name: Some("server.dc1.consul".to_owned()),
    };
    let token_file = Some(folder.write("token", "first\n"));
    let settings = Settings { tls: Some(tls), token_file, ..settings(&consul) };
    run(async {
        consul.register(web_instance("w1", 8001));
        let mut seen = Follower::follow(settings.clone(), EndpointList::default());
        seen.wait_for_count(1).await;
        consul.require(Some("second"));
        consul.register(web_instance("w2", 8002));
        seen.assert_no_event(Duration::from_millis(300)).await;
        folder.write("token", "second");
        seen.wait_for_count(2).await;
        // Another authority signs for both ends; the old certificates are worth nothing from now on.
        let other = Authority::new(folder.path(), "dc1");
        let server = other.sign("server.dc1.consul", consul.address().ip(), day);
        other.sign("edge.dc1.consul", consul.address().ip(), day);
        consul.speak_tls(&server, Some(&other.ca));
        let (open, _) = consul.connections();
        consul.register(web_instance("w3", 8003));
        seen.wait_for_count(3).await;
        wait_until("the connection under the old certificates closes", || consul.connections().0 <= open)
            .await;
    });
}

#[test]
fn untrusted_certificate_is_rejected_with_one_line() {
    let folder = Folder::new("consul-bad-tls");
    let (authority, stranger) = (Authority::new(folder.path(), "dc1"), Authority::new(folder.path(), "dc2"));
    let consul = Consul::start();
    let ip = consul.address().ip();
    let good = authority.sign("server.dc1.consul", ip, time::Duration::days(1));
    let old = authority.sign("old.dc1.consul", ip, -time::Duration::days(1));
    let cases = [
        (&good, &authority, Some("server.dc1.consul"), None),
        (&good, &authority, None, None),
        (&good, &authority, Some("other.dc1.consul"), Some("is not for other.dc1.consul")),
        (&good, &stranger, None, Some("signed by none of the authorities in")),
        (&old, &authority, None, Some("has expired")),
    ];
    for (pair, ca, name, why) in cases {
        consul.speak_tls(pair, None);
        let tls = Tls { ca: ca.ca.clone(), server_name: name.map(str::to_owned), ..Tls::default() };
        let settings = Settings { tls: Some(tls), ..settings(&consul) };
        run(async {
            let client = orchidyoke_consul::client::Client::new(settings.into());
            match (client.connect().await, why) {
                (Ok(_), None) => {}
                (Err(error), Some(why)) => {
                    let line = error.to_string();
                    assert!(line.contains(why) && line.lines().count() == 1, "{line}");
                }
                (Ok(_), Some(why)) => panic!("{why}: it was trusted"),
                (Err(error), None) => panic!("{error}"),
            }
        });
    }
}

// Guards against more connections than were allowed, and against a service that is starved: 2,500 services over six
// connections, of which 40 have an instance. All of them are found, all that leave too, and a critical check shows long
// before the turn of its service, which comes round every 5 s.
#[test]
fn many_services_are_followed_over_few_connections() {
    run(async {
        let consul = Consul::start();
        let mut settings = Settings { connections: 6, ..settings(&consul) };
        settings.services = (0..2500)
            .map(|number| Service {
                name: format!("s{number}"),
                destination: number,
                ..settings.services[0].clone()
            })
            .collect();
        let all: Vec<u16> = (0..2500).step_by(63).collect();
        for number in &all {
            let instance =
                Instance::new(&format!("s{number}"), "n1", &format!("i{number}"), address(8000 + number));
            consul.register(instance);
        }
        let mut seen = Follower::follow(settings, EndpointList::default());
        seen.wait_for_count(all.len()).await;
        assert!(consul.connections().1 <= 6, "{:?}", consul.connections());
        let began = Instant::now();
        for number in &all[10..16] {
            consul.status("n1", &format!("i{number}"), "critical");
            seen.wait_for_state(&format!("i{number}"), EndpointState::Active, HealthStatus::Critical).await;
        }
        assert!(began.elapsed() < Duration::from_secs(5), "six turns would have taken 15 s on average");
        for number in &all {
            consul.deregister("n1", &format!("i{number}"));
        }
        seen.wait_for_count(0).await;
        assert!(consul.connections().1 <= 6, "{:?}", consul.connections());
    });
}

#[test]
fn restart_keeps_the_list_until_an_authoritative_empty_response() {
    run(async {
        let (consul, seen) = follow_instances(1).await;
        consul.fault(Fault::Gone);
        let mut again = Follower::follow(settings(&consul), seen.list.clone());
        again.assert_no_event(Duration::from_millis(300)).await;
        consul.deregister("n1", "w1");
        consul.fault(Fault::None);
        again.wait_for_count(0).await;
        let other =
            WatchEvent { version: 4, is_snapshot: true, endpoints: Vec::new(), origin: String::new() };
        let mut map = EndpointList::default();
        map.apply(&other);
        consul.register(web_instance("w2", 8002));
        let mut fresh = Follower::follow(settings(&consul), map);
        fresh.wait_for_count(1).await;
        assert_eq!(fresh.list.version(), 5, "versions go on from the list held");
    });
}

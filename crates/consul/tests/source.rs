//! Tests of the endpoint source against the fake Consul: the watch events that it sends, and its behavior while Consul
//! fails.

mod common;

use common::run;
use orchidyoke_consul::EndpointSource;
use orchidyoke_consul::settings::{Consistency, Service, Settings, Tls};
use orchidyoke_core::endpoint_list::{EndpointEntry, EndpointList, EndpointState, HealthStatus, WatchEvent};
use orchidyoke_fakes::ConsulServer;
use orchidyoke_fakes::TemporaryFolder;
use orchidyoke_fakes::certificates::CertificateAuthority;
use orchidyoke_fakes::consul::{ConsulFault, Instance};
use orchidyoke_forwarder::catalogue::Catalogue;
use orchidyoke_forwarder::input::{Input, update_sender};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

const EVENT_TIMEOUT: Duration = Duration::from_secs(20);

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn web_instance(id: &str, port: u16) -> Instance {
    Instance::new("web", "n1", id, address(port))
}

fn settings(consul: &ConsulServer) -> Settings {
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

/// The endpoint list that results from the source's watch events.
struct Follower {
    list: EndpointList,
    inputs: UnboundedReceiver<Input>,
}

impl Follower {
    fn follow(settings: Settings, list: EndpointList) -> Self {
        let (sender, inputs) = unbounded_channel();
        let following = EndpointSource::new(settings).follow(list.snapshot(), update_sender(1, sender));
        spawn_local(following);
        Follower { list, inputs }
    }

    fn states(&self) -> Vec<(String, EndpointState, HealthStatus)> {
        let id = |endpoint: &EndpointEntry| endpoint.uid.split(['/', '@']).nth(2).unwrap_or("").to_owned();
        let endpoints = self.list.snapshot().endpoints;
        endpoints.iter().map(|endpoint| (id(endpoint), endpoint.state, endpoint.health)).collect()
    }

    fn apply(&mut self, input: Input) {
        let Input::WatchEvent { event, .. } = input else { panic!("watch events only") };
        assert!(!event.is_snapshot && event.version > self.list.version());
        self.list.apply(&event);
    }

    /// Waits until the list has `count` endpoints.
    async fn wait_for_count(&mut self, count: usize) {
        while self.list.len() != count {
            let input = timeout(EVENT_TIMEOUT, self.inputs.recv()).await;
            let input =
                input.unwrap_or_else(|_| panic!("{count} endpoints are expected: {:?}", self.states()));
            self.apply(input.expect("the source runs"));
        }
    }

    /// Waits until an endpoint has this state and health.
    async fn wait_for_state(&mut self, id: &str, state: EndpointState, health: HealthStatus) {
        while !self.states().contains(&(id.to_owned(), state, health)) {
            let input = timeout(EVENT_TIMEOUT, self.inputs.recv()).await;
            let input = input.unwrap_or_else(|_| panic!("{id}: {:?}", self.states()));
            self.apply(input.expect("the source runs"));
        }
    }

    /// Checks that no event arrives within this time.
    async fn assert_no_event(&mut self, span: Duration) {
        let input = timeout(span, self.inputs.recv()).await;
        assert!(input.is_err(), "no event is expected: {input:?}");
    }
}

/// Starts a Consul with `count` instances, `w1` and so on at ports from 8001, and a follower that has received all of
/// them.
async fn follow_instances(count: u16) -> (ConsulServer, Follower) {
    let consul = ConsulServer::start();
    for number in 1..=count {
        consul.register(web_instance(&format!("w{number}"), 8000 + number));
    }
    let mut follower = Follower::follow(settings(&consul), EndpointList::default());
    follower.wait_for_count(usize::from(count)).await;
    (consul, follower)
}

/// Waits until `holds` returns `true`. Panics with `what` after [`EVENT_TIMEOUT`].
async fn wait_until(what: &str, holds: impl Fn() -> bool) {
    let end = Instant::now() + EVENT_TIMEOUT;
    while !holds() {
        assert!(Instant::now() < end, "{what} is expected");
        sleep(Duration::from_millis(5)).await;
    }
}

#[test]
fn registration_health_tag_and_maintenance_changes_are_followed() {
    run(async {
        let (consul, mut follower) = follow_instances(2).await;
        consul.set_status("n1", "w1", "critical");
        follower.wait_for_state("w1", EndpointState::Active, HealthStatus::Critical).await;
        consul.set_tag("n1", "w1", "draining", true);
        follower.wait_for_state("w1", EndpointState::Draining, HealthStatus::Critical).await;
        consul.set_tag("n1", "w1", "draining", false);
        consul.set_status("n1", "w1", "warning");
        follower.wait_for_state("w1", EndpointState::Active, HealthStatus::Warning).await;
        consul.set_maintenance("n1", "w2", true);
        follower.wait_for_state("w2", EndpointState::Draining, HealthStatus::Critical).await;
        consul.set_maintenance("n1", "w2", false);
        follower.wait_for_state("w2", EndpointState::Active, HealthStatus::Passing).await;
        consul.set_node_check("n1", "serfHealth", Some("critical"));
        follower.wait_for_state("w1", EndpointState::Active, HealthStatus::Critical).await;
        follower.wait_for_state("w2", EndpointState::Active, HealthStatus::Critical).await;
        consul.set_node_check("n1", "serfHealth", None);
        consul.deregister("n1", "w1");
        follower.wait_for_count(1).await;
        consul.deregister("n1", "w2");
        follower.wait_for_count(0).await;
    });
}

// Guards against a list that is emptied because Consul sends no usable answer, and against missing the changes that
// happen meanwhile.
#[test]
fn fault_keeps_the_list_and_recovery_applies_missed_changes() {
    for fault in ConsulFault::without_usable_answer() {
        run(async {
            let (consul, mut follower) = follow_instances(2).await;
            consul.set_fault(fault.clone());
            let requests_before = consul.request_count();
            consul.deregister("n1", "w1");
            consul.register(web_instance("w3", 8003));
            follower.assert_no_event(Duration::from_millis(700)).await;
            assert!(
                consul.request_count() - requests_before <= 8,
                "{fault:?}: no busy loop: {}",
                consul.request_count() - requests_before
            );
            assert_eq!(follower.list.len(), 2, "{fault:?}");
            consul.set_fault(ConsulFault::None);
            follower.wait_for_state("w3", EndpointState::Active, HealthStatus::Passing).await;
            follower.wait_for_count(2).await;
        });
    }
}

// Guards against using the list of a server that has lost contact with its leader, and against staying with that server
// instead of using the next address. While its last contact is within the limit, its responses are valid, including an
// empty list.
#[test]
fn stale_read_is_used_only_within_max_stale() {
    for (last_contact, is_used) in [(Duration::from_secs(3), false), (Duration::from_millis(900), true)] {
        run(async {
            let isolated = ConsulServer::start();
            let other = ConsulServer::start();
            for consul in [&isolated, &other] {
                consul.register(web_instance("w1", 8001));
                consul.register(web_instance("w2", 8002));
            }
            let settings = Settings {
                addresses: vec![isolated.address(), other.address()],
                consistency: Consistency::Stale,
                max_stale: Duration::from_secs(1),
                ..settings(&isolated)
            };
            let mut follower = Follower::follow(settings, EndpointList::default());
            follower.wait_for_count(2).await;
            isolated.set_fault(ConsulFault::Stale(last_contact));
            if is_used {
                follower.wait_for_count(0).await;
                assert_eq!(other.request_count(), 0);
            } else {
                wait_until("a request to the other server", || other.request_count() > 0).await;
                let requests_before = isolated.request_count();
                other.register(web_instance("w3", 8003));
                follower.wait_for_count(3).await;
                follower.assert_no_event(Duration::from_millis(500)).await;
                assert_eq!(
                    isolated.request_count(),
                    requests_before,
                    "the source stays with the other server"
                );
            }
        });
    }
}

// Guards against checking the last contact when the leader must answer, because it has no meaning then.
#[test]
fn last_contact_is_ignored_without_stale_consistency() {
    run(async {
        let (consul, mut follower) = follow_instances(1).await;
        consul.set_fault(ConsulFault::Stale(Duration::from_secs(3600)));
        follower.wait_for_count(0).await;
    });
}

// Guards against querying an agent without a leader again and again while another agent has a leader.
#[test]
fn agent_without_a_leader_causes_failover() {
    for fault in [
        ConsulFault::NoLeader { complete: true },
        ConsulFault::Status { status: 500, text: "No cluster leader", retry_after_s: None },
    ] {
        run(async {
            let isolated = ConsulServer::start();
            let other = ConsulServer::start();
            let addresses = vec![isolated.address(), other.address()];
            let mut follower =
                Follower::follow(Settings { addresses, ..settings(&isolated) }, EndpointList::default());
            isolated.register(web_instance("w1", 8001));
            follower.wait_for_count(1).await;
            isolated.set_fault(fault.clone());
            other.register(web_instance("w1", 8001));
            other.register(web_instance("w2", 8002));
            follower.wait_for_count(2).await;
        });
    }
}

// Guards against an agent that stops answering without being noticed. The request must time out after its wait and a
// grace period, and must be sent on another connection. Changes that happened meanwhile are then applied.
#[test]
fn silent_agent_times_out_and_causes_failover() {
    run(async {
        let silent = ConsulServer::start();
        let other = ConsulServer::start();
        for consul in [&silent, &other] {
            consul.register(web_instance("w1", 8001));
        }
        let wait = Duration::from_secs(1);
        let addresses = vec![silent.address(), other.address()];
        let mut follower =
            Follower::follow(Settings { addresses, wait, ..settings(&silent) }, EndpointList::default());
        follower.wait_for_count(1).await;
        silent.set_fault(ConsulFault::Unresponsive);
        other.register(web_instance("w2", 8002));
        follower.wait_for_count(2).await;
        assert!(other.request_count() > 0);
    });
}

#[test]
fn unusable_index_does_not_stop_updates_or_cause_a_busy_loop() {
    for index in [Some("0"), Some("many"), Some("7"), None] {
        run(async {
            let (consul, mut follower) = follow_instances(1).await;
            consul.set_fault(ConsulFault::FixedIndex(index));
            consul.register(web_instance("w2", 8002));
            // An index that does not move hides the change. Without a usable index every body is read.
            if index != Some("7") {
                follower.wait_for_count(2).await;
            }
            let requests_before = consul.request_count();
            sleep(Duration::from_secs(1)).await;
            assert!(consul.request_count() - requests_before <= 15, "{index:?}: no busy loop");
            consul.set_fault(ConsulFault::None);
            consul.register(web_instance("w3", 8003));
            follower.wait_for_count(3).await;
        });
    }
}

#[test]
fn lower_index_restarts_the_query() {
    run(async {
        let (consul, mut follower) = follow_instances(5).await;
        consul.reset_index();
        consul.deregister("n1", "w1");
        follower.wait_for_count(4).await;
        consul.deregister("n1", "w2");
        follower.wait_for_count(3).await;
    });
}

// Guards against an endpoint that inherits the state of another one: when an id moves to another address, when an id is
// on two nodes, and when an address belongs to a new instance. Also guards against a changed list after an agent
// removes all instances and adds them again within a second.
#[test]
fn new_instance_at_a_known_address_is_a_new_endpoint() {
    run(async {
        let (consul, mut follower) = follow_instances(1).await;
        let uid = |follower: &Follower| follower.list.snapshot().endpoints[0].uid.clone();
        let first = uid(&follower);
        consul.register(web_instance("w1", 8009));
        while uid(&follower) == first {
            let input = follower.inputs.recv().await.expect("the source runs");
            follower.apply(input);
        }
        consul.deregister("n1", "w1");
        consul.register(Instance::new("web", "n2", "w1", address(8009)));
        while !uid(&follower).contains("/n2/") {
            let input = follower.inputs.recv().await.expect("the source runs");
            follower.apply(input);
        }
        consul.register(Instance::new("web", "n1", "w1", address(8009)));
        follower.wait_for_count(2).await;
        let before = follower.list.snapshot().endpoints;
        for (node, back) in [("n1", false), ("n2", false), ("n1", true), ("n2", true)] {
            if back {
                consul.register(Instance::new("web", node, "w1", address(8009)));
            } else {
                consul.deregister(node, "w1");
            }
        }
        consul.register(Instance::new("web", "n3", "w1", address(8010)));
        follower.wait_for_count(3).await;
        assert_eq!(follower.list.snapshot().endpoints[..2], before);
    });
}

#[test]
fn flapping_check_ends_in_its_last_state() {
    run(async {
        let (consul, mut follower) = follow_instances(1).await;
        let requests_before = consul.request_count();
        for turn in 0..200 {
            consul.set_status("n1", "w1", if turn % 2 == 0 { "critical" } else { "passing" });
            sleep(Duration::from_millis(1)).await;
        }
        consul.set_status("n1", "w1", "warning");
        follower.wait_for_state("w1", EndpointState::Active, HealthStatus::Warning).await;
        assert!(
            consul.request_count() - requests_before <= 30,
            "too many requests: {}",
            consul.request_count() - requests_before
        );
    });
}

// Guards against a token or certificate that takes effect only after a restart, and against an unclear rejection.
#[test]
fn replaced_token_and_certificates_take_effect_without_restart() {
    let folder = TemporaryFolder::new("consul-tls");
    let authority = CertificateAuthority::new(folder.path(), "dc1");
    let consul = ConsulServer::start();
    let day = time::Duration::days(1);
    let server = authority.sign("server.dc1.consul", consul.address().ip(), day);
    let client = authority.sign("edge.dc1.consul", consul.address().ip(), day);
    consul.use_tls(&server, Some(&authority.certificate));
    consul.require_token(Some("first"));
    let tls = Tls {
        ca: authority.certificate.clone(),
        cert: Some(client.certificate.clone()),
        key: Some(client.key.clone()),
        server_name: Some("server.dc1.consul".to_owned()),
    };
    let token_file = Some(folder.write("token", "first\n"));
    let settings = Settings { tls: Some(tls), token_file, ..settings(&consul) };
    run(async {
        consul.register(web_instance("w1", 8001));
        let mut follower = Follower::follow(settings.clone(), EndpointList::default());
        follower.wait_for_count(1).await;
        consul.require_token(Some("second"));
        consul.register(web_instance("w2", 8002));
        follower.assert_no_event(Duration::from_millis(300)).await;
        folder.write("token", "second");
        follower.wait_for_count(2).await;
        // Another authority signs the certificates of both sides. The old certificates are not trusted from now on.
        let other = CertificateAuthority::new(folder.path(), "dc1");
        let server = other.sign("server.dc1.consul", consul.address().ip(), day);
        other.sign("edge.dc1.consul", consul.address().ip(), day);
        consul.use_tls(&server, Some(&other.certificate));
        let open = consul.connections().open;
        consul.register(web_instance("w3", 8003));
        follower.wait_for_count(3).await;
        wait_until("the close of the old connection", || consul.connections().open <= open).await;
    });
}

#[test]
fn untrusted_certificate_is_rejected_with_one_line() {
    let folder = TemporaryFolder::new("consul-bad-tls");
    let authority = CertificateAuthority::new(folder.path(), "dc1");
    let other_authority = CertificateAuthority::new(folder.path(), "dc2");
    let consul = ConsulServer::start();
    let ip = consul.address().ip();
    let good = authority.sign("server.dc1.consul", ip, time::Duration::days(1));
    let old = authority.sign("old.dc1.consul", ip, -time::Duration::days(1));
    let cases = [
        (&good, &authority, Some("server.dc1.consul"), None),
        (&good, &authority, None, None),
        (&good, &authority, Some("other.dc1.consul"), Some("is not for other.dc1.consul")),
        (&good, &other_authority, None, Some("signed by none of the authorities in")),
        (&old, &authority, None, Some("has expired")),
    ];
    for (pair, ca, name, why) in cases {
        consul.use_tls(pair, None);
        let tls = Tls { ca: ca.certificate.clone(), server_name: name.map(str::to_owned), ..Tls::default() };
        let settings = Settings { tls: Some(tls), ..settings(&consul) };
        run(async {
            let client = orchidyoke_consul::client::Client::new(settings.into());
            match (client.connect().await, why) {
                (Ok(_), None) => {}
                (Err(error), Some(why)) => {
                    let line = error.to_string();
                    assert!(line.contains(why) && line.lines().count() == 1, "{line}");
                }
                (Ok(_), Some(why)) => panic!("the certificate was trusted: {why}"),
                (Err(error), None) => panic!("{error}"),
            }
        });
    }
}

// Guards against more connections than the settings allow, and against a service that is starved. There are 2,500
// services over six connections, and 40 of the services have an instance. All instances are found, all removals too,
// and a critical check is found long before the next turn of its service; each service has a turn every 5 s.
#[test]
fn many_services_are_followed_over_few_connections() {
    run(async {
        let consul = ConsulServer::start();
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
        let mut follower = Follower::follow(settings, EndpointList::default());
        follower.wait_for_count(all.len()).await;
        assert!(consul.connections().peak <= 6, "{:?}", consul.connections());
        let start = Instant::now();
        for number in &all[10..16] {
            consul.set_status("n1", &format!("i{number}"), "critical");
            follower
                .wait_for_state(&format!("i{number}"), EndpointState::Active, HealthStatus::Critical)
                .await;
        }
        assert!(start.elapsed() < Duration::from_secs(5), "six turns would have taken 15 s on average");
        for number in &all {
            consul.deregister("n1", &format!("i{number}"));
        }
        follower.wait_for_count(0).await;
        assert!(consul.connections().peak <= 6, "{:?}", consul.connections());
    });
}

#[test]
fn restart_keeps_the_list_until_an_authoritative_empty_response() {
    run(async {
        let (consul, follower) = follow_instances(1).await;
        consul.set_fault(ConsulFault::Down);
        let mut restarted = Follower::follow(settings(&consul), follower.list.clone());
        restarted.assert_no_event(Duration::from_millis(300)).await;
        consul.deregister("n1", "w1");
        consul.set_fault(ConsulFault::None);
        restarted.wait_for_count(0).await;
        let other =
            WatchEvent { version: 4, is_snapshot: true, endpoints: Vec::new(), origin: String::new() };
        let mut list = EndpointList::default();
        list.apply(&other);
        consul.register(web_instance("w2", 8002));
        let mut fresh = Follower::follow(settings(&consul), list);
        fresh.wait_for_count(1).await;
        assert_eq!(fresh.list.version(), 5, "versions continue from the current list");
    });
}

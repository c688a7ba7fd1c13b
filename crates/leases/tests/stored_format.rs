//! Pins the stored form of the keys of leases in Consul. Keys of an earlier version are read, and a lease manager
//! writes the same keys with the same values, because forwarders of two versions share one folder of keys.

use bytes::Bytes;
use orchidyoke_consul::Settings;
use orchidyoke_consul::locks::{LockClient, SessionBehavior};
use orchidyoke_fakes::ConsulServer;
use orchidyoke_leases::placement::assign_leases;
use orchidyoke_leases::{LeaseConfig, LeaseId, LeaseManager, ManagerConfig};
use std::collections::{BTreeMap, BTreeSet};
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{sleep, timeout};

/// The keys and values of a forwarder without other members, one pair a line.
const KEYS_ALONE: &str = include_str!("fixtures/keys-alone");
/// The keys and values of a forwarder that holds two leases before another forwarder joins, one pair a line.
const KEYS_BEFORE_JOIN: &str = include_str!("fixtures/keys-earlier");

const TTL: Duration = Duration::from_secs(10);

fn run_test(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let time_limit = Duration::from_secs(60);
    runtime.block_on(
        LocalSet::new().run_until(async { timeout(time_limit, test).await.expect("the test ends in time") }),
    );
}

fn settings(consul: &ConsulServer) -> Rc<Settings> {
    Rc::new(Settings { addresses: vec![consul.address()], ..Settings::default() })
}

/// Starts a lease manager.
fn start(consul: &ConsulServer, name: &str, weight: f64, leases: &BTreeSet<LeaseId>) -> Rc<LeaseManager> {
    let protocol = LeaseConfig {
        ttl: TTL.as_micros() as i64,
        clock_drift: 0.01,
        max_action_time: 100_000,
        retry_interval: 50_000,
        max_concurrent_acquires: 8,
    };
    let config = ManagerConfig {
        name: name.to_owned(),
        weight,
        key_prefix: "fleet/one".to_owned(),
        leases: leases.clone(),
        lock_delay: Duration::ZERO,
        protocol,
    };
    let manager = Rc::new(LeaseManager::new(config, settings(consul)));
    let running = manager.clone();
    spawn_local(async move { running.run().await });
    manager
}

/// Waits until a lease manager holds these leases and no others.
async fn await_held(manager: &LeaseManager, expected: &BTreeSet<LeaseId>) {
    while manager.held().into_keys().collect::<BTreeSet<_>>() != *expected {
        sleep(Duration::from_millis(5)).await;
    }
}

/// Returns all keys that a session holds, with their values, one pair a line.
async fn read_held_keys(consul: &ConsulServer) -> String {
    let (_, rows) = LockClient::new(settings(consul))
        .read_keys("fleet/", 0, Duration::ZERO)
        .await
        .expect("the keys are read");
    rows.iter()
        .filter(|row| row.session.is_some())
        .map(|row| format!("{} {}\n", row.key, row.value_text()))
        .collect()
}

/// Returns the keys that a forwarder writes without other members.
async fn written_alone() -> String {
    let (consul, leases) = (ConsulServer::start(), BTreeSet::from([0, 7, LeaseId::MAX - 1]));
    let manager = start(&consul, "f-1", 1.5, &leases);
    await_held(&manager, &leases).await;
    read_held_keys(&consul).await
}

/// Returns the keys of a forwarder that holds two leases.
async fn written_before_a_join() -> String {
    let (consul, leases) = (ConsulServer::start(), BTreeSet::from([2, 5]));
    let manager = start(&consul, "f-2", 3.0, &leases);
    await_held(&manager, &leases).await;
    read_held_keys(&consul).await
}

#[test]
fn lease_manager_writes_the_same_keys_with_the_same_values() {
    run_test(async {
        assert_eq!(written_alone().await, KEYS_ALONE);
        assert_eq!(written_before_a_join().await, KEYS_BEFORE_JOIN);
    });
}

#[test]
fn keys_of_the_previous_version_are_read_as_membership_weight_and_leases() {
    run_test(async {
        let (consul, leases) = (ConsulServer::start(), (0..12).collect());
        let mut locks = LockClient::new(settings(&consul));
        let session = locks
            .create_session("earlier", TTL, Duration::ZERO, SessionBehavior::Release)
            .await
            .expect("the session is created");
        for line in KEYS_BEFORE_JOIN.lines() {
            let (key, value) = line.split_once(' ').expect("a key and its value");
            let value = Bytes::from_static(value.as_bytes());
            assert!(locks.acquire(key, &session, value).await.expect("the request is answered"), "{key}");
        }
        let manager = start(&consul, "f-1", 1.0, &leases);
        let (weights, held) = ([("f-1", 1.0), ("f-2", 3.0)], [(2, "f-2"), (5, "f-2")]);
        let members: BTreeMap<_, _> = weights.map(|(name, weight)| (name.to_owned(), weight)).into();
        let held: BTreeMap<_, _> = held.map(|(lease, name)| (lease, name.to_owned())).into();
        let assignment = assign_leases(&members, &leases, &held);
        let own_leases =
            assignment.into_iter().filter(|(_, name)| name == "f-1").map(|(lease, _)| lease).collect();
        await_held(&manager, &own_leases).await;
        assert_eq!(
            own_leases,
            BTreeSet::from([0, 1, 8]),
            "the share of f-1 by weight, without the leases that f-2 holds"
        );
    });
}

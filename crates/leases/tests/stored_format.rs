//! Protects the keys in Consul by which forwarders share duties: those of an earlier version are understood, and a
//! forwarder writes the same keys with the same values. Forwarders of two versions share one folder of keys.

use bytes::Bytes;
use orchidyoke_consul::Settings;
use orchidyoke_consul::locks::{Behavior, Locks};
use orchidyoke_fakes::ConsulServer;
use orchidyoke_leases::Duty;
use orchidyoke_leases::keeper::{Keeper, Member};
use orchidyoke_leases::lease::Terms;
use orchidyoke_leases::placement::place;
use std::collections::{BTreeMap, BTreeSet};
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{sleep, timeout};

/// Keys and values, one a line, of a forwarder that is alone.
const ALONE: &str = include_str!("fixtures/keys-alone");
/// Those of a forwarder that has taken two duties, and beside which another comes.
const ELDER: &str = include_str!("fixtures/keys-elder");

const TTL: Duration = Duration::from_secs(10);

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let patience = Duration::from_secs(60);
    runtime.block_on(LocalSet::new().run_until(async { timeout(patience, test).await.expect("in time") }));
}

fn settings(consul: &ConsulServer) -> Rc<Settings> {
    Rc::new(Settings { addresses: vec![consul.address()], ..Settings::default() })
}

/// A forwarder that keeps its leases, and the task that does so.
fn start(consul: &ConsulServer, name: &str, weight: f64, duties: &BTreeSet<Duty>) -> Rc<Keeper> {
    let terms = Terms { ttl: TTL.as_micros() as i64, drift: 0.01, act: 100_000, retry: 50_000, asks: 8 };
    let (name, prefix, duties) = (name.to_owned(), "fleet/one".to_owned(), duties.clone());
    let member = Member { name, weight, prefix, duties, lock_delay: Duration::ZERO, terms };
    let keeper = Rc::new(Keeper::new(member, settings(consul)));
    let running = keeper.clone();
    spawn_local(async move { running.run().await });
    keeper
}

/// Waits until a forwarder holds these duties and no others.
async fn holds(keeper: &Keeper, wanted: &BTreeSet<Duty>) {
    while keeper.held().into_keys().collect::<BTreeSet<_>>() != *wanted {
        sleep(Duration::from_millis(5)).await;
    }
}

/// All keys that are held, with their values, one a line.
async fn keys(consul: &ConsulServer) -> String {
    let (_, rows) = Locks::new(settings(consul)).look("fleet/", 0, Duration::ZERO).await.expect("looked");
    rows.iter().filter(|r| r.session.is_some()).map(|row| format!("{} {}\n", row.key, row.text())).collect()
}

/// What a forwarder writes that is alone.
async fn written_alone() -> String {
    let (consul, duties) = (ConsulServer::start(), BTreeSet::from([0, 7, Duty::MAX - 1]));
    let keeper = start(&consul, "f-1", 1.5, &duties);
    holds(&keeper, &duties).await;
    keys(&consul).await
}

/// What a forwarder has written that has taken two duties of which there are more.
async fn written_by_elder() -> String {
    let (consul, duties) = (ConsulServer::start(), BTreeSet::from([2, 5]));
    let keeper = start(&consul, "f-2", 3.0, &duties);
    holds(&keeper, &duties).await;
    keys(&consul).await
}

#[test]
fn a_forwarder_writes_the_same_keys_with_the_same_values() {
    run(async {
        assert_eq!(written_alone().await, ALONE);
        assert_eq!(written_by_elder().await, ELDER);
    });
}

#[test]
fn keys_of_the_previous_version_count_as_its_membership_weight_and_duties() {
    run(async {
        let (consul, duties) = (ConsulServer::start(), (0..12).collect());
        let mut locks = Locks::new(settings(&consul));
        let elder = locks.create("earlier", TTL, Duration::ZERO, Behavior::Release).await.expect("made");
        for line in ELDER.lines() {
            let (key, value) = line.split_once(' ').expect("a key and its value");
            let value = Bytes::from_static(value.as_bytes());
            assert!(locks.acquire(key, &elder, value).await.expect("asked"), "{key}");
        }
        let keeper = start(&consul, "f-1", 1.0, &duties);
        let (weights, held) = ([("f-1", 1.0), ("f-2", 3.0)], [(2, "f-2"), (5, "f-2")]);
        let members: BTreeMap<_, _> = weights.map(|(name, weight)| (name.to_owned(), weight)).into();
        let held: BTreeMap<_, _> = held.map(|(duty, name)| (duty, name.to_owned())).into();
        let placed = place(&members, &duties, &held);
        let own = placed.into_iter().filter(|(_, name)| name == "f-1").map(|(duty, _)| duty).collect();
        holds(&keeper, &own).await;
        assert_eq!(own, BTreeSet::from([0, 1, 8]), "its share by weight, and none that is held");
    });
}

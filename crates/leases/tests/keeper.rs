//! Leases of several members on the stand-in Consul, over sockets.

use orchidyoke_consul::Settings;
use orchidyoke_fakes::ConsulServer;
use orchidyoke_fakes::consul::ConsulFault;
use orchidyoke_leases::keeper::{Keeper, Member};
use orchidyoke_leases::lease::Terms;
use orchidyoke_leases::{Duty, Token};
use std::collections::BTreeMap;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{JoinHandle, LocalSet, spawn_local};
use tokio::time::{Instant, sleep, timeout};

const DUTIES: Duty = 12;
const TTL: Duration = Duration::from_secs(4);
const LOCK_DELAY: Duration = Duration::from_millis(500);

struct Running {
    keeper: Rc<Keeper>,
    task: JoinHandle<()>,
}

fn start(consul: &ConsulServer, name: &str) -> Running {
    let terms = Terms { ttl: TTL.as_micros() as i64, drift: 0.01, act: 100_000, retry: 200_000, asks: 8 };
    let member = Member {
        name: name.to_owned(),
        weight: 1.0,
        prefix: "orchidyoke/one".to_owned(),
        duties: (0..DUTIES).collect(),
        lock_delay: LOCK_DELAY,
        terms,
    };
    let settings = Settings { addresses: vec![consul.address()], ..Settings::default() };
    let keeper = Rc::new(Keeper::new(member, Rc::new(settings)));
    let running = keeper.clone();
    Running { task: spawn_local(async move { running.run().await }), keeper }
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let patience = Duration::from_secs(90);
    runtime.block_on(LocalSet::new().run_until(async { timeout(patience, test).await.expect("in time") }));
}

/// Who may act on each duty now; never two.
fn owners(members: &[&Running]) -> BTreeMap<Duty, Token> {
    let mut owners = BTreeMap::new();
    for member in members {
        for duty in 0..DUTIES {
            if let Some(token) = member.keeper.may_act(duty) {
                assert!(owners.insert(duty, token).is_none(), "two may act on {duty}");
            }
        }
    }
    owners
}

/// Waits until each of these may act on so many duties, and watches meanwhile that no two may act on one.
async fn settle(members: &[&Running], each: usize) {
    let end = Instant::now() + Duration::from_secs(40);
    loop {
        owners(members);
        let counts: Vec<_> = members
            .iter()
            .map(|member| (0..DUTIES).filter(|duty| member.keeper.may_act(*duty).is_some()).count())
            .collect();
        if counts.iter().all(|count| *count == each) {
            return;
        }
        assert!(Instant::now() < end, "{counts:?}");
        sleep(Duration::from_millis(2)).await;
    }
}

/// Two members that have settled.
async fn two() -> (ConsulServer, Running, Running) {
    let consul = ConsulServer::start();
    let (a, b) = (start(&consul, "a"), start(&consul, "b"));
    settle(&[&a, &b], 6).await;
    (consul, a, b)
}

#[test]
fn duties_are_shared_evenly_and_taken_over_from_who_dies() {
    run(async {
        let (consul, a, b) = two().await;
        let c = start(&consul, "c");
        settle(&[&a, &b, &c], 4).await;
        let before = owners(&[&a, &b, &c]);
        c.task.abort();
        let died = Instant::now();
        settle(&[&a, &b], 6).await;
        // A session ends one to two TTLs after its last renewal, and its locks stay closed for the delay.
        assert!(died.elapsed() >= LOCK_DELAY, "{:?}", died.elapsed());
        let after = owners(&[&a, &b]);
        let moved = after.iter().filter(|(duty, token)| before[duty] != **token).count();
        assert_eq!(moved, 4, "those of the one that died, and no others");
    });
}

// Guards against a rolling deployment in which each stop leaves duties orphaned for a TTL and a lock-delay.
#[test]
fn who_leaves_in_good_order_hands_over_at_once_and_may_come_back() {
    run(async {
        let (consul, a, b) = two().await;
        b.keeper.leave();
        let left = Instant::now();
        settle(&[&a], 12).await;
        assert!(left.elapsed() < TTL, "{:?}: a killed one takes more than a TTL", left.elapsed());
        b.task.await.expect("it has ended by itself");
        let b = start(&consul, "b");
        settle(&[&a, &b], 6).await;
        assert!(left.elapsed() < 2 * TTL, "its name is free again");
    });
}

// Guards against an owner that goes on while the store may have given its duty away, and against one that does not
// come back.
#[test]
fn a_silent_store_ends_all_acts_within_a_lease_and_they_come_back() {
    run(async {
        let (consul, a, b) = two().await;
        consul.set_fault(ConsulFault::Unresponsive);
        sleep(TTL).await;
        assert_eq!(owners(&[&a, &b]), BTreeMap::new(), "no act without a lease");
        consul.set_fault(ConsulFault::None);
        settle(&[&a, &b], 6).await;
    });
}

// Guards against a member that its fleet forgets when somebody deletes its key, and against a lock deleted by hand that
// its owner goes on with under the old token.
#[test]
fn keys_that_are_deleted_by_hand_are_taken_anew_under_higher_tokens() {
    run(async {
        let (consul, a, b) = two().await;
        let before = owners(&[&a, &b]);
        consul.delete_keys("orchidyoke/one/members/a");
        consul.delete_keys("orchidyoke/one/duties/");
        let end = Instant::now() + Duration::from_secs(40);
        loop {
            // The old owner may act until it hears of it: two at once are what the tokens are for here.
            let held: BTreeMap<Duty, Token> =
                [&a, &b].iter().flat_map(|member| member.keeper.held()).collect();
            let counts = [&a, &b].map(|member| member.keeper.held().len());
            if counts == [6, 6] && held.iter().all(|(duty, token)| *token > before[duty]) {
                break;
            }
            assert!(Instant::now() < end, "{counts:?}");
            sleep(Duration::from_millis(5)).await;
        }
    });
}

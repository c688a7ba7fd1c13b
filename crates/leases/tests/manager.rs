//! Runs several lease managers against the fake Consul, over sockets.

use orchidyoke_consul::Settings;
use orchidyoke_fakes::ConsulServer;
use orchidyoke_fakes::consul::ConsulFault;
use orchidyoke_leases::{FencingToken, LeaseConfig, LeaseId, LeaseManager, ManagerConfig};
use std::collections::BTreeMap;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{JoinHandle, LocalSet, spawn_local};
use tokio::time::{Instant, sleep, timeout};

const LEASES: LeaseId = 12;
const TTL: Duration = Duration::from_secs(4);
const LOCK_DELAY: Duration = Duration::from_millis(500);

struct RunningMember {
    manager: Rc<LeaseManager>,
    task: JoinHandle<()>,
}

fn start(consul: &ConsulServer, name: &str) -> RunningMember {
    let protocol = LeaseConfig {
        ttl: TTL.as_micros() as i64,
        clock_drift: 0.01,
        max_action_time: 100_000,
        retry_interval: 200_000,
        max_concurrent_acquires: 8,
    };
    let config = ManagerConfig {
        name: name.to_owned(),
        weight: 1.0,
        key_prefix: "orchidyoke/one".to_owned(),
        leases: (0..LEASES).collect(),
        lock_delay: LOCK_DELAY,
        protocol,
    };
    let settings = Settings { addresses: vec![consul.address()], ..Settings::default() };
    let manager = Rc::new(LeaseManager::new(config, Rc::new(settings)));
    let running = manager.clone();
    RunningMember { task: spawn_local(async move { running.run().await }), manager }
}

fn run_test(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let time_limit = Duration::from_secs(90);
    runtime.block_on(
        LocalSet::new().run_until(async { timeout(time_limit, test).await.expect("the test ends in time") }),
    );
}

/// Returns the tokens under which members may act now. Fails if two members may act under one lease.
fn holders(members: &[&RunningMember]) -> BTreeMap<LeaseId, FencingToken> {
    let mut holders = BTreeMap::new();
    for member in members {
        for lease in 0..LEASES {
            if let Some(token) = member.manager.may_act(lease) {
                assert!(holders.insert(lease, token).is_none(), "two members may act under lease {lease}");
            }
        }
    }
    holders
}

/// Waits until each of these members may act under `leases_per_member` leases. Fails if two members may act under one
/// lease meanwhile.
async fn await_lease_counts(members: &[&RunningMember], leases_per_member: usize) {
    let end = Instant::now() + Duration::from_secs(40);
    loop {
        holders(members);
        let counts: Vec<_> = members
            .iter()
            .map(|member| (0..LEASES).filter(|lease| member.manager.may_act(*lease).is_some()).count())
            .collect();
        if counts.iter().all(|count| *count == leases_per_member) {
            return;
        }
        assert!(Instant::now() < end, "{counts:?}");
        sleep(Duration::from_millis(2)).await;
    }
}

/// Starts two members and waits until they share the leases evenly.
async fn start_two_members() -> (ConsulServer, RunningMember, RunningMember) {
    let consul = ConsulServer::start();
    let (member_a, member_b) = (start(&consul, "a"), start(&consul, "b"));
    await_lease_counts(&[&member_a, &member_b], 6).await;
    (consul, member_a, member_b)
}

// Guards against a dead member whose leases stay without a holder, and against a takeover that also moves leases of the
// other members.
#[test]
fn leases_are_shared_evenly_and_taken_over_from_a_dead_member() {
    run_test(async {
        let (consul, member_a, member_b) = start_two_members().await;
        let member_c = start(&consul, "c");
        await_lease_counts(&[&member_a, &member_b, &member_c], 4).await;
        let before = holders(&[&member_a, &member_b, &member_c]);
        member_c.task.abort();
        let aborted_at = Instant::now();
        await_lease_counts(&[&member_a, &member_b], 6).await;
        // Consul ends a session one to two TTLs after its last renewal. Then the lock-delay starts.
        assert!(aborted_at.elapsed() >= LOCK_DELAY, "{:?}", aborted_at.elapsed());
        let after = holders(&[&member_a, &member_b]);
        let moved = after.iter().filter(|(lease, token)| before[lease] != **token).count();
        assert_eq!(moved, 4, "only the leases of the dead member move");
    });
}

// Guards against a rolling deployment in which each stop leaves leases without a holder for a TTL and a lock-delay.
#[test]
fn graceful_shutdown_passes_leases_at_once_and_the_member_may_return() {
    run_test(async {
        let (consul, member_a, member_b) = start_two_members().await;
        member_b.manager.shut_down();
        let shutdown_at = Instant::now();
        await_lease_counts(&[&member_a], 12).await;
        assert!(
            shutdown_at.elapsed() < TTL,
            "{:?}: the leases of a killed member take more than a TTL",
            shutdown_at.elapsed()
        );
        member_b.task.await.expect("the manager returns after its shutdown");
        let member_b = start(&consul, "b");
        await_lease_counts(&[&member_a, &member_b], 6).await;
        assert!(shutdown_at.elapsed() < 2 * TTL, "the member can register under its name again");
    });
}

// Guards against a holder that continues to act while Consul may have given its lease to another member, and against a
// member that does not acquire its leases again.
#[test]
fn unresponsive_consul_suspends_all_leases_until_it_answers() {
    run_test(async {
        let (consul, member_a, member_b) = start_two_members().await;
        consul.set_fault(ConsulFault::Unresponsive);
        sleep(TTL).await;
        assert_eq!(
            holders(&[&member_a, &member_b]),
            BTreeMap::new(),
            "no member may act once Consul has not answered for a TTL"
        );
        consul.set_fault(ConsulFault::None);
        await_lease_counts(&[&member_a, &member_b], 6).await;
    });
}

// Guards against a member that is no longer in its fleet after its key is deleted, and against a holder that continues
// under the old token after the key of its lock is deleted.
#[test]
fn deleted_keys_are_reacquired_under_higher_tokens() {
    run_test(async {
        let (consul, member_a, member_b) = start_two_members().await;
        let before = holders(&[&member_a, &member_b]);
        consul.delete_keys("orchidyoke/one/members/a");
        consul.delete_keys("orchidyoke/one/duties/");
        let end = Instant::now() + Duration::from_secs(40);
        loop {
            // The earlier holder may act until it reads the locks again. Receivers reject a result from that time by
            // its lower token.
            let held: BTreeMap<LeaseId, FencingToken> =
                [&member_a, &member_b].iter().flat_map(|member| member.manager.held()).collect();
            let counts = [&member_a, &member_b].map(|member| member.manager.held().len());
            if counts == [6, 6] && held.iter().all(|(lease, token)| *token > before[lease]) {
                break;
            }
            assert!(Instant::now() < end, "{counts:?}");
            sleep(Duration::from_millis(5)).await;
        }
    });
}

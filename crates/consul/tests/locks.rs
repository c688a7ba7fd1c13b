//! Sessions and locks against the stand-in Consul, and what is said where an answer is lost.

use bytes::Bytes;
use orchidyoke_consul::Settings;
use orchidyoke_consul::locks::{LockClient, LockError, SessionBehavior, TransactionOperation};
use orchidyoke_consul::response::ResponseError;
use orchidyoke_consul::settings::Consistency;
use orchidyoke_fakes::Consul;
use orchidyoke_fakes::consul::Fault;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::LocalSet;
use tokio::time::{sleep, timeout};

const TTL: Duration = Duration::from_secs(60);
const DELAY: Duration = Duration::from_millis(300);

fn locks(consul: &Consul) -> LockClient {
    // Stale answers are allowed for the catalogue; a look at locks is not one of them.
    let consistency = Consistency::Stale;
    LockClient::new(Rc::new(Settings {
        addresses: vec![consul.address()],
        consistency,
        ..Settings::default()
    }))
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let patience = Duration::from_secs(60);
    runtime.block_on(LocalSet::new().run_until(async { timeout(patience, test).await.expect("in time") }));
}

#[test]
fn released_lock_can_be_acquired_by_another_session() {
    run(async {
        let consul = Consul::start();
        let (mut a, mut b) = (locks(&consul), locks(&consul));
        assert_eq!(a.read_keys("duties/", 0, TTL).await.expect("looked").1, Vec::new(), "no keys yet");
        let first = a.create_session("f1", TTL, DELAY, SessionBehavior::Release).await.expect("made");
        let second = b.create_session("f2", TTL, DELAY, SessionBehavior::Release).await.expect("made");
        assert!(a.acquire("duties/a b", &first, Bytes::from_static(b"f1")).await.expect("asked"));
        assert!(!b.acquire("duties/a b", &second, Bytes::new()).await.expect("asked"));
        let (index, rows) = b.read_keys("duties/", 0, TTL).await.expect("looked");
        assert_eq!((rows.len(), rows[0].session.as_deref()), (1, Some(first.as_str())));
        let token = rows[0].modify_index;
        let (looked, released) = tokio::join!(b.read_keys("duties/", index, TTL), async {
            sleep(Duration::from_millis(50)).await;
            a.release("duties/a b", &first).await
        });
        assert!(released.expect("asked") && looked.expect("looked").1[0].session.is_none());
        assert!(
            b.acquire("duties/a b", &second, Bytes::new()).await.expect("asked"),
            "given back: free at once"
        );
        let (_, rows) = a.read_keys("duties/", 0, TTL).await.expect("looked");
        assert!(rows[0].modify_index > token, "a later owner has a higher token");
        assert!(a.renew_session(&first).await.expect("asked"));
        b.destroy_session(&second).await;
        assert!(!b.renew_session(&second).await.expect("asked"));
        assert!(!a.acquire("duties/a b", &first, Bytes::new()).await.expect("asked"), "the lock-delay");
    });
}

// Guards against a write without an answer that is taken for one that has failed, or is sent again.
#[test]
fn lock_error_distinguishes_unsent_lost_and_rejected_requests() {
    run(async {
        let consul = Consul::start();
        let mut locks = locks(&consul);
        let session = locks.create_session("f1", TTL, DELAY, SessionBehavior::Release).await.expect("made");
        consul.fault(Fault::LostWrites);
        let asked = consul.questions();
        let lost = locks.acquire("duties/1", &session, Bytes::new()).await;
        assert!(matches!(lost, Err(LockError::OutcomeUnknown(_))), "{lost:?}");
        assert_eq!(consul.questions() - asked, 1, "sent once");
        let (_, rows) = locks.read_keys("duties/", 0, TTL).await.expect("looked");
        assert_eq!(rows[0].session.as_deref(), Some(session.as_str()), "and it took effect");
        consul.fault(Fault::NoLeader { whole: true });
        let refused = locks.read_keys("duties/", 0, TTL).await;
        assert!(matches!(refused, Err(LockError::Rejected(ResponseError::NoLeader))), "{refused:?}");
        consul.fault(Fault::Gone);
        // The stand-in takes a moment to stop listening, and to listen again.
        while !matches!(locks.renew_session(&session).await, Err(LockError::NotSent(_))) {
            sleep(Duration::from_millis(5)).await;
        }
        consul.fault(Fault::None);
        let renewed = loop {
            match locks.renew_session(&session).await {
                Err(LockError::NotSent(_)) => sleep(Duration::from_millis(5)).await,
                renewed => break renewed,
            }
        };
        assert!(renewed.expect("answered"), "a session outlasts its connections");
    });
}

// Guards against a transaction half done, and against one that is done though what it rests on has changed.
#[test]
fn transaction_applies_all_operations_or_none() {
    run(async {
        let consul = Consul::start();
        let (mut a, mut b) = (locks(&consul), locks(&consul));
        let first = a.create_session("op", TTL, Duration::ZERO, SessionBehavior::Delete).await.expect("made");
        assert!(a.acquire("p/proposal", &first, Bytes::from_static(b"x")).await.expect("asked"));
        let (index, rows) = b.read_keys("p/", 0, TTL).await.expect("looked");
        let held = TransactionOperation::CheckHeld {
            key: "p/proposal".into(),
            modify_index: rows[0].modify_index,
            session: first.clone(),
        };
        let commit = |index| TransactionOperation::CheckAndSet {
            key: "p/committed".into(),
            modify_index: index,
            value: Bytes::from_static(b"y"),
        };
        let take_away = TransactionOperation::CheckAndDelete {
            key: "p/proposal".into(),
            modify_index: rows[0].modify_index,
        };
        let stale = [held.clone(), commit(7), take_away.clone()];
        assert!(!a.transact(&stale).await.expect("asked"), "there is nothing that was written at 7");
        assert_eq!(b.read_keys("p/", 0, TTL).await.expect("looked").1, rows, "nothing has changed");
        assert!(a.transact(&[held.clone(), commit(0), take_away]).await.expect("asked"));
        let (_, rows) = b.read_keys("p/", index, TTL).await.expect("looked");
        assert_eq!(
            rows.iter().map(|row| (row.key.as_str(), row.value_text())).collect::<Vec<_>>(),
            [("p/committed", "y".into())]
        );
        assert!(!a.transact(&[held]).await.expect("asked"), "it is held no more");
        // What a session holds goes with it.
        assert!(a.acquire("p/proposal", &first, Bytes::new()).await.expect("asked"));
        a.destroy_session(&first).await;
        assert_eq!(b.read_keys("p/", 0, TTL).await.expect("looked").1.len(), 1);
    });
}

//! Tests of sessions, locks and transactions against the fake Consul, and of the error after a lost response.

mod common;

use bytes::Bytes;
use common::run;
use orchidyoke_consul::Settings;
use orchidyoke_consul::locks::{LockClient, LockError, SessionBehavior, TransactionOperation};
use orchidyoke_consul::response::ResponseError;
use orchidyoke_consul::settings::Consistency;
use orchidyoke_fakes::ConsulServer;
use orchidyoke_fakes::consul::ConsulFault;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

const TTL: Duration = Duration::from_secs(60);
const DELAY: Duration = Duration::from_millis(300);

fn locks(consul: &ConsulServer) -> LockClient {
    // Stale reads are allowed for the catalogue, never for locks.
    let consistency = Consistency::Stale;
    LockClient::new(Rc::new(Settings {
        addresses: vec![consul.address()],
        consistency,
        ..Settings::default()
    }))
}

#[test]
fn released_lock_can_be_acquired_by_another_session() {
    run(async {
        let consul = ConsulServer::start();
        let mut a = locks(&consul);
        let mut b = locks(&consul);
        assert_eq!(a.read_keys("duties/", 0, TTL).await.expect("read").1, Vec::new(), "no keys yet");
        let first = a.create_session("f1", TTL, DELAY, SessionBehavior::Release).await.expect("created");
        let second = b.create_session("f2", TTL, DELAY, SessionBehavior::Release).await.expect("created");
        assert!(a.acquire("duties/a b", &first, Bytes::from_static(b"f1")).await.expect("answered"));
        assert!(!b.acquire("duties/a b", &second, Bytes::new()).await.expect("answered"));
        let (index, keys) = b.read_keys("duties/", 0, TTL).await.expect("read");
        assert_eq!((keys.len(), keys[0].session.as_deref()), (1, Some(first.as_str())));
        let first_index = keys[0].modify_index;
        let (read, released) = tokio::join!(b.read_keys("duties/", index, TTL), async {
            sleep(Duration::from_millis(50)).await;
            a.release("duties/a b", &first).await
        });
        assert!(released.expect("answered") && read.expect("read").1[0].session.is_none());
        assert!(
            b.acquire("duties/a b", &second, Bytes::new()).await.expect("answered"),
            "a released lock can be acquired at once"
        );
        let (_, keys) = a.read_keys("duties/", 0, TTL).await.expect("read");
        assert!(keys[0].modify_index > first_index, "a later holder has a higher index");
        assert!(a.renew_session(&first).await.expect("answered"));
        b.destroy_session(&second).await;
        assert!(!b.renew_session(&second).await.expect("answered"));
        assert!(
            !a.acquire("duties/a b", &first, Bytes::new()).await.expect("answered"),
            "the lock delay has not ended"
        );
    });
}

// Guards against a write without a response that is treated as failed, or is retried.
#[test]
fn lock_error_distinguishes_unsent_lost_and_rejected_requests() {
    run(async {
        let consul = ConsulServer::start();
        let mut locks = locks(&consul);
        let session =
            locks.create_session("f1", TTL, DELAY, SessionBehavior::Release).await.expect("created");
        consul.set_fault(ConsulFault::LostWriteAnswers);
        let requests_before = consul.request_count();
        let lost = locks.acquire("duties/1", &session, Bytes::new()).await;
        assert!(matches!(lost, Err(LockError::OutcomeUnknown(_))), "{lost:?}");
        assert_eq!(consul.request_count() - requests_before, 1, "the write is sent once");
        let (_, keys) = locks.read_keys("duties/", 0, TTL).await.expect("read");
        assert_eq!(keys[0].session.as_deref(), Some(session.as_str()), "the write took effect");
        consul.set_fault(ConsulFault::NoLeader { complete: true });
        let rejected = locks.read_keys("duties/", 0, TTL).await;
        assert!(matches!(rejected, Err(LockError::Rejected(ResponseError::NoLeader))), "{rejected:?}");
        consul.set_fault(ConsulFault::Down);
        // The fake takes a moment to stop listening, and to listen again.
        while !matches!(locks.renew_session(&session).await, Err(LockError::NotSent(_))) {
            sleep(Duration::from_millis(5)).await;
        }
        consul.set_fault(ConsulFault::None);
        let renewed = loop {
            match locks.renew_session(&session).await {
                Err(LockError::NotSent(_)) => sleep(Duration::from_millis(5)).await,
                renewed => break renewed,
            }
        };
        assert!(renewed.expect("answered"), "a session still exists after its connections were closed");
    });
}

// Guards against a transaction that is applied in part, and against one that is applied although a key that it checks
// has changed.
#[test]
fn transaction_applies_all_operations_or_none() {
    run(async {
        let consul = ConsulServer::start();
        let mut a = locks(&consul);
        let mut b = locks(&consul);
        let first =
            a.create_session("op", TTL, Duration::ZERO, SessionBehavior::Delete).await.expect("created");
        assert!(a.acquire("p/proposal", &first, Bytes::from_static(b"x")).await.expect("answered"));
        let (index, keys) = b.read_keys("p/", 0, TTL).await.expect("read");
        let held = TransactionOperation::CheckHeld {
            key: "p/proposal".into(),
            modify_index: keys[0].modify_index,
            session: first.clone(),
        };
        let commit = |index| TransactionOperation::CheckAndSet {
            key: "p/committed".into(),
            modify_index: index,
            value: Bytes::from_static(b"y"),
        };
        let delete_proposal = TransactionOperation::CheckAndDelete {
            key: "p/proposal".into(),
            modify_index: keys[0].modify_index,
        };
        let stale = [held.clone(), commit(7), delete_proposal.clone()];
        assert!(!a.transact(&stale).await.expect("answered"), "no key was last written at index 7");
        assert_eq!(b.read_keys("p/", 0, TTL).await.expect("read").1, keys, "nothing has changed");
        assert!(a.transact(&[held.clone(), commit(0), delete_proposal]).await.expect("answered"));
        let (_, keys) = b.read_keys("p/", index, TTL).await.expect("read");
        assert_eq!(
            keys.iter().map(|key| (key.key.as_str(), key.value_text())).collect::<Vec<_>>(),
            [("p/committed", "y".into())]
        );
        assert!(!a.transact(&[held]).await.expect("answered"), "the lock is no longer held");
        // The session deletes its keys when it ends.
        assert!(a.acquire("p/proposal", &first, Bytes::new()).await.expect("answered"));
        a.destroy_session(&first).await;
        assert_eq!(b.read_keys("p/", 0, TTL).await.expect("read").1.len(), 1);
    });
}

//! Tests of the locks, sessions, check-and-set operations and transactions of the store, in virtual time.

use super::*;

const SECOND: Duration = Duration::from_secs(1);

fn session(store: &mut Store, now: Instant) -> String {
    let body = json!({"TTL": "10s", "LockDelay": "5s", "Behavior": "release"});
    store.create_session(now, &body).expect("a session")
}

#[test]
fn expired_session_leaves_its_lock_in_lock_delay() {
    let (mut store, start) = (Store::default(), Instant::now());
    let (a, b) = (session(&mut store, start), session(&mut store, start));
    let acquire =
        |store: &mut Store, at, id: &String| store.put(at, "k", Vec::new(), &Write::Acquire(id.clone()));
    assert_eq!(acquire(&mut store, start, &a), Ok(true));
    assert_eq!(acquire(&mut store, start, &b), Ok(false));
    assert_eq!(acquire(&mut store, start, &a), Ok(true), "the holder can acquire its lock again");
    let row = store.read("k", false).expect("there")[0].clone();
    assert_eq!((row["LockIndex"].as_u64(), row["Session"].as_str()), (Some(1), Some(a.as_str())));
    // Session b is renewed, session a is not.
    assert!(store.renew_session(start + 12 * SECOND, &b));
    store.expire(start + 15 * SECOND);
    assert!(
        !store.renew_session(start + 15 * SECOND, &a)
            && acquire(&mut store, start + 15 * SECOND, &a).is_err()
    );
    assert_eq!(acquire(&mut store, start + 19 * SECOND, &b), Ok(false), "the lock delay has not ended");
    assert_eq!(acquire(&mut store, start + 20 * SECOND, &b), Ok(true));
    let later = store.read("k", false).expect("there")[0].clone();
    assert!(later["ModifyIndex"].as_u64() > row["ModifyIndex"].as_u64());
}

#[test]
fn released_lock_is_free_at_once_and_indexes_outlast_a_deletion() {
    let (mut store, now) = (Store::default(), Instant::now());
    let (a, b) = (session(&mut store, now), session(&mut store, now));
    assert_eq!(store.put(now, "k", Vec::new(), &Write::Acquire(a.clone())), Ok(true));
    assert_eq!(store.put(now, "k", Vec::new(), &Write::Release(b.clone())), Ok(false));
    assert_eq!(store.put(now, "k", Vec::new(), &Write::Release(a)), Ok(true));
    assert_eq!(store.put(now, "k", Vec::new(), &Write::Acquire(b.clone())), Ok(true));
    let before = store.read("k", false).expect("there")[0].clone();
    assert!(!store.delete("k", false, Some(1)) && store.delete("k", false, None));
    assert_eq!(store.read("k", false), None);
    assert_eq!(store.put(now, "k", b"x".to_vec(), &Write::Acquire(b)), Ok(true));
    let after = store.read("", true).expect("there")[0].clone();
    assert_eq!((before["LockIndex"].as_u64(), after["LockIndex"].as_u64()), (Some(2), Some(1)));
    assert!(after["ModifyIndex"].as_u64() > before["ModifyIndex"].as_u64());
    assert_eq!(after["Value"], "eA==");
}

// Guards against a transaction that is applied in part, and against one that passes a failed check.
#[test]
fn transaction_applies_all_operations_or_none() {
    let (mut store, now) = (Store::default(), Instant::now());
    let a = session(&mut store, now);
    assert_eq!(store.put(now, "lock", Vec::new(), &Write::Acquire(a.clone())), Ok(true));
    let index = store.index;
    let kv = |verb: &str, key: &str, index: u64| json!({"KV": {"Verb": verb, "Key": key, "Index": index, "Value": "eA=="}});
    let held = json!({"KV": {"Verb": "check-session", "Key": "lock", "Session": a}});
    let (status, body) =
        store.transact(now, &json!([held, kv("set", "k", 0), kv("check-index", "lock", index + 1)]));
    assert_eq!((status, body["Errors"][0]["OpIndex"].as_u64()), (409, Some(2)));
    assert_eq!((store.index, store.read("k", false)), (index, None), "no operation is applied");
    let (status, _) = store.transact(
        now,
        &json!([held, kv("check-index", "lock", index), kv("cas", "k", 0), kv("delete", "lock", 0)]),
    );
    assert_eq!(status, 200);
    assert!(store.read("k", false).is_some() && store.read("lock", false).is_none());
    assert_eq!(store.transact(now, &json!([held])).0, 409, "no session holds the lock any more");
    assert_eq!(store.transact(now, &json!([kv("cas", "k", 0)])).0, 409, "the key exists already");
    // The index of a key does not change with another key. The index of a prefix changes with each key below it, also
    // when a key is deleted.
    assert!(store.index_of("k", false) > 1 && store.index_of("other", true) == 1);
    assert!(store.index_of("lock", false) >= store.index_of("k", false));
}

#[test]
fn check_and_set_applies_only_at_the_expected_index() {
    let (mut store, now) = (Store::default(), Instant::now());
    let done = |store: &mut Store, index| store.put(now, "k", Vec::new(), &Write::Cas(index));
    assert_eq!(
        (done(&mut store, 1), done(&mut store, 0), done(&mut store, 0)),
        (Ok(false), Ok(true), Ok(false))
    );
    let index = store.index;
    assert_eq!((done(&mut store, index - 1), done(&mut store, index)), (Ok(false), Ok(true)));
    assert!(store.create_session(now, &json!({"TTL": "soon"})).is_err());
}

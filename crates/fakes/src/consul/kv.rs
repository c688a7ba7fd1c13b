//! Consul's sessions and key-value store, as the stand-in has them. No I/O: each change is given its moment.
//!
//! After <https://developer.hashicorp.com/consul/api-docs/session>, <https://developer.hashicorp.com/consul/api-docs/kv> and
//! <https://developer.hashicorp.com/consul/docs/automate/session>. A session that is not renewed ends at some moment
//! between one and two times its TTL; here at a part that can be set. A lock whose session has ended, by whatever,
//! is given to nobody for the lock-delay; one that was given back is free at once.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::ops::Bound;
use std::time::{Duration, Instant};

#[derive(Debug)]
struct Session {
    ttl: Option<Duration>,
    lock_delay: Duration,
    /// Its keys go with it (`delete`), or stay without a holder (`release`).
    deletes: bool,
    ends: Option<Instant>,
}

#[derive(Clone, Debug, Default)]
struct Key {
    value: Vec<u8>,
    created: u64,
    modified: u64,
    /// How often its lock was taken.
    taken: u64,
    session: Option<String>,
}

/// How a key is written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Write {
    Plain,
    /// Only if it was last modified at this index; 0: only if there is none.
    Cas(u64),
    Acquire(String),
    Release(String),
}

/// All of it.
#[derive(Debug)]
pub(crate) struct Store {
    /// The index of the last write.
    pub(crate) index: u64,
    sessions: BTreeMap<String, Session>,
    keys: BTreeMap<String, Key>,
    /// Keys that were taken away, with the index of that: whoever waits below hears of it.
    graves: BTreeMap<String, u64>,
    closed: BTreeMap<String, Instant>,
    made: u64,
    /// After how many TTLs a session ends that is not renewed.
    pub(crate) ends_after: f64,
}

impl Default for Store {
    fn default() -> Self {
        Store {
            index: 1,
            sessions: BTreeMap::new(),
            keys: BTreeMap::new(),
            graves: BTreeMap::new(),
            closed: BTreeMap::new(),
            made: 0,
            ends_after: 1.5,
        }
    }
}

/// The entry of this name, or all whose names begin so.
fn below<'a, T>(
    entries: &'a BTreeMap<String, T>,
    name: &'a str,
    recurse: bool,
) -> impl Iterator<Item = (&'a String, &'a T)> {
    let from = entries.range::<str, _>((Bound::Included(name), Bound::Unbounded));
    from.take_while(move |(key, _)| if recurse { key.starts_with(name) } else { *key == name })
}

impl Store {
    /// Makes a session from the body of the question; says what is wrong with it otherwise.
    pub(crate) fn create(&mut self, now: Instant, body: &Value) -> Result<String, String> {
        let span = |name: &str| match body.get(name).and_then(Value::as_str) {
            None | Some("") => Ok(None),
            Some(text) => super::duration::parse_duration(text)
                .map(Some)
                .ok_or_else(|| format!("Request decode failed: {name}")),
        };
        let (ttl, lock_delay) = (span("TTL")?, span("LockDelay")?.unwrap_or(Duration::from_secs(15)));
        let deletes = body.get("Behavior").and_then(Value::as_str) == Some("delete");
        self.made += 1;
        self.index += 1;
        let id = format!("{:08x}-0000-4000-8000-{:012x}", self.made, self.index);
        let ends = ttl.map(|ttl| now + ttl.mul_f64(self.ends_after));
        self.sessions.insert(id.clone(), Session { ttl, lock_delay, deletes, ends });
        Ok(id)
    }

    /// Renews a session; whether there is one.
    pub(crate) fn renew(&mut self, now: Instant, id: &str) -> bool {
        let after = self.ends_after;
        let Some(session) = self.sessions.get_mut(id) else { return false };
        session.ends = session.ttl.map(|ttl| now + ttl.mul_f64(after));
        true
    }

    /// Ends a session, and with it its locks.
    pub(crate) fn destroy(&mut self, now: Instant, id: &str) {
        let Some(session) = self.sessions.remove(id) else { return };
        self.index += 1;
        let held: Vec<_> = self
            .keys
            .iter()
            .filter(|(_, key)| key.session.as_deref() == Some(id))
            .map(|(n, _)| n.clone())
            .collect();
        for name in held {
            self.closed.insert(name.clone(), now + session.lock_delay);
            if session.deletes {
                self.remove(&name, self.index);
            } else if let Some(key) = self.keys.get_mut(&name) {
                (key.session, key.modified) = (None, self.index);
            }
        }
    }

    /// Ends the sessions whose time is over; gives when the next one is.
    pub(crate) fn expire(&mut self, now: Instant) -> Option<Instant> {
        let over = |session: &Session| session.ends.is_some_and(|ends| ends <= now);
        let ids: Vec<_> = self.sessions.iter().filter(|(_, s)| over(s)).map(|(id, _)| id.clone()).collect();
        ids.iter().for_each(|id| self.destroy(now, id));
        self.sessions.values().filter_map(|session| session.ends).min()
    }

    /// Writes a key; whether that was done. An unknown session is an error.
    pub(crate) fn put(
        &mut self,
        now: Instant,
        name: &str,
        value: Vec<u8>,
        how: &Write,
    ) -> Result<bool, String> {
        if let Write::Acquire(id) | Write::Release(id) = how
            && !self.sessions.contains_key(id)
        {
            return Err(format!("invalid session {id:?}"));
        }
        let old = self.keys.get(name);
        let holder = old.and_then(|key| key.session.as_ref());
        let closed = self.closed.get(name).is_some_and(|until| *until > now);
        let allowed = match how {
            Write::Plain => true,
            Write::Cas(index) => old.map_or(0, |key| key.modified) == *index,
            Write::Acquire(id) => holder.map_or(!closed, |holder| holder == id),
            Write::Release(id) => holder == Some(id),
        };
        if !allowed {
            return Ok(false);
        }
        self.index += 1;
        let key = self.keys.entry(name.to_owned()).or_insert(Key { created: self.index, ..Key::default() });
        (key.value, key.modified) = (value, self.index);
        match how {
            Write::Acquire(id) if key.session.is_none() => {
                (key.session, key.taken) = (Some(id.clone()), key.taken + 1);
            }
            Write::Release(_) => key.session = None,
            _ => {}
        }
        Ok(true)
    }

    /// Takes a key away, or all with this beginning; where an index is given, only if it was last modified then.
    /// Whether that was done.
    pub(crate) fn delete(&mut self, name: &str, recurse: bool, cas: Option<u64>) -> bool {
        let modified = |store: &Store| store.keys.get(name).map_or(0, |key| key.modified);
        if cas.is_some_and(|index| modified(self) != index) {
            return false;
        }
        self.index += 1;
        let index = self.index;
        let gone: Vec<String> = self
            .keys
            .keys()
            .filter(|key| if recurse { key.starts_with(name) } else { *key == name })
            .cloned()
            .collect();
        for key in gone {
            self.remove(&key, index);
        }
        true
    }

    fn remove(&mut self, key: &str, index: u64) {
        self.keys.remove(key);
        self.graves.insert(key.to_owned(), index);
    }

    /// The index of what is at this key, or below it: of the last write or removal there, 1 where there was none.
    pub(crate) fn index_of(&self, name: &str, recurse: bool) -> u64 {
        let written = below(&self.keys, name, recurse).map(|(_, key)| key.modified);
        let removed = below(&self.graves, name, recurse).map(|(_, index)| *index);
        written.chain(removed).max().unwrap_or(1)
    }

    /// Carries out the operations of a transaction on keys, all or none
    /// (<https://developer.hashicorp.com/consul/api-docs/txn>); gives the answer's status and body.
    pub(crate) fn transact(&mut self, now: Instant, operations: &Value) -> (u16, Value) {
        let Some(operations) = operations.as_array() else {
            return (400, json!("Failed to parse body"));
        };
        if operations.len() > 128 {
            return (
                413,
                json!(format!("Transaction contains too many operations ({} > 128)", operations.len())),
            );
        }
        let before = (self.index, self.keys.clone(), self.graves.clone());
        let mut errors = Vec::new();
        for (number, operation) in operations.iter().enumerate() {
            if let Err(why) = self.operate(now, &operation["KV"]) {
                errors.push(json!({"OpIndex": number, "What": why}));
            }
        }
        if errors.is_empty() {
            return (200, json!({"Results": [], "Errors": null}));
        }
        (self.index, self.keys, self.graves) = before;
        (409, json!({"Results": null, "Errors": errors}))
    }

    fn operate(&mut self, now: Instant, operation: &Value) -> Result<(), String> {
        let text = |name: &str| operation[name].as_str().unwrap_or_default().to_owned();
        let (verb, name) = (text("Verb"), text("Key"));
        let index = operation["Index"].as_u64().unwrap_or(0);
        let value = STANDARD.decode(text("Value")).map_err(|error| error.to_string())?;
        let held = self.keys.get(&name).cloned();
        let stale = || format!("failed to {verb} key \"{name}\", index is stale");
        match verb.as_str() {
            "set" => self.put(now, &name, value, &Write::Plain).map(drop),
            "cas" if self.put(now, &name, value, &Write::Cas(index))? => Ok(()),
            "delete" => {
                self.delete(&name, false, None);
                Ok(())
            }
            "delete-cas" if self.delete(&name, false, Some(index)) => Ok(()),
            "check-index" if held.as_ref().is_some_and(|key| key.modified == index) => Ok(()),
            "check-session"
                if held
                    .as_ref()
                    .is_some_and(|key| key.session.as_deref() == operation["Session"].as_str()) =>
            {
                Ok(())
            }
            "check-not-exists" if held.is_none() => Ok(()),
            "cas" | "delete-cas" | "check-index" => Err(stale()),
            "check-session" | "check-not-exists" => Err(format!("failed {verb} of key \"{name}\"")),
            other => Err(format!("unknown KV verb \"{other}\"")),
        }
    }

    /// A key, or all with this beginning, in the form of the API; none where there is none.
    pub(crate) fn read(&self, name: &str, recurse: bool) -> Option<Value> {
        let rows: Vec<Value> = below(&self.keys, name, recurse)
            .map(|(name, key)| {
                let mut row = json!({"LockIndex": key.taken, "Key": name, "Flags": 0, "Value": STANDARD.encode(&key.value),
                    "CreateIndex": key.created, "ModifyIndex": key.modified});
                if let Some(session) = &key.session {
                    row["Session"] = json!(session);
                }
                row
            })
            .collect();
        (!rows.is_empty()).then_some(Value::Array(rows))
    }

    /// A session in the form of the API; an empty list where there is none.
    pub(crate) fn info(&self, id: &str) -> Value {
        let row = |session: &Session| {
            json!({"ID": id, "TTL": session.ttl.map_or(String::new(), |ttl| format!("{}ms", ttl.as_millis())),
                "LockDelay": session.lock_delay.as_nanos() as u64,
                "Behavior": if session.deletes { "delete" } else { "release" }})
        };
        Value::Array(self.sessions.get(id).map(row).into_iter().collect())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: Duration = Duration::from_secs(1);

    fn session(store: &mut Store, now: Instant) -> String {
        let body = json!({"TTL": "10s", "LockDelay": "5s", "Behavior": "release"});
        store.create(now, &body).expect("a session")
    }

    #[test]
    fn a_lock_has_one_holder_and_a_session_that_ends_leaves_it_closed_for_a_while() {
        let (mut store, start) = (Store::default(), Instant::now());
        let (a, b) = (session(&mut store, start), session(&mut store, start));
        let take =
            |store: &mut Store, at, id: &String| store.put(at, "k", Vec::new(), &Write::Acquire(id.clone()));
        assert_eq!(take(&mut store, start, &a), Ok(true));
        assert_eq!(take(&mut store, start, &b), Ok(false));
        assert_eq!(take(&mut store, start, &a), Ok(true), "taking it again is no second taking");
        let row = store.read("k", false).expect("there")[0].clone();
        assert_eq!((row["LockIndex"].as_u64(), row["Session"].as_str()), (Some(1), Some(a.as_str())));
        // b is renewed, a is not.
        assert!(store.renew(start + 12 * S, &b));
        store.expire(start + 15 * S);
        assert!(!store.renew(start + 15 * S, &a) && take(&mut store, start + 15 * S, &a).is_err());
        assert_eq!(take(&mut store, start + 19 * S, &b), Ok(false), "the lock-delay");
        assert_eq!(take(&mut store, start + 20 * S, &b), Ok(true));
        let later = store.read("k", false).expect("there")[0].clone();
        assert!(later["ModifyIndex"].as_u64() > row["ModifyIndex"].as_u64());
    }

    #[test]
    fn what_is_given_back_is_free_at_once_and_indexes_outlast_a_removal() {
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

    // Guards against a transaction that is half done, and against one that passes a check that does not hold.
    #[test]
    fn a_transaction_is_done_as_a_whole_or_not_at_all() {
        let (mut store, now) = (Store::default(), Instant::now());
        let a = session(&mut store, now);
        assert_eq!(store.put(now, "lock", Vec::new(), &Write::Acquire(a.clone())), Ok(true));
        let at = store.index;
        let kv = |verb: &str, key: &str, index: u64| json!({"KV": {"Verb": verb, "Key": key, "Index": index, "Value": "eA=="}});
        let held = json!({"KV": {"Verb": "check-session", "Key": "lock", "Session": a}});
        let (status, body) =
            store.transact(now, &json!([held, kv("set", "k", 0), kv("check-index", "lock", at + 1)]));
        assert_eq!((status, body["Errors"][0]["OpIndex"].as_u64()), (409, Some(2)));
        assert_eq!((store.index, store.read("k", false)), (at, None), "nothing of it is there");
        let (status, _) = store.transact(
            now,
            &json!([held, kv("check-index", "lock", at), kv("cas", "k", 0), kv("delete", "lock", 0)]),
        );
        assert_eq!(status, 200);
        assert!(store.read("k", false).is_some() && store.read("lock", false).is_none());
        assert_eq!(store.transact(now, &json!([held])).0, 409, "nobody holds it any more");
        assert_eq!(store.transact(now, &json!([kv("cas", "k", 0)])).0, 409, "it is there already");
        // Who waits at one key does not hear of another; who waits above hears of both, also that one is gone.
        assert!(store.index_of("k", false) > 1 && store.index_of("other", true) == 1);
        assert!(store.index_of("lock", false) >= store.index_of("k", false));
    }

    #[test]
    fn a_check_and_set_is_done_only_on_what_was_read() {
        let (mut store, now) = (Store::default(), Instant::now());
        let done = |store: &mut Store, index| store.put(now, "k", Vec::new(), &Write::Cas(index));
        assert_eq!(
            (done(&mut store, 1), done(&mut store, 0), done(&mut store, 0)),
            (Ok(false), Ok(true), Ok(false))
        );
        let index = store.index;
        assert_eq!((done(&mut store, index - 1), done(&mut store, index)), (Ok(false), Ok(true)));
        assert!(store.create(now, &json!({"TTL": "soon"})).is_err());
    }
}

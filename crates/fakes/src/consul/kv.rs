//! Implements Consul's sessions and key-value store. This module does no I/O. Each change takes the current time as an
//! argument, so that tests can use virtual time.
//!
//! It is written from <https://developer.hashicorp.com/consul/api-docs/session>,
//! <https://developer.hashicorp.com/consul/api-docs/kv> and
//! <https://developer.hashicorp.com/consul/docs/automate/session>. Consul ends a session that is not renewed at some
//! time between one and two times its TTL; here the factor can be set. After a session has ended, its locks cannot be
//! acquired for the lock delay. A lock that was released can be acquired at once.

mod transaction;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::ops::Bound;
use std::time::{Duration, Instant};

/// Consul's default lock delay.
const DEFAULT_LOCK_DELAY: Duration = Duration::from_secs(15);

#[derive(Debug)]
struct Session {
    ttl: Option<Duration>,
    lock_delay: Duration,
    /// Whether the keys that it has locked are deleted when it ends (`delete`). Otherwise their locks are released
    /// (`release`).
    deletes_keys: bool,
    expires_at: Option<Instant>,
}

#[derive(Clone, Debug, Default)]
struct Key {
    value: Vec<u8>,
    created_index: u64,
    modified_index: u64,
    /// How many times its lock has been acquired.
    lock_index: u64,
    session: Option<String>,
}

/// The condition under which a key is written, and the effect of the write on its lock.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Write {
    Unconditional,
    /// The key is written only if it was last modified at this index. With 0 it is written only if it does not exist.
    Cas(u64),
    /// The key is written only if this session holds its lock or can acquire it.
    Acquire(String),
    /// The key is written only if this session holds its lock. The lock is released.
    Release(String),
}

/// Sessions and keys of the server.
#[derive(Debug)]
pub(crate) struct Store {
    /// The index of the last write.
    pub(crate) index: u64,
    sessions: BTreeMap<String, Session>,
    keys: BTreeMap<String, Key>,
    /// The index at which each deleted key was deleted, so that blocking queries see the deletion.
    removed_at: BTreeMap<String, u64>,
    /// When the lock delay of each key ends.
    lock_delay_until: BTreeMap<String, Instant>,
    sessions_created: u64,
    /// A session that is not renewed ends after its TTL times this factor.
    pub(crate) expiry_factor: f64,
}

impl Default for Store {
    fn default() -> Self {
        Store {
            index: 1,
            sessions: BTreeMap::new(),
            keys: BTreeMap::new(),
            removed_at: BTreeMap::new(),
            lock_delay_until: BTreeMap::new(),
            sessions_created: 0,
            expiry_factor: 1.5,
        }
    }
}

/// Returns the entry with this key or, with `recurse`, all entries whose keys begin with it.
fn matching<'a, T>(
    entries: &'a BTreeMap<String, T>,
    name: &'a str,
    recurse: bool,
) -> impl Iterator<Item = (&'a String, &'a T)> {
    let from = entries.range::<str, _>((Bound::Included(name), Bound::Unbounded));
    from.take_while(move |(key, _)| if recurse { key.starts_with(name) } else { *key == name })
}

/// Parses a duration in the body of a request. Returns `None` if it is missing or empty. The error is the text of the
/// answer.
fn read_duration(body: &Value, name: &str) -> Result<Option<Duration>, String> {
    match body.get(name).and_then(Value::as_str) {
        None | Some("") => Ok(None),
        Some(text) => super::duration::parse_duration(text)
            .map(Some)
            .ok_or_else(|| format!("Request decode failed: {name}")),
    }
}

impl Store {
    /// Creates a session from the body of a request and returns its id. The error is the text of the answer.
    pub(crate) fn create_session(&mut self, now: Instant, body: &Value) -> Result<String, String> {
        let ttl = read_duration(body, "TTL")?;
        let lock_delay = read_duration(body, "LockDelay")?.unwrap_or(DEFAULT_LOCK_DELAY);
        let deletes_keys = body.get("Behavior").and_then(Value::as_str) == Some("delete");
        self.sessions_created += 1;
        self.index += 1;
        let id = format!("{:08x}-0000-4000-8000-{:012x}", self.sessions_created, self.index);
        let expires_at = ttl.map(|ttl| now + ttl.mul_f64(self.expiry_factor));
        self.sessions.insert(id.clone(), Session { ttl, lock_delay, deletes_keys, expires_at });
        Ok(id)
    }

    /// Renews a session. Returns `false` if it does not exist.
    pub(crate) fn renew_session(&mut self, now: Instant, id: &str) -> bool {
        let expiry_factor = self.expiry_factor;
        let Some(session) = self.sessions.get_mut(id) else { return false };
        session.expires_at = session.ttl.map(|ttl| now + ttl.mul_f64(expiry_factor));
        true
    }

    /// Ends a session and releases its locks or deletes its keys.
    pub(crate) fn destroy_session(&mut self, now: Instant, id: &str) {
        let Some(session) = self.sessions.remove(id) else { return };
        self.index += 1;
        let holds = |key: &Key| key.session.as_deref() == Some(id);
        let held: Vec<String> =
            self.keys.iter().filter(|(_, key)| holds(key)).map(|(name, _)| name.clone()).collect();
        for name in held {
            self.lock_delay_until.insert(name.clone(), now + session.lock_delay);
            if session.deletes_keys {
                self.remove(&name, self.index);
            } else if let Some(key) = self.keys.get_mut(&name) {
                key.session = None;
                key.modified_index = self.index;
            }
        }
    }

    /// Ends the sessions that have expired. Returns when the next session expires.
    pub(crate) fn expire(&mut self, now: Instant) -> Option<Instant> {
        let has_expired = |session: &Session| session.expires_at.is_some_and(|at| at <= now);
        let expired: Vec<String> = self
            .sessions
            .iter()
            .filter(|(_, session)| has_expired(session))
            .map(|(id, _)| id.clone())
            .collect();
        expired.iter().for_each(|id| self.destroy_session(now, id));
        self.sessions.values().filter_map(|session| session.expires_at).min()
    }

    /// Writes a key. Returns `false` if the condition does not hold, and an error if the session is unknown.
    pub(crate) fn put(
        &mut self,
        now: Instant,
        name: &str,
        value: Vec<u8>,
        write: &Write,
    ) -> Result<bool, String> {
        if let Write::Acquire(id) | Write::Release(id) = write
            && !self.sessions.contains_key(id)
        {
            return Err(format!("invalid session {id:?}"));
        }
        if !self.allows(now, name, write) {
            return Ok(false);
        }
        self.index += 1;
        let created = Key { created_index: self.index, ..Key::default() };
        let key = self.keys.entry(name.to_owned()).or_insert(created);
        key.value = value;
        key.modified_index = self.index;
        match write {
            Write::Acquire(id) if key.session.is_none() => {
                key.session = Some(id.clone());
                key.lock_index += 1;
            }
            Write::Release(_) => key.session = None,
            _ => {}
        }
        Ok(true)
    }

    fn allows(&self, now: Instant, name: &str, write: &Write) -> bool {
        let key = self.keys.get(name);
        let holder = key.and_then(|key| key.session.as_ref());
        let in_lock_delay = self.lock_delay_until.get(name).is_some_and(|until| *until > now);
        match write {
            Write::Unconditional => true,
            Write::Cas(index) => key.map_or(0, |key| key.modified_index) == *index,
            Write::Acquire(id) => holder.map_or(!in_lock_delay, |holder| holder == id),
            Write::Release(id) => holder == Some(id),
        }
    }

    /// Deletes a key or, with `recurse`, all keys that begin with it. If `expected_index` is given and the key was last
    /// modified at another index, deletes nothing and returns `false`.
    pub(crate) fn delete(&mut self, name: &str, recurse: bool, expected_index: Option<u64>) -> bool {
        let modified_index = self.keys.get(name).map_or(0, |key| key.modified_index);
        if expected_index.is_some_and(|expected| expected != modified_index) {
            return false;
        }
        self.index += 1;
        let deleted: Vec<String> = matching(&self.keys, name, recurse).map(|(key, _)| key.clone()).collect();
        for key in deleted {
            self.remove(&key, self.index);
        }
        true
    }

    fn remove(&mut self, key: &str, index: u64) {
        self.keys.remove(key);
        self.removed_at.insert(key.to_owned(), index);
    }

    /// Returns the index of the last write or deletion of this key or, with `recurse`, of all keys that begin with it.
    /// It is 1 if there was none.
    pub(crate) fn index_of(&self, name: &str, recurse: bool) -> u64 {
        let written = matching(&self.keys, name, recurse).map(|(_, key)| key.modified_index);
        let removed = matching(&self.removed_at, name, recurse).map(|(_, index)| *index);
        written.chain(removed).max().unwrap_or(1)
    }

    /// Returns a key or, with `recurse`, all keys that begin with it, in the format of the API; `None` if there is
    /// none.
    pub(crate) fn read(&self, name: &str, recurse: bool) -> Option<Value> {
        let rows: Vec<Value> =
            matching(&self.keys, name, recurse).map(|(name, key)| key_row(name, key)).collect();
        (!rows.is_empty()).then_some(Value::Array(rows))
    }

    /// Returns a session in the format of the API; an empty list if it does not exist.
    pub(crate) fn session_info(&self, id: &str) -> Value {
        let row = self.sessions.get(id).map(|session| session_row(id, session));
        Value::Array(row.into_iter().collect())
    }
}

fn key_row(name: &str, key: &Key) -> Value {
    let mut row = json!({
        "LockIndex": key.lock_index,
        "Key": name,
        "Flags": 0,
        "Value": STANDARD.encode(&key.value),
        "CreateIndex": key.created_index,
        "ModifyIndex": key.modified_index,
    });
    if let Some(session) = &key.session {
        row["Session"] = json!(session);
    }
    row
}

fn session_row(id: &str, session: &Session) -> Value {
    json!({
        "ID": id,
        "TTL": session.ttl.map_or(String::new(), |ttl| format!("{}ms", ttl.as_millis())),
        "LockDelay": session.lock_delay.as_nanos() as u64,
        "Behavior": if session.deletes_keys { "delete" } else { "release" },
    })
}

#[cfg(test)]
mod tests;

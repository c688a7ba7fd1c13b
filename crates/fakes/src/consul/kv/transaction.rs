//! Implements transactions on keys, as documented at <https://developer.hashicorp.com/consul/api-docs/txn>.

use super::{Store, Write};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};
use std::time::Instant;

/// Consul's limit on the operations of one transaction.
const MAX_OPERATIONS: usize = 128;

/// One operation of a transaction.
struct Operation {
    verb: String,
    key: String,
    /// The index that `cas`, `delete-cas` and `check-index` compare; 0 if none was given.
    index: u64,
    value: Vec<u8>,
    session: Option<String>,
}

impl Operation {
    fn read(fields: &Value) -> Result<Self, String> {
        let text = |name: &str| fields[name].as_str().unwrap_or_default().to_owned();
        Ok(Operation {
            verb: text("Verb"),
            key: text("Key"),
            index: fields["Index"].as_u64().unwrap_or(0),
            value: STANDARD.decode(text("Value")).map_err(|error| error.to_string())?,
            session: fields["Session"].as_str().map(str::to_owned),
        })
    }
}

impl Store {
    /// Carries out all operations of a transaction or none of them. Returns the status and the body of the answer.
    pub(crate) fn transact(&mut self, now: Instant, operations: &Value) -> (u16, Value) {
        let Some(operations) = operations.as_array() else {
            return (400, json!("Failed to parse body"));
        };
        let count = operations.len();
        if count > MAX_OPERATIONS {
            let reason = format!("Transaction contains too many operations ({count} > {MAX_OPERATIONS})");
            return (413, json!(reason));
        }
        let index_before = self.index;
        let keys_before = self.keys.clone();
        let removals_before = self.removed_at.clone();
        let mut errors = Vec::new();
        for (number, operation) in operations.iter().enumerate() {
            if let Err(reason) = self.apply(now, &operation["KV"]) {
                errors.push(json!({"OpIndex": number, "What": reason}));
            }
        }
        if errors.is_empty() {
            return (200, json!({"Results": [], "Errors": null}));
        }
        self.index = index_before;
        self.keys = keys_before;
        self.removed_at = removals_before;
        (409, json!({"Results": null, "Errors": errors}))
    }

    fn apply(&mut self, now: Instant, fields: &Value) -> Result<(), String> {
        let Operation { verb, key, index, value, session } = Operation::read(fields)?;
        let stored = self.keys.get(&key).cloned();
        let done = match verb.as_str() {
            "set" => self.put(now, &key, value, &Write::Unconditional).map(|_| true)?,
            "cas" => self.put(now, &key, value, &Write::Cas(index))?,
            "delete" => self.delete(&key, false, None),
            "delete-cas" => self.delete(&key, false, Some(index)),
            "check-index" => stored.is_some_and(|stored| stored.modified_index == index),
            "check-session" => stored.is_some_and(|stored| stored.session == session),
            "check-not-exists" => stored.is_none(),
            other => return Err(format!("unknown KV verb \"{other}\"")),
        };
        match verb.as_str() {
            _ if done => Ok(()),
            "check-session" | "check-not-exists" => Err(format!("failed {verb} of key \"{key}\"")),
            _ => Err(format!("failed to {verb} key \"{key}\", index is stale")),
        }
    }
}

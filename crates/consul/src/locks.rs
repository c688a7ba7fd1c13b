//! A client for sessions, locks and transactions on Consul's keys, for leases and for the policy commit point.
//!
//! The API is documented at <https://developer.hashicorp.com/consul/api-docs/session>,
//! <https://developer.hashicorp.com/consul/api-docs/kv> and <https://developer.hashicorp.com/consul/api-docs/txn>. A
//! write without a response may have taken effect, or may take effect later. It returns [`LockError::OutcomeUnknown`],
//! and this module retries no write.

use crate::client::{Client, ClientError, Connection};
use crate::request::{ApiRequest, Parameter, escape_key_path};
use crate::response::{ResponseError, ResponseHead, parse_body};
use crate::settings::Settings;
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use orchidyoke_forwarder::log;
use serde::Deserialize;
use serde_json::json;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;

/// The HTTP status for a session that does not exist, and for a prefix without keys.
const NOT_FOUND: u16 = 404;
/// The HTTP status for a transaction that was rolled back.
const CONFLICT: u16 = 409;

/// The reason why a request for a session or a key has failed.
#[derive(Debug, Error)]
pub enum LockError {
    /// No connection could be opened, so nothing was sent.
    #[error("request not sent: {0}")]
    NotSent(#[source] ClientError),
    /// The request was sent and had no response. A write may have taken effect, or may take effect later.
    #[error("outcome unknown: {0}")]
    OutcomeUnknown(#[source] ClientError),
    /// Consul has rejected the request, or its response cannot be used.
    #[error("Consul rejected the request: {0}")]
    Rejected(#[from] ResponseError),
}

/// A key with its value and its lock.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "PascalCase")]
pub struct KeyEntry {
    /// The full path of the key.
    pub key: String,
    /// The value in base 64 (RFC 4648, section 4), as Consul sends it; `None` if it is empty.
    #[serde(default)]
    pub value: Option<String>,
    /// The session that holds the key's lock; `None` if no session holds it.
    pub session: Option<String>,
    /// The index of the last write to the key.
    pub modify_index: u64,
}

impl KeyEntry {
    /// Returns the value as text; empty if it is not UTF-8.
    pub fn value_text(&self) -> String {
        let bytes = self.value.as_ref().and_then(|value| STANDARD.decode(value).ok()).unwrap_or_default();
        String::from_utf8(bytes).unwrap_or_default()
    }
}

/// What Consul does with the keys that a session has locked when the session ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionBehavior {
    /// Their locks are released.
    Release,
    /// They are deleted.
    Delete,
}

impl SessionBehavior {
    fn as_str(self) -> &'static str {
        match self {
            SessionBehavior::Release => "release",
            SessionBehavior::Delete => "delete",
        }
    }
}

/// One operation of a transaction, on the key with this full path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TransactionOperation {
    /// Writes the key. Fails the transaction unless the key's last write had this index.
    CheckAndSet {
        /// The key.
        key: String,
        /// The index of its last write; 0 if it must not exist.
        modify_index: u64,
        /// Its new value.
        value: Bytes,
    },
    /// Deletes the key. Fails the transaction unless the key's last write had this index.
    CheckAndDelete {
        /// The key.
        key: String,
        /// The index of its last write.
        modify_index: u64,
    },
    /// Changes nothing; fails the transaction unless the key's last write had this index and this session holds its
    /// lock.
    CheckHeld {
        /// The key.
        key: String,
        /// The index of its last write.
        modify_index: u64,
        /// The session that must hold its lock.
        session: String,
    },
}

impl TransactionOperation {
    /// Returns the operations of the API for this one. An operation of the API makes at most one check.
    fn to_json(&self) -> Vec<serde_json::Value> {
        match self {
            TransactionOperation::CheckAndSet { key, modify_index, value } => {
                let value = STANDARD.encode(value);
                vec![json!({"KV": {"Verb": "cas", "Key": key, "Index": modify_index, "Value": value}})]
            }
            TransactionOperation::CheckAndDelete { key, modify_index } => {
                vec![json!({"KV": {"Verb": "delete-cas", "Key": key, "Index": modify_index}})]
            }
            TransactionOperation::CheckHeld { key, modify_index, session } => vec![
                json!({"KV": {"Verb": "check-index", "Key": key, "Index": modify_index}}),
                json!({"KV": {"Verb": "check-session", "Key": key, "Session": session}}),
            ],
        }
    }
}

/// The response to the creation of a session.
#[derive(Deserialize)]
struct CreatedSession {
    #[serde(rename = "ID")]
    id: String,
}

/// A client for sessions, locks and transactions: one connection, one request at a time.
pub struct LockClient {
    client: Client,
    idle_connection: Option<Connection>,
}

impl LockClient {
    /// Creates a client for the Consul of these settings. No connection is opened yet.
    pub fn new(settings: Rc<Settings>) -> Self {
        LockClient { client: Client::new(settings), idle_connection: None }
    }

    async fn send(&mut self, request: &ApiRequest) -> Result<(ResponseHead, Bytes), LockError> {
        let idle =
            self.idle_connection.take().filter(|connection| self.client.is_reusable_after_rest(connection));
        let mut connection = match idle {
            Some(connection) => connection,
            None => self.client.connect().await.map_err(LockError::NotSent)?,
        };
        let response = self.client.send(&mut connection, request).await.map_err(LockError::OutcomeUnknown)?;
        self.idle_connection = Some(connection);
        Ok(response)
    }

    async fn write(
        &mut self,
        path: String,
        parameters: Vec<Parameter>,
        body: Bytes,
    ) -> Result<(ResponseHead, Bytes), LockError> {
        self.send(&ApiRequest::write(path, parameters, body)).await
    }

    /// Creates a session and returns its id. The session ends when it is not renewed within `ttl`. After that, nobody
    /// can acquire the locks that it held for `lock_delay`.
    ///
    /// # Errors
    ///
    /// Returns any error of [`LockError`].
    pub async fn create_session(
        &mut self,
        name: &str,
        ttl: Duration,
        lock_delay: Duration,
        behavior: SessionBehavior,
    ) -> Result<String, LockError> {
        let milliseconds = |span: Duration| format!("{}ms", span.as_millis());
        let body = json!({
            "Name": name,
            "TTL": milliseconds(ttl),
            "LockDelay": milliseconds(lock_delay),
            "Behavior": behavior.as_str(),
        });
        let body = Bytes::from(body.to_string());
        let (head, body) = self.write("/v1/session/create".to_owned(), Vec::new(), body).await?;
        head.error().map_or(Ok(()), Err)?;
        let created: CreatedSession = parse_body(&body)?;
        Ok(created.id)
    }

    /// Renews a session. Returns whether it still exists.
    ///
    /// # Errors
    ///
    /// Returns any error of [`LockError`].
    pub async fn renew_session(&mut self, session: &str) -> Result<bool, LockError> {
        let path = format!("/v1/session/renew/{}", escape_key_path(session));
        let (head, _) = self.write(path, Vec::new(), Bytes::new()).await?;
        match head.error() {
            None => Ok(true),
            Some(ResponseError::Status(NOT_FOUND)) => Ok(false),
            Some(error) => Err(error.into()),
        }
    }

    /// Ends a session if it still exists. A failure is only logged, because the session expires by itself.
    pub async fn destroy_session(&mut self, session: &str) {
        let path = format!("/v1/session/destroy/{}", escape_key_path(session));
        let response = self.write(path, Vec::new(), Bytes::new()).await;
        let error = match response {
            Ok((head, _)) => head.error().map(LockError::Rejected),
            Err(error) => Some(error),
        };
        if let Some(error) = error {
            let error = error.to_string();
            log!("Consul: session not ended, it will expire: session={session} error={error:?}");
        }
    }

    /// Acquires a key's lock for a session and writes the key's value. Returns whether the session holds the lock.
    ///
    /// # Errors
    ///
    /// Returns any error of [`LockError`].
    pub async fn acquire(&mut self, key: &str, session: &str, value: Bytes) -> Result<bool, LockError> {
        self.update_lock(key, "acquire", session, value).await
    }

    /// Releases a key's lock and empties the key's value. Returns whether the session held the lock.
    ///
    /// # Errors
    ///
    /// Returns any error of [`LockError`].
    pub async fn release(&mut self, key: &str, session: &str) -> Result<bool, LockError> {
        self.update_lock(key, "release", session, Bytes::new()).await
    }

    async fn update_lock(
        &mut self,
        key: &str,
        operation: &'static str,
        session: &str,
        value: Bytes,
    ) -> Result<bool, LockError> {
        let parameters = vec![(operation, Some(session.to_owned()))];
        let path = format!("/v1/kv/{}", escape_key_path(key));
        let (head, body) = self.write(path, parameters, value).await?;
        head.error().map_or(Ok(()), Err)?;
        Ok(parse_body(&body)?)
    }

    /// Carries out all of these operations or none of them. Returns whether they were carried out.
    ///
    /// # Errors
    ///
    /// Returns any error of [`LockError`]. After [`LockError::OutcomeUnknown`] the operations may have been carried
    /// out, or may be carried out later.
    pub async fn transact(&mut self, operations: &[TransactionOperation]) -> Result<bool, LockError> {
        let body: Vec<_> = operations.iter().flat_map(TransactionOperation::to_json).collect();
        let body = Bytes::from(serde_json::Value::Array(body).to_string());
        let (head, _) = self.write("/v1/txn".to_owned(), Vec::new(), body).await?;
        match head.error() {
            None => Ok(true),
            Some(ResponseError::Status(CONFLICT)) => Ok(false),
            Some(error) => Err(error.into()),
        }
    }

    /// Reads the keys that begin with `prefix` from the leader. Returns the index of this read and the keys. If `index`
    /// is that of the last read, the request is a blocking query that waits for a change, for `wait` at most.
    ///
    /// # Errors
    ///
    /// Returns any error of [`LockError`].
    pub async fn read_keys(
        &mut self,
        prefix: &str,
        index: u64,
        wait: Duration,
    ) -> Result<(u64, Vec<KeyEntry>), LockError> {
        let (head, body) = self.send(&ApiRequest::read_keys(prefix, index, wait)).await?;
        let index = head.parsed_index().unwrap_or(0);
        match head.error() {
            None => Ok((index, parse_body(&body)?)),
            // No key has the prefix. The response is valid only if the server knows a leader.
            Some(ResponseError::Status(NOT_FOUND)) if index > 0 && !head.leaderless => {
                Ok((index, Vec::new()))
            }
            Some(error) => Err(error.into()),
        }
    }
}

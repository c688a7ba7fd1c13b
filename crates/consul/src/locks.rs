//! Sessions and locks: the writes that duties shared among forwarders rest on, and the look at who holds what.
//!
//! After <https://developer.hashicorp.com/consul/api-docs/session>, <https://developer.hashicorp.com/consul/api-docs/kv> and
//! <https://developer.hashicorp.com/consul/api-docs/txn>.
//! A write without an answer may have taken effect, or may do so later: [`LockError::Unsure`] says so, and no write is sent
//! a second time here.

use crate::client::{Client, ClientError, Connection};
use crate::request::{ApiRequest, escape_key_path};
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

/// Why a write or a look has come to nothing.
#[derive(Debug, Error)]
pub enum LockError {
    /// There was no connection: nothing was sent.
    #[error("not sent: {0}")]
    Unsent(ClientError),
    /// It was sent and not answered: it may have taken effect, or may do so later.
    #[error("without an answer: {0}")]
    Unsure(ClientError),
    /// Consul has refused it.
    #[error("{0}")]
    Refused(ResponseError),
}

/// A key as a look finds it.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "PascalCase")]
pub struct Row {
    /// Its whole name.
    pub key: String,
    /// Its value in base 64 (RFC 4648, section 4), as Consul writes it; none where it is empty.
    #[serde(default)]
    pub value: Option<String>,
    /// The session that holds its lock.
    pub session: Option<String>,
    /// The index of the write that last changed it.
    pub modify_index: u64,
}

impl Row {
    /// The value as text; what is none is left out.
    pub fn text(&self) -> String {
        let bytes = self.value.as_ref().and_then(|value| STANDARD.decode(value).ok()).unwrap_or_default();
        String::from_utf8(bytes).unwrap_or_default()
    }
}

/// What becomes of the keys that a session holds when it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behavior {
    /// They stay, with no holder.
    Release,
    /// They go with it.
    Delete,
}

/// One operation of a transaction, on the key of this whole name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Writes it if it was last modified at this index; 0: if there is none.
    Cas(String, u64, Bytes),
    /// Takes it away if it was last modified at this index.
    DeleteCas(String, u64),
    /// It was last modified at this index, and is held by this session.
    CheckHeld(String, u64, String),
}

impl Operation {
    /// In the form of the API, one or two operations.
    fn json(&self) -> Vec<serde_json::Value> {
        match self {
            Operation::Cas(key, index, value) => {
                vec![
                    json!({"KV": {"Verb": "cas", "Key": key, "Index": index, "Value": STANDARD.encode(value)}}),
                ]
            }
            Operation::DeleteCas(key, index) => {
                vec![json!({"KV": {"Verb": "delete-cas", "Key": key, "Index": index}})]
            }
            Operation::CheckHeld(key, index, session) => vec![
                json!({"KV": {"Verb": "check-index", "Key": key, "Index": index}}),
                json!({"KV": {"Verb": "check-session", "Key": key, "Session": session}}),
            ],
        }
    }
}

#[derive(Deserialize)]
struct Made {
    #[serde(rename = "ID")]
    id: String,
}

/// One connection for sessions and locks, one question at a time.
pub struct Locks {
    client: Client,
    connection: Option<Connection>,
}

impl Locks {
    /// For the Consul of these settings. Nothing is opened yet.
    pub fn new(settings: Rc<Settings>) -> Self {
        Locks { client: Client::new(settings), connection: None }
    }

    async fn ask(&mut self, request: &ApiRequest) -> Result<(ResponseHead, Bytes), LockError> {
        let at_hand = self.connection.take().filter(|connection| self.client.is_reusable(connection));
        let mut connection = match at_hand {
            Some(connection) => connection,
            None => self.client.connect().await.map_err(LockError::Unsent)?,
        };
        let answer = self.client.send(&mut connection, request).await.map_err(LockError::Unsure)?;
        self.connection = Some(connection);
        Ok(answer)
    }

    async fn write(
        &mut self,
        path: String,
        more: Vec<(&'static str, Option<String>)>,
        body: Bytes,
    ) -> Result<(ResponseHead, Bytes), LockError> {
        self.ask(&ApiRequest::write(path, more, body)).await
    }

    /// Makes a session that ends when it is not renewed within `ttl`; locks that it held then stay closed for
    /// `lock_delay`. Gives its id.
    pub async fn create(
        &mut self,
        name: &str,
        ttl: Duration,
        lock_delay: Duration,
        behavior: Behavior,
    ) -> Result<String, LockError> {
        let millis = |span: Duration| format!("{}ms", span.as_millis());
        let behavior = match behavior {
            Behavior::Release => "release",
            Behavior::Delete => "delete",
        };
        let body =
            json!({"Name": name, "TTL": millis(ttl), "LockDelay": millis(lock_delay), "Behavior": behavior});
        let body = Bytes::from(body.to_string());
        let (head, body) = self.write("/v1/session/create".to_owned(), Vec::new(), body).await?;
        head.error().map_or(Ok(()), Err)?;
        let made: Made = parse_body(&body)?;
        Ok(made.id)
    }

    /// Renews a session; whether there still is one.
    pub async fn renew(&mut self, session: &str) -> Result<bool, LockError> {
        let (head, _) = self
            .write(format!("/v1/session/renew/{}", escape_key_path(session)), Vec::new(), Bytes::new())
            .await?;
        match head.error() {
            None => Ok(true),
            Some(ResponseError::Status(404)) => Ok(false),
            Some(refusal) => Err(refusal.into()),
        }
    }

    /// Ends a session, if there still is one. What goes wrong is said in the log: it ends by itself, too.
    pub async fn destroy(&mut self, session: &str) {
        let asked = self
            .write(format!("/v1/session/destroy/{}", escape_key_path(session)), Vec::new(), Bytes::new())
            .await;
        let failed = asked.map(|(head, _)| head.error().map(LockError::Refused));
        if let Ok(Some(error)) | Err(error) = failed {
            log!("Consul: a session was not ended, and will end by itself: {error}");
        }
    }

    /// Takes a key's lock for a session; whether it has it now.
    pub async fn acquire(&mut self, key: &str, session: &str, value: Bytes) -> Result<bool, LockError> {
        self.lock(key, "acquire", session, value).await
    }

    /// Gives a key's lock back; whether the session had it.
    pub async fn release(&mut self, key: &str, session: &str) -> Result<bool, LockError> {
        self.lock(key, "release", session, Bytes::new()).await
    }

    async fn lock(
        &mut self,
        key: &str,
        what: &'static str,
        session: &str,
        value: Bytes,
    ) -> Result<bool, LockError> {
        let more = vec![(what, Some(session.to_owned()))];
        let (head, body) = self.write(format!("/v1/kv/{}", escape_key_path(key)), more, value).await?;
        head.error().map_or(Ok(()), Err)?;
        Ok(parse_body(&body)?)
    }

    /// Carries out all of these or none; whether they were. Without an answer it may have been either, or may still be.
    pub async fn transact(&mut self, operations: &[Operation]) -> Result<bool, LockError> {
        let body: Vec<_> = operations.iter().flat_map(Operation::json).collect();
        let body = Bytes::from(serde_json::Value::Array(body).to_string());
        let (head, _) = self.write("/v1/txn".to_owned(), Vec::new(), body).await?;
        match head.error() {
            None => Ok(true),
            Some(ResponseError::Status(409)) => Ok(false),
            Some(refusal) => Err(refusal.into()),
        }
    }

    /// Who holds the keys below `prefix`, as the leader has it, and the index of that; with the index of the last look
    /// it waits until there is news, for `wait` at most.
    pub async fn look(
        &mut self,
        prefix: &str,
        index: u64,
        wait: Duration,
    ) -> Result<(u64, Vec<Row>), LockError> {
        let (head, body) = self.ask(&ApiRequest::read_keys(prefix, index, wait)).await?;
        let index = head.index.as_deref().and_then(|text| text.trim().parse().ok()).unwrap_or(0);
        match head.error() {
            None => Ok((index, parse_body(&body)?)),
            // There is no key, and a leader that says so.
            Some(ResponseError::Status(404)) if index > 0 && !head.leaderless => Ok((index, Vec::new())),
            Some(refusal) => Err(refusal.into()),
        }
    }
}

impl From<ResponseError> for LockError {
    fn from(refusal: ResponseError) -> Self {
        LockError::Refused(refusal)
    }
}

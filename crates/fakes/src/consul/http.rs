//! The HTTP API: requests answered from the state, at once or when it has changed.

use super::bodies::{self, Endless};
use super::duration::parse_duration;
use super::{ConsulFault, Inner, kv};
use crate::runtime::Never;
use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Method, Request, Response, StatusCode};
use serde_json::{Value, json};
use std::time::{Duration, Instant};

/// The longest wait that a blocking query gets, and the usual one.
const LONGEST_WAIT: Duration = Duration::from_secs(600);
const USUAL_WAIT: Duration = Duration::from_secs(300);

type Answer = Response<BoxBody<Bytes, Never>>;

impl Inner {
    pub(super) async fn respond(&self, request: Request<Incoming>) -> Option<Answer> {
        self.state().questions += 1;
        let (parts, body) = request.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        let (path, query) = (parts.uri.path().to_owned(), parts.uri.query().unwrap_or("").to_owned());
        let field = |name: &str| {
            let pairs = query.split('&').map(|pair| pair.split_once('=').unwrap_or((pair, "")));
            pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value.to_owned())
        };
        let index = field("index").and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
        let wait =
            field("wait").and_then(|text| parse_duration(&text)).unwrap_or(USUAL_WAIT).min(LONGEST_WAIT);
        // Consul adds up to a sixteenth, so that questions do not come back together.
        let ends = Instant::now() + wait + wait / 32;
        let mut changed = self.changed.subscribe();
        loop {
            let fault = self.state().fault.clone();
            match fault {
                ConsulFault::None
                | ConsulFault::FixedIndex(_)
                | ConsulFault::LostWriteAnswers
                | ConsulFault::SlowWrites(_) => {}
                ConsulFault::Unresponsive => {
                    drop(changed.changed().await);
                    continue;
                }
                ConsulFault::Down | ConsulFault::CloseOnRequest => return None,
                ConsulFault::Status(status, text, after) => return Some(plain(status, text, after)),
                ConsulFault::NoLeader { complete: whole } => return Some(self.leaderless(&path, whole)),
                ConsulFault::Stale(contact) => {
                    let index = Some("1".to_owned());
                    let mut answer = told(b"[]".to_vec(), index, true);
                    let contact = HeaderValue::from(contact.as_millis() as u64);
                    answer.headers_mut().insert("X-Consul-LastContact", contact);
                    return Some(answer);
                }
                ConsulFault::TruncatedBody => {
                    return Some(Response::new(bodies::half(b"[{\"Node\":{\"Node\":\"n1\"".repeat(8))));
                }
                ConsulFault::EndlessBody => return Some(Response::new(Endless.boxed())),
                ConsulFault::MalformedBody => {
                    return Some(told(b"{\"not\":[\"a list\"]}".to_vec(), Some("999999".to_owned()), true));
                }
            }
            if self.state().token.as_deref().is_some_and(|token| {
                parts.headers.get("X-Consul-Token").is_none_or(|given| given.as_bytes() != token.as_bytes())
            }) {
                return Some(plain(403, "Permission denied", None));
            }
            if path.starts_with("/v1/session/") || path.starts_with("/v1/kv/") || path == "/v1/txn" {
                if parts.method != Method::GET {
                    let answer = self.write(&parts.method, &path, &field, &body, &fault).await;
                    return Some(answer).filter(|_| fault != ConsulFault::LostWriteAnswers);
                }
                let (answer, at, next) = self.read(&path, field("recurse").is_some());
                if at != index || Instant::now() >= ends {
                    return Some(answer);
                }
                tokio::select! {
                    _ = changed.changed() => {}
                    () = tokio::time::sleep_until(next.map_or(ends, |next| next.min(ends)).into()) => {}
                }
                continue;
            }
            let Some((body, now)) = self.state().answer(&path) else {
                return Some(plain(404, "Invalid path", None));
            };
            if let ConsulFault::FixedIndex(index) = fault {
                return Some(told(body.to_string().into_bytes(), index.map(str::to_owned), true));
            }
            if now > index || index == 0 || Instant::now() >= ends || now < index {
                if let Some(service) = path.strip_prefix("/v1/health/service/") {
                    let mut state = self.state();
                    let told = state.told.entry(service.to_owned()).or_default();
                    if told.last().is_none_or(|(last, _)| *last < now) {
                        told.push((now, Instant::now()));
                    }
                }
                return Some(told(body.to_string().into_bytes(), Some(now.to_string()), true));
            }
            tokio::select! {
                _ = changed.changed() => {}
                () = tokio::time::sleep_until(ends.into()) => {}
            }
        }
    }

    /// Ends what is over; gives when something is next.
    fn expire(&self) -> Option<Instant> {
        let mut state = self.state();
        let before = state.store.index;
        let next = state.store.expire(Instant::now());
        if state.store.index != before {
            self.changed.send_replace(state.store.index);
        }
        next
    }

    /// An answer to a read of a session or of keys, its index, and when a session ends next.
    fn read(&self, path: &str, recurse: bool) -> (Answer, u64, Option<Instant>) {
        let next = self.expire();
        let state = self.state();
        let found = match (path.strip_prefix("/v1/kv/"), path.strip_prefix("/v1/session/info/")) {
            (Some(key), _) => state.store.read(key, recurse),
            (_, Some(id)) => Some(state.store.info(id)),
            _ => None,
        };
        let at = match path.strip_prefix("/v1/kv/") {
            Some(key) => state.store.index_of(key, recurse),
            None => state.store.index,
        };
        let missing = found.is_none();
        let body = found.map(|found| found.to_string().into_bytes()).unwrap_or_default();
        let mut answer = told(body, Some(at.to_string()), true);
        if missing {
            *answer.status_mut() = StatusCode::NOT_FOUND;
        }
        (answer, at, next)
    }

    async fn write(
        &self,
        method: &Method,
        path: &str,
        field: &impl Fn(&str) -> Option<String>,
        body: &Bytes,
        fault: &ConsulFault,
    ) -> Answer {
        if let ConsulFault::SlowWrites(span) = fault {
            tokio::time::sleep(*span).await;
        }
        self.expire();
        let now = Instant::now();
        let mut state = self.state();
        let before = state.store.index;
        let store = &mut state.store;
        let json = || serde_json::from_slice(body).unwrap_or(Value::Null);
        let done = if path == "/v1/session/create" {
            store.create(now, &json()).map(|id| json!({"ID": id})).map_err(|why| (400, why))
        } else if let Some(id) = path.strip_prefix("/v1/session/renew/") {
            match store.renew(now, id) {
                true => Ok(store.info(id)),
                false => Err((404, format!("Session id '{id}' not found"))),
            }
        } else if let Some(id) = path.strip_prefix("/v1/session/destroy/") {
            store.destroy(now, id);
            Ok(json!(true))
        } else if let Some(key) = path.strip_prefix("/v1/kv/").filter(|_| method == Method::DELETE) {
            let cas = field("cas").and_then(|index| index.parse().ok());
            Ok(json!(store.delete(key, field("recurse").is_some(), cas)))
        } else if let Some(key) = path.strip_prefix("/v1/kv/").filter(|_| method == Method::PUT) {
            let cas = field("cas").and_then(|index| index.parse().ok()).map(kv::Write::Cas);
            let acquire = field("acquire").map(kv::Write::Acquire);
            let how =
                cas.or(acquire).or(field("release").map(kv::Write::Release)).unwrap_or(kv::Write::Plain);
            store.put(now, key, body.to_vec(), &how).map(|done| json!(done)).map_err(|why| (500, why))
        } else if path == "/v1/txn" {
            match store.transact(now, &json()) {
                (200, body) => Ok(body),
                (status, body) => Err((status, body.to_string())),
            }
        } else {
            Err((405, "method not allowed".to_owned()))
        };
        // A renewal changes nothing that anybody waits for.
        if state.store.index != before {
            self.changed.send_replace(state.store.index);
        }
        match done {
            Ok(body) => told(body.to_string().into_bytes(), None, true),
            Err((status, why)) => plain(status, &why, None),
        }
    }

    fn leaderless(&self, path: &str, whole: bool) -> Answer {
        let (body, index) = self.state().answer(path).unwrap_or((json!([]), 1));
        let body = if whole { body } else { json!([]) };
        told(body.to_string().into_bytes(), Some(index.to_string()), false)
    }
}

fn told(body: Vec<u8>, index: Option<String>, leader: bool) -> Answer {
    let mut answer = Response::builder()
        .header("Content-Type", "application/json")
        .header("X-Consul-KnownLeader", leader.to_string())
        .header("X-Consul-LastContact", "0");
    if let Some(index) = index {
        answer = answer.header("X-Consul-Index", index);
    }
    answer.body(Full::new(Bytes::from(body)).boxed()).expect("an answer")
}

fn plain(status: u16, text: &str, after: Option<u64>) -> Answer {
    let mut answer = Response::builder().status(status);
    if let Some(after) = after {
        answer = answer.header("Retry-After", after.to_string());
    }
    answer.body(Full::new(Bytes::from(text.to_owned())).boxed()).expect("an answer")
}

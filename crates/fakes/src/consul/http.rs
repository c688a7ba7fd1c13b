//! Answers requests of the HTTP API from the state. A blocking query is answered when the state has changed, any other
//! request at once.

use super::bodies::{EndlessBody, truncated};
use super::kv::{Store, Write};
use super::request::ApiRequest;
use super::{ConsulFault, Inner};
use crate::runtime::Never;
use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Method, Request, Response, StatusCode};
use serde_json::{Value, json};
use std::time::{Duration, Instant};
use tokio::sync::watch;

type Answer = Response<BoxBody<Bytes, Never>>;

/// The result of handling a request with the present state.
enum Step {
    /// The request is answered. `None` closes the connection without an answer.
    Done(Option<Answer>),
    /// The request is handled again after the next change of the state, and at `until` at the latest.
    Wait { until: Option<Instant> },
}

impl Step {
    fn answer(answer: Answer) -> Step {
        Step::Done(Some(answer))
    }
}

/// The reason why a write is not carried out, and the status of its answer.
struct Rejection {
    status: u16,
    reason: String,
}

/// An answer to a read of a session or of keys.
struct StoreResponse {
    answer: Answer,
    /// `X-Consul-Index` of the answer.
    index: u64,
    /// When the next session expires; `None` if no session expires.
    next_expiry: Option<Instant>,
}

impl Inner {
    /// Returns the answer to a request. `None` closes the connection without an answer.
    pub(super) async fn respond(&self, request: Request<Incoming>) -> Option<Answer> {
        self.state().request_count += 1;
        let request = ApiRequest::read(request).await?;
        let mut changed = self.changed.subscribe();
        loop {
            match self.step(&request).await {
                Step::Done(answer) => return answer,
                Step::Wait { until } => wait_for_change(&mut changed, until).await,
            }
        }
    }

    async fn step(&self, request: &ApiRequest) -> Step {
        let fault = self.state().fault.clone();
        if let Some(step) = self.step_for_fault(&fault, request) {
            return step;
        }
        if !self.accepts_token(request) {
            return Step::answer(text_answer(403, "Permission denied", None));
        }
        if !request.is_for_store() {
            return self.query_catalog(request, &fault);
        }
        if request.method == Method::GET {
            return self.query_store(request);
        }
        let answer = self.write(request, &fault).await;
        Step::Done(Some(answer).filter(|_| fault != ConsulFault::LostWriteAnswers))
    }

    /// Returns the step that the fault in force causes for any request, or `None` if the request is handled as usual.
    fn step_for_fault(&self, fault: &ConsulFault, request: &ApiRequest) -> Option<Step> {
        let answer = match fault {
            ConsulFault::None
            | ConsulFault::FixedIndex(_)
            | ConsulFault::LostWriteAnswers
            | ConsulFault::SlowWrites(_) => return None,
            ConsulFault::Unresponsive => return Some(Step::Wait { until: None }),
            ConsulFault::Down | ConsulFault::CloseOnRequest => return Some(Step::Done(None)),
            ConsulFault::Status { status, text, retry_after_s } => text_answer(*status, text, *retry_after_s),
            ConsulFault::NoLeader { complete } => self.leaderless_answer(&request.path, *complete),
            ConsulFault::Stale(last_contact) => stale_answer(*last_contact),
            ConsulFault::TruncatedBody => Response::new(truncated(b"[{\"Node\":{\"Node\":\"n1\"".repeat(8))),
            ConsulFault::EndlessBody => Response::new(EndlessBody.boxed()),
            ConsulFault::MalformedBody => {
                json_answer(b"{\"not\":[\"a list\"]}".to_vec(), Some("999999".to_owned()), true)
            }
        };
        Some(Step::answer(answer))
    }

    fn accepts_token(&self, request: &ApiRequest) -> bool {
        let state = self.state();
        let Some(required) = &state.token else { return true };
        request.token.as_ref().is_some_and(|given| given.as_bytes() == required.as_bytes())
    }

    /// Handles a query of the catalogue or of health, which may be a blocking query.
    fn query_catalog(&self, request: &ApiRequest, fault: &ConsulFault) -> Step {
        let Some((body, index)) = self.state().answer(&request.path) else {
            return Step::answer(text_answer(404, "Invalid path", None));
        };
        let body = body.to_string().into_bytes();
        if let ConsulFault::FixedIndex(fixed) = fault {
            return Step::answer(json_answer(body, fixed.map(str::to_owned), true));
        }
        if index == request.index && request.index != 0 && Instant::now() < request.deadline {
            return Step::Wait { until: Some(request.deadline) };
        }
        if let Some(service) = request.path.strip_prefix("/v1/health/service/") {
            self.state().record_answer(service, index);
        }
        Step::answer(json_answer(body, Some(index.to_string()), true))
    }

    /// Handles a query of a session or of keys, which may be a blocking query.
    fn query_store(&self, request: &ApiRequest) -> Step {
        let response = self.read(&request.path, request.has("recurse"));
        if response.index != request.index || Instant::now() >= request.deadline {
            return Step::answer(response.answer);
        }
        let until = response.next_expiry.map_or(request.deadline, |next| next.min(request.deadline));
        Step::Wait { until: Some(until) }
    }

    /// Ends the sessions that have expired. Returns when the next session expires.
    fn expire(&self) -> Option<Instant> {
        let mut state = self.state();
        let before = state.store.index;
        let next = state.store.expire(Instant::now());
        if state.store.index != before {
            self.changed.send_replace(state.store.index);
        }
        next
    }

    fn read(&self, path: &str, recurse: bool) -> StoreResponse {
        let next_expiry = self.expire();
        let state = self.state();
        let found = match (path.strip_prefix("/v1/kv/"), path.strip_prefix("/v1/session/info/")) {
            (Some(key), _) => state.store.read(key, recurse),
            (_, Some(id)) => Some(state.store.session_info(id)),
            _ => None,
        };
        let index = match path.strip_prefix("/v1/kv/") {
            Some(key) => state.store.index_of(key, recurse),
            None => state.store.index,
        };
        let missing = found.is_none();
        let body = found.map(|found| found.to_string().into_bytes()).unwrap_or_default();
        let mut answer = json_answer(body, Some(index.to_string()), true);
        if missing {
            *answer.status_mut() = StatusCode::NOT_FOUND;
        }
        StoreResponse { answer, index, next_expiry }
    }

    async fn write(&self, request: &ApiRequest, fault: &ConsulFault) -> Answer {
        if let ConsulFault::SlowWrites(delay) = fault {
            tokio::time::sleep(*delay).await;
        }
        self.expire();
        let mut state = self.state();
        let before = state.store.index;
        let written = apply_write(&mut state.store, Instant::now(), request);
        // A renewal of a session does not change the index, so no blocking query is woken.
        if state.store.index != before {
            self.changed.send_replace(state.store.index);
        }
        match written {
            Ok(body) => json_answer(body.to_string().into_bytes(), None, true),
            Err(rejection) => text_answer(rejection.status, &rejection.reason, None),
        }
    }

    fn leaderless_answer(&self, path: &str, complete: bool) -> Answer {
        let (body, index) = self.state().answer(path).unwrap_or((json!([]), 1));
        let body = if complete { body } else { json!([]) };
        json_answer(body.to_string().into_bytes(), Some(index.to_string()), false)
    }
}

async fn wait_for_change(changed: &mut watch::Receiver<u64>, until: Option<Instant>) {
    let Some(until) = until else {
        drop(changed.changed().await);
        return;
    };
    tokio::select! {
        _ = changed.changed() => {}
        () = tokio::time::sleep_until(until.into()) => {}
    }
}

fn apply_write(store: &mut Store, now: Instant, request: &ApiRequest) -> Result<Value, Rejection> {
    let path = request.path.as_str();
    if path == "/v1/session/create" {
        let created = store.create_session(now, &request.json());
        return created.map(|id| json!({"ID": id})).map_err(|reason| Rejection { status: 400, reason });
    }
    if let Some(id) = path.strip_prefix("/v1/session/renew/") {
        if store.renew_session(now, id) {
            return Ok(store.session_info(id));
        }
        return Err(Rejection { status: 404, reason: format!("Session id '{id}' not found") });
    }
    if let Some(id) = path.strip_prefix("/v1/session/destroy/") {
        store.destroy_session(now, id);
        return Ok(json!(true));
    }
    if let Some(key) = path.strip_prefix("/v1/kv/") {
        return write_key(store, now, key, request);
    }
    if path == "/v1/txn" {
        return match store.transact(now, &request.json()) {
            (200, body) => Ok(body),
            (status, body) => Err(Rejection { status, reason: body.to_string() }),
        };
    }
    Err(method_not_allowed())
}

fn write_key(store: &mut Store, now: Instant, key: &str, request: &ApiRequest) -> Result<Value, Rejection> {
    let expected_index = request.parameter("cas").and_then(|index| index.parse().ok());
    if request.method == Method::DELETE {
        return Ok(json!(store.delete(key, request.has("recurse"), expected_index)));
    }
    if request.method != Method::PUT {
        return Err(method_not_allowed());
    }
    let condition = expected_index
        .map(Write::Cas)
        .or(request.parameter("acquire").map(Write::Acquire))
        .or(request.parameter("release").map(Write::Release))
        .unwrap_or(Write::Unconditional);
    let written = store.put(now, key, request.body.to_vec(), &condition);
    written.map(|done| json!(done)).map_err(|reason| Rejection { status: 500, reason })
}

fn method_not_allowed() -> Rejection {
    Rejection { status: 405, reason: "method not allowed".to_owned() }
}

/// Returns an empty list from a server whose last contact with its leader was this long ago.
fn stale_answer(last_contact: Duration) -> Answer {
    let mut answer = json_answer(b"[]".to_vec(), Some("1".to_owned()), true);
    let last_contact_ms = HeaderValue::from(last_contact.as_millis() as u64);
    answer.headers_mut().insert("X-Consul-LastContact", last_contact_ms);
    answer
}

fn json_answer(body: Vec<u8>, index: Option<String>, known_leader: bool) -> Answer {
    let mut answer = Response::builder()
        .header("Content-Type", "application/json")
        .header("X-Consul-KnownLeader", known_leader.to_string())
        .header("X-Consul-LastContact", "0");
    if let Some(index) = index {
        answer = answer.header("X-Consul-Index", index);
    }
    answer.body(Full::new(Bytes::from(body)).boxed()).expect("an answer")
}

fn text_answer(status: u16, text: &str, retry_after_s: Option<u64>) -> Answer {
    let mut answer = Response::builder().status(status);
    if let Some(seconds) = retry_after_s {
        answer = answer.header("Retry-After", seconds.to_string());
    }
    answer.body(Full::new(Bytes::from(text.to_owned())).boxed()).expect("an answer")
}

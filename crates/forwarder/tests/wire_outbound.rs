//! Guards against changes in the forwarder's requests and in how it reads the answers: calls to endpoints,
//! notifications to the platform, the watch on discovery, and offers to other forwarders.

#[path = "common/golden.rs"]
mod golden;

use bytes::Bytes;
use golden::{assert_golden, side, whole_length};
use orchidyoke_core::endpoint_list::{EndpointEntry, EndpointState, HealthStatus, WatchEvent};
use orchidyoke_core::interface::Outcome;
use orchidyoke_forwarder::catalogue::UpdateSender;
use orchidyoke_forwarder::discovery::follow;
use orchidyoke_forwarder::endpoint_call::{CallMessage, EndpointCall, EndpointReply, message_results};
use orchidyoke_forwarder::endpoint_connection::{ScheduledCall, run};
use orchidyoke_forwarder::input::Input;
use orchidyoke_forwarder::notifications::post;
use orchidyoke_forwarder::ownership::{HandoverMark, OfferOutcome, OutgoingOffer};
use orchidyoke_forwarder::peer_call::{OfferTimes, PeerConnections};
use orchidyoke_journal::{AcceptedMessage, AttemptStart, FinalAnswer, HandoverState};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::mpsc::unbounded_channel;
use tokio::task::LocalSet;
use tokio::time::Instant;

/// Runs a server that reads one request, gives this answer and keeps the connection open, and `client` as its client.
/// Returns the request, and the result of `client`.
fn serve_once<T>(answer: &str, client: impl AsyncFnOnce(SocketAddr) -> T) -> (Vec<u8>, T) {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("the runtime starts");
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds to a port");
        let address = listener.local_addr().expect("has a local address");
        let server = async {
            let (mut stream, _) = listener.accept().await.expect("a connection arrives");
            let mut request = Vec::new();
            while whole_length(&request, true).is_none_or(|length| request.len() < length) {
                assert!(
                    stream.read_buf(&mut request).await.expect("a request arrives") > 0,
                    "the request is incomplete"
                );
            }
            stream.write_all(answer.as_bytes()).await.expect("the write succeeds");
            (request, stream)
        };
        let ((request, _), result) = tokio::join!(server, client(address));
        (request, result)
    })
}

fn test_deadline() -> Instant {
    Instant::now() + Duration::from_secs(20)
}

/// Sends a call to an endpoint that gives this answer. Returns the request and the reply.
fn call(call: EndpointCall, answer: &str) -> (Vec<u8>, EndpointReply) {
    serve_once(answer, async |address| {
        let ((calls, call_receiver), (sender, mut inputs)) = (unbounded_channel(), unbounded_channel());
        tokio::task::spawn_local(run(1, address, test_deadline(), call_receiver, sender));
        loop {
            match inputs.recv().await.expect("the call ends") {
                Input::ConnectionUp { .. } => calls
                    .send(ScheduledCall {
                        call: call.clone(),
                        deadline: test_deadline(),
                        send_by: test_deadline(),
                    })
                    .expect("the connection task is running"),
                Input::CallAnswered { reply, .. } => return reply,
                Input::ConnectionClosed { error, .. } => panic!("{error}"),
                _ => {}
            }
        }
    })
}

fn message(message_id: &str, key: Option<&str>, body: &'static [u8]) -> CallMessage {
    CallMessage {
        id: message_id.to_owned(),
        idempotency_key: key.map(str::to_owned),
        body: Bytes::from_static(body),
    }
}

fn single_call(key: Option<&str>) -> EndpointCall {
    EndpointCall {
        messages: vec![message("9b1f03aa5c7e2d41", key, b"hello")],
        is_bulk: false,
        time_left: 1_500_000,
        deadline: 0,
        send_by: 0,
    }
}

fn bulk_call() -> EndpointCall {
    let messages = vec![message("9b1f", Some("5c\"0f"), b"hello"), message("9b20", None, b"\xff\x00")];
    EndpointCall { messages, is_bulk: true, time_left: 2_000_400, deadline: 0, send_by: 0 }
}

const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

#[test]
fn calls_to_endpoints_stay_the_same() {
    let bulk_answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]";
    let bulk_call_of_one = EndpointCall { messages: bulk_call().messages[..1].to_vec(), ..bulk_call() };
    let request_text = [
        (single_call(None), OK),
        (single_call(Some("5c0f6e1a")), OK),
        (bulk_call(), bulk_answer),
        (bulk_call_of_one, bulk_answer),
    ]
    .map(|(endpoint_call, answer)| side("> ", &call(endpoint_call, answer).0));
    assert_golden("calls.txt", &request_text.join("\n"));
}

#[test]
fn headers_of_an_endpoints_answer_are_read_by_their_names() {
    let answer = "HTTP/1.1 503 Service Unavailable\r\nX-Come-Back-Ms: 250\r\nX-Line-Busy: 1\r\n\
                X-Pressure: x0=0.4,x1=25\r\nContent-Length: 4\r\n\r\nbusy";
    let (_, reply) = call(single_call(None), answer);
    assert_eq!((reply.status, reply.retry_after_ms, reply.line_busy), (503, 250, true));
    assert_eq!(
        (reply.reported_limit, reply.reported_remaining, reply.is_bulk),
        (Some(25.0), Some(0.4), false)
    );
    assert_eq!(reply.body, Bytes::from_static(b"busy"));
    let (_, reply) = call(single_call(None), OK);
    assert_eq!((reply.status, reply.retry_after_ms, reply.line_busy), (200, 0, false));
    assert_eq!((reply.reported_limit, reply.reported_remaining), (None, None));
}

#[test]
fn each_state_in_a_bulk_reply_is_read_by_its_name() {
    let body = r#"[{"id":"a","state":"accepted"},{"id":"b","state":"fault"},{"id":"c","state":"deferred"},
        {"id":"d","state":"expired"},{"id":"e","state":"no_more"}]"#;
    let reply = EndpointReply {
        status: 200,
        is_bulk: true,
        body: Bytes::from_static(body.as_bytes()),
        ..EndpointReply::default()
    };
    assert!(reply.is_readable());
    let results = message_results(&reply, &["a", "b", "c", "d", "e"].map(str::to_owned));
    let results: Vec<_> = results.iter().map(|result| (result.outcome, result.message_finished)).collect();
    let expected = [
        (Outcome::Success, false),
        (Outcome::Error, false),
        (Outcome::Rejected, false),
        (Outcome::NotSent, true),
        (Outcome::NotSent, false),
    ];
    assert_eq!(results, expected);
}

#[test]
fn notifications_stay_the_same() {
    let notifications = vec![
        ("9b1f".to_owned(), FinalAnswer::Failed),
        ("9b\"20".to_owned(), FinalAnswer::Rejected { retry_after_ms: 500 }),
        ("9b21".to_owned(), FinalAnswer::Rejected { retry_after_ms: 0 }),
    ];
    for (answer, is_accepted) in [
        ("HTTP/1.1 204 No Content\r\n\r\n", true),
        ("HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n", false),
    ] {
        let (request_text, inputs) = serve_once(answer, async |address| {
            let (sender, inputs) = unbounded_channel();
            post(address, notifications.clone(), sender).await;
            inputs
        });
        assert_golden("notices.txt", &side("> ", &request_text));
        let mut inputs = inputs;
        assert!(
            matches!(inputs.try_recv(), Ok(Input::NotificationsPosted { accepted }) if accepted == is_accepted),
            "{answer}"
        );
    }
}

#[test]
fn the_watch_on_discovery_stays_the_same() {
    let lists = include_str!("fixtures/wire/lists.txt");
    let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{lists}", lists.len());
    let (request_text, events) = serve_once(&answer, async |address| {
        let events = Rc::new(RefCell::new(Vec::new()));
        let updates = events.clone();
        follow(address, 41, UpdateSender::new(move |event| updates.borrow_mut().push(event))).await;
        events.take()
    });
    assert_golden("watch.txt", &side("> ", &request_text));
    let endpoint = |uid: &str, state, capacity_hint, health_status| EndpointEntry {
        uid: uid.to_owned(),
        address: "10.1.0.18:8000".parse().expect("a valid address"),
        zone: "a".to_owned(),
        kind: "m2".to_owned(),
        destination: 3,
        state,
        capacity_hint,
        health: health_status,
    };
    let bare = EndpointEntry {
        zone: String::new(),
        kind: String::new(),
        ..endpoint("s-3", EndpointState::Removed, 0.0, HealthStatus::Passing)
    };
    let expected = [
        WatchEvent {
            version: 41,
            is_snapshot: true,
            endpoints: vec![
                endpoint("s-1", EndpointState::Active, 1.5, HealthStatus::Passing),
                endpoint("s-2", EndpointState::Active, 2.5, HealthStatus::Warning),
            ],
            origin: String::new(),
        },
        WatchEvent {
            version: 43,
            is_snapshot: false,
            endpoints: vec![endpoint("s-1", EndpointState::Draining, 1.5, HealthStatus::Critical), bare],
            origin: "consul:5be2".to_owned(),
        },
    ];
    assert_eq!(events, expected);
}

fn offer(owner_address: SocketAddr, has_all_fields: bool) -> Box<OutgoingOffer> {
    let attempt = AttemptStart {
        started_at: 1_799_999_999_000_000,
        endpoint: "s-5be2a07c".to_owned(),
        zone: "b".to_owned(),
    };
    let deadline = 1_800_000_000_000_000;
    let message = AcceptedMessage {
        id: "9b1f03aa5c7e2d41".to_owned(),
        class: "orders".to_owned(),
        tenant: if has_all_fields { "acme".to_owned() } else { String::new() },
        idempotency_key: has_all_fields.then(|| "5c0f6e1a".to_owned()),
        destination: 7,
        deadline,
        attempts: 3,
        possible_delivery: None,
        in_flight: None,
        handover: HandoverState::default(),
    };
    let mark = HandoverMark {
        from: "n1".to_owned(),
        deadline,
        valid_until: 1_800_000_000_400_000,
        attempts: 3,
        possible_delivery: has_all_fields.then_some(attempt),
    };
    let body = Bytes::from_static(b"hello");
    Box::new(OutgoingOffer { id: 5, owner_address, message, body, mark, answer_deadline: 0 })
}

/// Makes an offer that gets this answer. Returns the text of the request, without the time left, and the outcome.
fn offered(answer: &str, has_all_fields: bool) -> (String, OfferOutcome) {
    let (request_text, outcome) = serve_once(answer, async |address| {
        let (sender, mut inputs) = unbounded_channel();
        let times = OfferTimes { answer_deadline: test_deadline(), message_deadline: test_deadline() };
        Rc::new(PeerConnections::default()).offer(offer(address, has_all_fields), times, sender).await;
        match inputs.recv().await {
            Some(Input::OfferEnded { id: 5, outcome }) => outcome,
            other => panic!("{other:?}"),
        }
    });
    let request_text = side("> ", &request_text);
    let line = request_text
        .lines()
        .find(|line| line.starts_with("> x-remaining: "))
        .expect("the request has the time left");
    let left: f64 = line["> x-remaining: ".len()..].parse().expect("a number of seconds");
    assert!((10.0..=20.0).contains(&left), "{line}");
    assert_eq!(line.split_once('.').map(|(_, decimals)| decimals.len()), Some(6), "{line}");
    (request_text.replace(line, "> x-remaining: SECONDS"), outcome)
}

#[test]
fn offers_between_forwarders_stay_the_same() {
    let accepted_answer = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";
    let (has_all_fields, bare) = (offered(accepted_answer, true), offered(accepted_answer, false));
    assert_golden("offers.txt", &format!("{}\n{}", has_all_fields.0, bare.0));
    assert_eq!((has_all_fields.1, bare.1), (OfferOutcome::Accepted, OfferOutcome::Accepted));
}

#[test]
fn answers_to_an_offer_are_read_by_their_status_and_headers() {
    for (head, expected) in [
        ("200 OK", OfferOutcome::Accepted),
        ("503 Service Unavailable\r\nRetry-After: 1.250", OfferOutcome::Rejected(1_250_000)),
        ("503 Service Unavailable\r\nX-Come-Back-Ms: 700", OfferOutcome::Rejected(700_000)),
        ("400 Bad Request", OfferOutcome::Rejected(0)),
        ("404 Not Found", OfferOutcome::Rejected(0)),
    ] {
        let (_, outcome) = offered(&format!("HTTP/1.1 {head}\r\nContent-Length: 0\r\n\r\n"), true);
        assert_eq!(outcome, expected, "{head}");
    }
    let (_, outcome) = offered("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n", true);
    assert!(matches!(outcome, OfferOutcome::InDoubt(_)), "{outcome:?}");
}

//! Guards against changes in the protocol with clients: the headers of a submission, and the status, headers and body
//! of each answer.

#[path = "common/golden.rs"]
mod golden;

use bytes::Bytes;
use golden::{assert_golden, side, whole_length};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use orchidyoke_forwarder::client_api::{ClientGateway, respond};
use orchidyoke_forwarder::client_connections::ClientConnections;
use orchidyoke_forwarder::client_listener::listen;
use orchidyoke_forwarder::input::{Input, Submission, SubmitAnswer};
use orchidyoke_forwarder::ownership::ReceivedMark;
use std::cell::RefCell;
use std::rc::Rc;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::task::LocalSet;

/// Returns the answer to a submission, in place of the reducer, by the path of the request.
fn answer_to(path: &str) -> SubmitAnswer {
    match path {
        "deferred" => SubmitAnswer::Rejected(0),
        "deferred-soon" => SubmitAnswer::Rejected(1_250_000),
        "deferred-long" => SubmitAnswer::Rejected(3_000_000),
        "id-in-use" => SubmitAnswer::IdInUse,
        "failed" => SubmitAnswer::Failed,
        "incomplete" => SubmitAnswer::Incomplete("words of the reducer\n"),
        "no-class" => SubmitAnswer::UnknownClass,
        "no-destination" => SubmitAnswer::UnknownDestination,
        _ => SubmitAnswer::Accepted,
    }
}

type Submitted = Rc<RefCell<Vec<Submission>>>;

async fn answer_submissions(
    gateway: Rc<ClientGateway>,
    mut inputs: UnboundedReceiver<Input>,
    submitted: Submitted,
) {
    while let Some(input) = inputs.recv().await {
        if let Input::Submitted { request: request_id, message } = input {
            gateway.answer(request_id, answer_to(&message.class));
            submitted.borrow_mut().push(message);
        }
    }
}

/// Writes a request and returns its answer.
async fn exchange(mut stream: impl AsyncRead + AsyncWrite + Unpin, request: &str) -> Vec<u8> {
    stream.write_all(request.as_bytes()).await.expect("the write succeeds");
    let mut answer = Vec::new();
    let has_body = !request.starts_with("HEAD");
    while whole_length(&answer, has_body).is_none_or(|length| answer.len() < length) {
        let count = stream.read_buf(&mut answer).await.expect("an answer arrives");
        assert!(count > 0, "the answer is incomplete: {}", String::from_utf8_lossy(&answer));
    }
    answer
}

/// Sends each request on its own connection. Returns the text of the conversations, and the submissions.
fn exchange_all(requests: &[String]) -> (String, Vec<Submission>) {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("the runtime starts");
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds to a port");
        let address = listener.local_addr().expect("has a local address");
        let (sender, inputs) = unbounded_channel();
        let (gateway, submitted) = (ClientGateway::new(sender), Submitted::default());
        tokio::task::spawn_local(listen(listener, gateway.clone(), ClientConnections::new(64)));
        tokio::task::spawn_local(answer_submissions(gateway, inputs, submitted.clone()));
        let mut conversation = String::new();
        for request in requests {
            let stream = TcpStream::connect(address).await.expect("connects");
            let answer = exchange(stream, request).await;
            conversation += &format!("{}{}\n", side("> ", request.as_bytes()), side("< ", &answer));
        }
        (conversation, submitted.take())
    })
}

/// Returns a submission with `extra_headers` lines in its head in addition to the required ones.
fn submission(path: &str, extra_headers: &str) -> String {
    let required_headers =
        "X-Txn: 9b1f03aa5c7e2d41\r\nX-Org: acme\r\nX-Remaining: 0.480\r\nX-Consignee: dest=7\r\n";
    format!(
        "POST /{path} HTTP/1.1\r\nHost: origin.svc\r\n{required_headers}{extra_headers}Content-Length: 5\r\n\r\nhello"
    )
}

/// Returns a submission in which `replacement` replaces `line`.
fn submission_with(line: &str, replacement: &str) -> String {
    let modified = submission("status", "").replace(line, replacement);
    assert_ne!(modified, submission("status", ""), "{line}");
    modified
}

#[test]
fn each_answer_to_a_submission_stays_the_same() {
    let paths = [
        "taken",
        "deferred",
        "deferred-soon",
        "deferred-long",
        "failed",
        "incomplete",
        "no-class",
        "no-destination",
        "id-in-use",
    ];
    let (conversation, submitted) = exchange_all(&paths.map(|path| submission(path, "")));
    assert_golden("client_answers.txt", &conversation);
    assert_eq!(submitted.len(), paths.len());
}

#[test]
fn each_error_response_stays_the_same() {
    let requests = [
        "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n".to_owned(),
        "HEAD /healthz HTTP/1.1\r\nHost: x\r\n\r\n".to_owned(),
        "POST /healthz HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n".to_owned(),
        "GET /status HTTP/1.1\r\nHost: x\r\n\r\n".to_owned(),
        "POST /status HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n".to_owned(),
        submission_with("Content-Length: 5\r\n\r\nhello", "Content-Length: 65537\r\n\r\n"),
        submission_with("X-Txn: 9b1f03aa5c7e2d41\r\n", ""),
        submission_with("X-Org: acme", "X-Org: "),
        submission_with("X-Remaining: 0.480\r\n", ""),
        submission_with("X-Remaining: 0.480", "X-Remaining: soon"),
        submission_with("X-Consignee: dest=7\r\n", ""),
        submission_with("X-Consignee: dest=7", "X-Consignee: 7"),
        submission("status", "Idempotency-Key: a\r\nIdempotency-Key: b\r\n"),
        submission("status", "Idempotency-Key: \r\n"),
        "NONSENSE\r\n\r\n".to_owned(),
    ];
    let (conversation, submitted) = exchange_all(&requests);
    assert_golden("client_refusals.txt", &conversation);
    assert!(submitted.is_empty());
}

#[test]
fn health_check_reports_a_shutdown() {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("the runtime starts");
    let conversation = LocalSet::new().block_on(&runtime, async {
        let (client_stream, server_stream) = tokio::io::duplex(4096);
        let gateway = ClientGateway::new(unbounded_channel().0);
        let connections = ClientConnections::new(1);
        connections.shut_down();
        let connection = Rc::new(connections.register(None));
        let service = service_fn(move |request| {
            let (gateway, connection) = (gateway.clone(), connection.clone());
            async move { respond(&gateway, request, &connection).await }
        });
        tokio::task::spawn_local(
            http1::Builder::new().serve_connection(TokioIo::new(server_stream), service),
        );
        exchange(client_stream, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n").await
    });
    assert_golden("client_ending.txt", &side("< ", &conversation));
}

#[test]
fn each_header_of_a_submission_is_read_by_its_name() {
    let mark = "X-Handover: {\"from\":\"n1\",\"deadline\":1800000000000000,\"valid_until\":1800000000400000,\
                \"attempts\":3,\"ran\":{\"at\":1799999999000000,\"uid\":\"s-5be2a07c\",\"az\":\"b\"}}\r\n";
    let requests = [
        submission("orders/more", "X-Resent: 1\r\nIdempotency-Key: 5c0f6e1a\r\n"),
        submission("status", "X-Resent: again\r\n").replace("X-Org: acme\r\n", ""),
        submission("status", mark),
        submission("status", "X-Handover: {\"from\":\"n1\"}\r\n"),
    ];
    let (_, submitted) = exchange_all(&requests);
    let [complete, without_tenant, handed_over, malformed] = &submitted[..] else { panic!("{submitted:?}") };
    assert_eq!((&complete.id[..], &complete.class[..]), ("9b1f03aa5c7e2d41", "orders"));
    assert_eq!(
        (complete.tenant.as_deref(), complete.idempotency_key.as_deref()),
        (Some("acme"), Some("5c0f6e1a"))
    );
    assert_eq!(
        (complete.destination, complete.is_retry, &complete.body),
        (7, true, &Bytes::from_static(b"hello"))
    );
    assert!((1..=480_000).contains(&complete.time_left), "{}", complete.time_left);
    assert_eq!(
        (
            without_tenant.tenant.as_deref(),
            without_tenant.idempotency_key.as_deref(),
            without_tenant.is_retry
        ),
        (None, None, false)
    );
    assert_eq!(without_tenant.handover_mark, ReceivedMark::Absent);
    assert_eq!(malformed.handover_mark, ReceivedMark::Malformed);
    let ReceivedMark::Valid(mark) = &handed_over.handover_mark else {
        panic!("{:?}", handed_over.handover_mark)
    };
    assert_eq!((&mark.from[..], mark.attempts), ("n1", 3));
    assert_eq!((mark.deadline, mark.valid_until), (1_800_000_000_000_000, 1_800_000_000_400_000));
    let possible_delivery = mark.possible_delivery.as_ref().expect("the mark has a possible delivery");
    assert_eq!(
        (possible_delivery.started_at, &possible_delivery.endpoint[..], &possible_delivery.zone[..]),
        (1_799_999_999_000_000, "s-5be2a07c", "b")
    );
}

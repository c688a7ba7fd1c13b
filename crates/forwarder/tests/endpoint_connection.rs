//! Calls on connections to endpoints, on real sockets. A scripted endpoint answers, closes, resets, or sends bytes at
//! the wrong moment.

use bytes::Bytes;
use orchidyoke_core::interface::Outcome;
use orchidyoke_forwarder::endpoint_call::{CallMessage, Cause, EndpointCall, EndpointCallError, Progress};
use orchidyoke_forwarder::endpoint_connection::{ScheduledCall, run};
use orchidyoke_forwarder::input::Input;
use orchidyoke_forwarder::write_progress::WriteProgress;
use quickcheck::{Gen, QuickCheck};
use socket2::SockRef;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, timeout};

/// Carries calls on one connection to an endpoint that answers the first call and keeps the connection open. With
/// `repeats_answer` it repeats the answer without end. Returns the result of the first call, and whether a second
/// call on the same connection counts as answered.
async fn call(answer: &'static [u8], repeats_answer: bool, bulk: bool) -> (Input, bool) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds to a port");
    let address = listener.local_addr().expect("has a local address");
    let (sender, calls) = unbounded_channel();
    let (inputs, mut reports) = unbounded_channel();
    let call_deadline = Instant::now() + Duration::from_secs(20);
    let call = call_of(bulk);
    let endpoint_side = async {
        let (mut stream, _) = listener.accept().await.expect("a connection arrives");
        let mut request = vec![0; 4096];
        assert!(stream.read(&mut request).await.expect("a request arrives") > 0);
        stream.write_all(answer).await.expect("the write succeeds");
        while repeats_answer && stream.write_all(answer).await.is_ok() {}
        std::future::pending::<()>().await;
    };
    let forwarder_side = async {
        assert!(matches!(reports.recv().await, Some(Input::ConnectionUp { .. })));
        sender
            .send(ScheduledCall { call: call.clone(), deadline: call_deadline, send_by: call_deadline })
            .expect("the connection task is running");
        let mut end = async || {
            loop {
                match reports.recv().await {
                    Some(Input::CallWritten { .. }) => {}
                    other => break other,
                }
            }
        };
        let first = end().await.expect("the first call ends");
        let deadline = Instant::now() + Duration::from_millis(300);
        let _ = sender.send(ScheduledCall { call: call.clone(), deadline, send_by: deadline });
        (first, matches!(end().await, Some(Input::CallAnswered { .. })))
    };
    tokio::select! {
        ends = forwarder_side => ends,
        _ = async { tokio::join!(endpoint_side, run(1, address, call_deadline, calls, inputs)) } => unreachable!(),
    }
}

// Guards against three faults with a response that cannot be read: the call occupies its place until its deadline,
// the call counts as not delivered (so that an order would be sent twice), or the connection stays open and the next
// call reads the rest of the response. Also guards against rejecting a valid response because of other bytes around
// it.
#[test]
fn invalid_and_rejecting_responses_map_to_their_outcome() {
    const DELIVERED: u16 = 200;
    const INVALID: u16 = 0;
    let endless_head =
        b"HTTP/1.1 200 OK\r\nX-Fill: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n";
    let oversized_body =
        b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 3000000000\r\n\r\n0123456789abcdef";
    let interim_responses = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n\
        HTTP/1.1 200 OK\r\nX-Pressure: x1=NaN,x0=what\r\nContent-Length: 0\r\n\r\n";
    let cases: [(&[u8], bool, bool, u16); 15] = [
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort", false, false, DELIVERED),
        (b"HTTP/1.1 200 OK\r\nContent-Length: -9\r\n\r\n", false, false, DELIVERED),
        (b"HTTP/1.1 200 OK\r\n\0\x01noise", false, false, DELIVERED),
        (endless_head, true, false, DELIVERED),
        (interim_responses, false, false, DELIVERED),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", false, false, DELIVERED),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort", false, true, INVALID),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n[{]}", false, true, INVALID),
        (endless_head, true, true, INVALID),
        (b"HTTP/1.1 200 O", false, false, INVALID),
        (b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 9\r\n\r\nshort", false, false, INVALID),
        (oversized_body, true, false, INVALID),
        (b"HTTP/1.1 2000 OK\r\n\r\n", false, false, INVALID),
        (b"\x16\x03\x01 noise without an end", false, false, INVALID),
        (b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n", false, false, INVALID),
    ];
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("the runtime starts");
    for (answer, repeats_answer, bulk, expected) in cases {
        let text = String::from_utf8_lossy(answer);
        let (first, answered_again) = runtime.block_on(call(answer, repeats_answer, bulk));
        match first {
            Input::CallAnswered { reply, .. } => {
                assert_eq!(
                    (reply.status, reply.reported_limit, reply.reported_remaining),
                    (expected, None, None),
                    "{text}"
                );
            }
            Input::ConnectionClosed { error, .. } => {
                assert!(
                    expected == INVALID && matches!(error.cause, Cause::InvalidResponse(_)),
                    "{text}: {error}"
                );
                assert!(!error.not_delivered(), "{text}: {error}");
            }
            other => panic!("{text}: {other:?}"),
        }
        assert!(!answered_again, "{text}: the rest of the response counted as the next answer");
    }
}

// Guards against a call that counts as not fully written after its last byte, or as fully written before it, whatever
// the sizes of the writes.
#[test]
fn call_counts_as_written_with_its_last_byte() {
    fn counts_as_written(body: Vec<u8>, write_sizes: Vec<u8>) -> bool {
        let mut request = b"POST /inbox HTTP/1.1\r\nx-txn: a\r\n\r\n".to_vec();
        request.extend_from_slice(&body);
        let mut written = WriteProgress::with_body_bytes(body.len());
        let (mut rest, mut write_sizes) = (&request[..], write_sizes.into_iter().cycle());
        while !rest.is_empty() {
            assert_eq!(written.progress(), Progress::NotFullyWritten);
            let (now, later) =
                rest.split_at(usize::from(write_sizes.next().unwrap_or(3)).clamp(1, rest.len()));
            written.on_written(now);
            rest = later;
        }
        written.progress() == Progress::FullyWritten
    }
    let seeded = Gen::from_size_and_seed(100, 1);
    QuickCheck::new().tests(200).rng(seeded).quickcheck(counts_as_written as fn(Vec<u8>, Vec<u8>) -> bool);
}

fn call_of(bulk: bool) -> EndpointCall {
    let part = CallMessage { id: "a".to_owned(), idempotency_key: None, body: Bytes::from_static(b"body") };
    EndpointCall {
        messages: vec![part; 1 + usize::from(bulk)],
        is_bulk: bulk,
        time_left: 1_000_000,
        deadline: 0,
        send_by: 0,
    }
}

/// A connection of the forwarder to an endpoint whose socket the test holds. The endpoint acts while the test does not
/// yield, so that nothing else runs meanwhile.
struct TestConnection {
    endpoint: std::net::TcpStream,
    calls: Option<UnboundedSender<ScheduledCall>>,
    reports: UnboundedReceiver<Input>,
}

const TEST_TIMEOUT: Duration = Duration::from_secs(20);
const OK: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

impl TestConnection {
    async fn connect() -> Self {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("binds to a port");
        let address = listener.local_addr().expect("has a local address");
        let ((calls, call_receiver), (inputs, reports)) = (unbounded_channel(), unbounded_channel());
        spawn_local(run(1, address, Instant::now() + TEST_TIMEOUT, call_receiver, inputs));
        let mut connection =
            TestConnection { endpoint: accept_one(listener).await, calls: Some(calls), reports };
        assert!(matches!(connection.next().await, Input::ConnectionUp { .. }));
        connection
    }

    async fn next(&mut self) -> Input {
        timeout(TEST_TIMEOUT, self.reports.recv())
            .await
            .expect("an input arrives in time")
            .expect("the connection task is running")
    }

    fn send(&self, time_limit: Duration) {
        let deadline = Instant::now() + time_limit;
        self.schedule(ScheduledCall { call: call_of(false), deadline, send_by: deadline });
    }

    fn schedule(&self, scheduled: ScheduledCall) {
        self.calls.as_ref().expect("not cancelled").send(scheduled).expect("the connection task is running");
    }

    /// Waits until the call is fully written and the endpoint has read all of it.
    async fn wait_until_written(&mut self) {
        assert!(matches!(self.next().await, Input::CallWritten { .. }));
        self.endpoint.set_nonblocking(false).expect("the socket call succeeds");
        let mut request = Vec::new();
        while !request.ends_with(b"body") {
            let mut chunk = [0; 1024];
            let count = self.endpoint.read(&mut chunk).expect("a request arrives");
            request.extend_from_slice(&chunk[..count]);
        }
    }

    /// Carries a call and answers it, so that the connection is idle and reusable.
    async fn make_idle(&mut self) {
        self.send(TEST_TIMEOUT);
        self.wait_until_written().await;
        self.endpoint.write_all(OK).expect("the write succeeds");
        assert!(matches!(self.next().await, Input::CallAnswered { reusable: true, .. }));
    }

    /// Waits until the connection is closed. Returns the error, and the number of bytes that the endpoint received.
    async fn end(&mut self) -> (EndpointCallError, usize) {
        let error = loop {
            match self.next().await {
                Input::ConnectionClosed { error, .. } => break error,
                Input::CallWritten { .. } => {}
                other => panic!("{other:?}"),
            }
        };
        let mut received = Vec::new();
        self.endpoint.set_read_timeout(Some(TEST_TIMEOUT)).expect("the socket call succeeds");
        // A reset ends the reading as well.
        let _ = self.endpoint.read_to_end(&mut received);
        (error, received.len())
    }
}

async fn accept_one(listener: std::net::TcpListener) -> std::net::TcpStream {
    listener.set_nonblocking(true).expect("the socket call succeeds");
    loop {
        match listener.accept() {
            Ok((stream, _)) => return stream,
            Err(_) => sleep(Duration::from_millis(1)).await,
        }
    }
}

fn run_test(test: impl Future<Output = ()>) {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("the runtime starts");
    runtime.block_on(LocalSet::new().run_until(test));
}

// Guards against writing a call on an idle connection that the endpoint has closed, has reset, or has sent bytes on
// just before. The runtime has not yet noticed. If the call were written, its delivery would be in doubt, and the
// earlier bytes would be read as its answer.
#[test]
fn nothing_is_written_on_a_connection_that_closed_or_sent_bytes_when_chosen() {
    for (case, bytes) in
        [("closed", &b""[..]), ("reset", b""), ("half a line", b"HTTP/1.1 2"), ("an answer", OK)]
    {
        run_test(async {
            let mut connection = TestConnection::connect().await;
            connection.make_idle().await;
            // The test does not yield here: first the endpoint acts, then the call is sent.
            connection.endpoint.write_all(bytes).expect("the write succeeds");
            if case == "closed" {
                connection.endpoint.shutdown(std::net::Shutdown::Write).expect("the socket call succeeds");
            }
            connection.send(TEST_TIMEOUT);
            if case == "reset" {
                SockRef::from(&connection.endpoint)
                    .set_linger(Some(Duration::ZERO))
                    .expect("the socket call succeeds");
                let other = std::net::TcpListener::bind("127.0.0.1:0").expect("binds to a port");
                let other_stream =
                    std::net::TcpStream::connect(other.local_addr().expect("has a local address"))
                        .expect("connects");
                // Dropping a socket with a linger time of 0 resets its connection.
                drop(std::mem::replace(&mut connection.endpoint, other_stream));
            }
            let error = loop {
                match connection.next().await {
                    Input::ConnectionClosed { error, .. } => break error,
                    Input::CallAnswered { reply, .. } => panic!("{case}: counted as an answer: {reply:?}"),
                    _ => {}
                }
            };
            assert!(error.not_delivered() && !error.ended_locally(), "{case}: {error}");
            if case != "reset" {
                let mut received = Vec::new();
                let _ = connection.endpoint.read_to_end(&mut received);
                assert!(received.is_empty(), "{case}: {} bytes were written", received.len());
            }
        });
    }
}

// Guards against discarding a response because its call times out or is cancelled at the moment when the response
// arrives. A delay that the response asks for is binding, and a delivery counts.
#[test]
fn response_arriving_with_its_time_out_or_cancellation_counts() {
    const REJECTION: &[u8] =
        b"HTTP/1.1 429 Too Many Requests\r\nX-Come-Back-Ms: 900\r\nContent-Length: 4\r\n\r\nlate";
    for is_cancelled in [false, true] {
        for (answer, status, wait) in [(REJECTION, 429, 900), (OK, 200, 0)] {
            run_test(async {
                let mut connection = TestConnection::connect().await;
                let time_limit = Duration::from_millis(300);
                connection.send(if is_cancelled { TEST_TIMEOUT } else { time_limit });
                connection.wait_until_written().await;
                if !is_cancelled {
                    // Blocks the runtime beyond the deadline, so that it sees the time-out and the response together.
                    std::thread::sleep(time_limit + Duration::from_millis(50));
                }
                connection.endpoint.write_all(answer).expect("the write succeeds");
                if is_cancelled {
                    connection.calls = None;
                }
                match connection.next().await {
                    Input::CallAnswered { reply, reusable, .. } => {
                        assert_eq!(
                            (reply.status, reply.retry_after_ms),
                            (status, wait),
                            "cancelled: {is_cancelled}"
                        );
                        assert!(!reusable || !is_cancelled, "a cancelled call's connection is not reused");
                    }
                    other => panic!("cancelled: {is_cancelled}: {status}: {other:?}"),
                }
            });
        }
    }
}

// Guards against a call that does not end, or counts as answered, when its response is incomplete at the deadline.
#[test]
fn partial_response_at_its_time_out_is_no_response() {
    run_test(async {
        let mut connection = TestConnection::connect().await;
        connection.send(Duration::from_millis(100));
        connection.wait_until_written().await;
        connection
            .endpoint
            .write_all(b"HTTP/1.1 429 Too Many Requests\r\nX-Come-Back-Ms: 9")
            .expect("the write succeeds");
        let (error, _) = connection.end().await;
        assert!(!error.not_delivered() && error.progress == Progress::Answered, "{error}");
    });
}

// Guards against treating a call as not delivered when the connection is reset after its last byte, at once or much
// later.
#[test]
fn late_reset_after_the_last_byte_leaves_delivery_in_doubt() {
    for delay in [Duration::ZERO, Duration::from_millis(700)] {
        run_test(async {
            let mut connection = TestConnection::connect().await;
            connection.send(TEST_TIMEOUT);
            connection.wait_until_written().await;
            sleep(delay).await;
            SockRef::from(&connection.endpoint)
                .set_linger(Some(Duration::ZERO))
                .expect("the socket call succeeds");
            let other = std::net::TcpListener::bind("127.0.0.1:0").expect("binds to a port");
            let other_stream = std::net::TcpStream::connect(other.local_addr().expect("has a local address"))
                .expect("connects");
            drop(std::mem::replace(&mut connection.endpoint, other_stream));
            match connection.next().await {
                Input::ConnectionClosed { error, .. } => {
                    assert_eq!((error.progress, error.outcome()), (Progress::FullyWritten, Outcome::Reset));
                }
                other => panic!("{other:?}"),
            }
        });
    }
}

// Guards against reusing a connection on which bytes follow the answer. The next call would read them as its answer.
#[test]
fn connection_with_trailing_bytes_is_not_reused() {
    run_test(async {
        let mut connection = TestConnection::connect().await;
        connection.send(TEST_TIMEOUT);
        connection.wait_until_written().await;
        connection.endpoint.write_all(&[OK, OK].concat()).expect("the write succeeds");
        assert!(matches!(connection.next().await, Input::CallAnswered { .. }));
        // The connection's task may have ended, or may not yet have noticed the bytes.
        let deadline = Instant::now() + TEST_TIMEOUT;
        let call = ScheduledCall { call: call_of(false), deadline, send_by: deadline };
        let _ = connection.calls.as_ref().expect("not cancelled").send(call);
        let end = connection.next().await;
        assert!(
            matches!(&end, Input::ConnectionClosed { error, .. } if error.progress != Progress::FullyWritten),
            "{end:?}"
        );
        let mut received = Vec::new();
        let _ = connection.endpoint.read_to_end(&mut received);
        assert!(received.is_empty(), "a second call was written");
    });
}

// Guards against a connection attempt that outlasts its deadline or its cancellation because the endpoint never
// answers.
#[test]
fn hanging_connect_times_out() {
    run_test(async {
        let socket = tokio::net::TcpSocket::new_v4().expect("the socket call succeeds");
        socket.bind("127.0.0.1:0".parse().expect("a valid address")).expect("binds to a port");
        let listener = socket.listen(0).expect("the socket listens");
        let address: SocketAddr = listener.local_addr().expect("has a local address");
        let mut waiting = Vec::new();
        while let Ok(Ok(stream)) =
            timeout(Duration::from_millis(300), tokio::net::TcpStream::connect(address)).await
        {
            waiting.push(stream);
        }
        for is_cancelled in [false, true] {
            let ((calls, call_receiver), (inputs, mut reports)) = (unbounded_channel(), unbounded_channel());
            let call_deadline = Duration::from_millis(if is_cancelled { 20_000 } else { 200 });
            spawn_local(run(1, address, Instant::now() + call_deadline, call_receiver, inputs));
            let _open_calls = (!is_cancelled).then_some(calls);
            let end = timeout(Duration::from_secs(5), reports.recv()).await.expect("in time");
            let Some(Input::ConnectionClosed { error, .. }) = end else { panic!("{end:?}") };
            assert!(error.progress == Progress::NotConnected && error.ended_locally(), "{error}");
        }
    });
}

// Guards against a repeat that is written after its deduplication window. The forwarder was paused after the reducer had
// decided on the call and before the connection wrote it.
#[test]
fn call_that_is_late_is_not_written_and_leaves_the_connection_open() {
    run_test(async {
        let mut connection = TestConnection::connect().await;
        let now = Instant::now();
        connection.schedule(ScheduledCall {
            call: call_of(false),
            deadline: now + TEST_TIMEOUT,
            send_by: now,
        });
        assert!(matches!(connection.next().await, Input::CallExpired { connection: 1 }));
        connection.endpoint.set_nonblocking(true).expect("the socket call succeeds");
        let read = connection.endpoint.read(&mut [0; 1]);
        assert!(
            read.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock),
            "a byte was written"
        );
        connection.make_idle().await;
    });
}

// Guards against a connection that stays open, or closes without the reason, after bytes that belong to no call: the
// operators cannot see that an endpoint sends responses twice, and the next call reads the copy (issue 50).
#[test]
fn surplus_bytes_close_an_idle_connection_and_are_its_reported_cause() {
    const TWICE: &[u8] =
        b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    const TOO_LONG: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nlong";
    const INTERIM: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
    let cases: [(&[u8], &[u8]); 6] =
        [(OK, OK), (OK, b"H"), (OK, INTERIM), (OK, b"surplus"), (TWICE, b""), (TOO_LONG, b"")];
    for (response, surplus) in cases {
        run_test(async {
            let mut connection = TestConnection::connect().await;
            connection.send(TEST_TIMEOUT);
            connection.wait_until_written().await;
            connection.endpoint.write_all(response).expect("the write succeeds");
            let answered = connection.next().await;
            assert!(matches!(&answered, Input::CallAnswered { reply, .. } if reply.status == 200));
            connection.endpoint.write_all(surplus).expect("the write succeeds");
            let (error, received) = connection.end().await;
            let case = (String::from_utf8_lossy(response), String::from_utf8_lossy(surplus));
            assert_eq!((error.cause, received), (Cause::SurplusBytes, 0), "{case:?}");
        });
    }
}

// Guards against a response to an earlier bulk call that delivers the messages of the next call (issue 50).
#[test]
fn response_that_names_other_messages_leaves_its_call_in_doubt() {
    const OTHER: &[u8] =
        b"HTTP/1.1 200 OK\r\nContent-Length: 36\r\n\r\n[{\"id\":\"other\",\"state\":\"accepted\"}]\n";
    for is_bulk in [false, true] {
        run_test(async {
            let mut connection = TestConnection::connect().await;
            let deadline = Instant::now() + TEST_TIMEOUT;
            connection.schedule(ScheduledCall { call: call_of(is_bulk), deadline, send_by: deadline });
            assert!(matches!(connection.next().await, Input::CallWritten { .. }));
            connection.endpoint.write_all(OTHER).expect("the write succeeds");
            let (error, _) = connection.end().await;
            assert_eq!(error.cause, Cause::MismatchedResponse, "bulk: {is_bulk}");
            assert!(!error.not_delivered(), "bulk: {is_bulk}");
        });
    }
}

//! Closes of client connections while an answer is still due. The listener is the real one, on real sockets. The test
//! takes the place of the reducer behind the gateway. Clients act between its steps, when nothing else runs on this
//! thread.

use orchidyoke_forwarder::client_api::ClientGateway;
use orchidyoke_forwarder::client_connections::ClientConnections;
use orchidyoke_forwarder::client_listener::listen;
use orchidyoke_forwarder::input::{Input, RequestId, SubmitAnswer};
use std::future::Future;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{sleep, timeout};

/// Limit on each time for which a test waits.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Longer than the time that a shutdown gives a connection for its last bytes (50 ms).
const AFTER_LAST_BYTES_TIMEOUT: Duration = Duration::from_millis(150);

struct TestForwarder {
    address: SocketAddr,
    gateway: Rc<ClientGateway>,
    connections: Rc<ClientConnections>,
    inputs: UnboundedReceiver<Input>,
}

fn bind_listener() -> (tokio::net::TcpListener, SocketAddr) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("binds to a port");
    listener.set_nonblocking(true).expect("the socket call succeeds");
    let address = listener.local_addr().expect("has a local address");
    (tokio::net::TcpListener::from_std(listener).expect("the socket call succeeds"), address)
}

impl TestForwarder {
    fn new(max_connections: usize) -> Self {
        let (listener, address) = bind_listener();
        let (sender, inputs) = unbounded_channel();
        let forwarder = TestForwarder {
            address,
            gateway: ClientGateway::new(sender),
            connections: ClientConnections::new(max_connections),
            inputs,
        };
        spawn_local(listen(listener, forwarder.gateway.clone(), forwarder.connections.clone()));
        forwarder
    }

    /// Waits for the next request that reaches the reducer. Returns the message's id and the request id for the answer.
    async fn next_submission(&mut self) -> (String, RequestId) {
        loop {
            match timeout(TEST_TIMEOUT, self.inputs.recv()).await.expect("a request arrives in time") {
                Some(Input::Submitted { request: request_id, message }) => return (message.id, request_id),
                other => assert!(is_about_connections(other.as_ref()), "{other:?}"),
            }
        }
    }

    /// Waits for the next input that is about a request.
    async fn next_request_input(&mut self) -> Input {
        loop {
            let input = timeout(TEST_TIMEOUT, self.inputs.recv()).await.expect("an input arrives in time");
            if let Some(input) = input.filter(|input| !is_about_connections(Some(input))) {
                return input;
            }
        }
    }

    /// Returns whether the inputs that have arrived include the report that nothing is owed to a client.
    fn has_reported_served(&mut self) -> bool {
        std::iter::from_fn(|| self.inputs.try_recv().ok()).any(|input| matches!(input, Input::ClientServed))
    }

    async fn accept_next(&mut self, message_id: &str) {
        let (submitted, request_id) = self.next_submission().await;
        assert_eq!(submitted, message_id);
        self.gateway.answer(request_id, SubmitAnswer::Accepted);
    }

    /// Waits for the next request or closed connection. Returns the request, or `None` if a connection has closed
    /// first.
    async fn next_submission_before_close(&mut self) -> Option<Input> {
        loop {
            match timeout(TEST_TIMEOUT, self.inputs.recv()).await.expect("the connection closes in time") {
                Some(Input::ClientConnection { connected: false }) => return None,
                submitted @ Some(Input::Submitted { .. }) => return submitted,
                _ => {}
            }
        }
    }
}

fn is_about_connections(input: Option<&Input>) -> bool {
    matches!(input, Some(Input::ClientConnection { .. } | Input::ClientServed | Input::ListenerClosed))
}

fn run(test: impl Future<Output = ()>) {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("the runtime starts");
    runtime.block_on(LocalSet::new().run_until(test));
}

fn request(id: &str, headers: &str) -> String {
    format!(
        "POST /status HTTP/1.1\r\nHost: x\r\nX-Txn: {id}\r\nX-Remaining: 5\r\nX-Consignee: dest=2\r\n{headers}\
         Content-Length: 4\r\n\r\nbody"
    )
}

/// Connects a client and writes a text on its connection.
fn client(address: SocketAddr, text: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).expect("connects");
    stream.set_nodelay(true).expect("the socket call succeeds");
    stream.write_all(text.as_bytes()).expect("the write succeeds");
    stream
}

/// Waits until the client has received bytes, and leaves them unread.
async fn wait_for_answer(stream: &TcpStream) {
    stream.set_nonblocking(true).expect("the socket call succeeds");
    let answer_arrived = async {
        while stream.peek(&mut [0]).is_err_and(|error| error.kind() == ErrorKind::WouldBlock) {
            sleep(Duration::from_millis(1)).await;
        }
    };
    timeout(TEST_TIMEOUT, answer_arrived).await.expect("an answer arrives");
}

/// Reads until the forwarder closes its sending side. A reset is an error.
async fn read_to_close(mut stream: TcpStream) -> std::io::Result<String> {
    stream.set_nonblocking(true)?;
    let mut text = Vec::new();
    let reading = async {
        let mut chunk = [0; 4096];
        loop {
            match stream.read(&mut chunk) {
                Ok(0) => return Ok(()),
                Ok(count) => text.extend_from_slice(&chunk[..count]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => sleep(Duration::from_millis(1)).await,
                Err(error) => return Err(error),
            }
        }
    };
    timeout(TEST_TIMEOUT, reading).await.expect("the forwarder closes in time")?;
    Ok(String::from_utf8_lossy(&text).into_owned())
}

fn is_accepted_once(response: &std::io::Result<String>) -> bool {
    response
        .as_ref()
        .is_ok_and(|text| text.starts_with("HTTP/1.1 202") && text.matches("HTTP/1.1").count() == 1)
}

fn is_refused_once(text: &str) -> bool {
    text.starts_with("HTTP/1.1 503") && text.matches("HTTP/1.1").count() == 1
}

// Guards against a shutdown that closes the connection of a request that waits for the journal or the reducer. The
// client would not get its answer.
#[test]
fn request_in_flight_is_answered_long_after_shutdown() {
    run(async {
        let mut forwarder = TestForwarder::new(8);
        let client = client(forwarder.address, &request("a", ""));
        let (_, request_id) = forwarder.next_submission().await;
        forwarder.connections.shut_down();
        sleep(AFTER_LAST_BYTES_TIMEOUT).await;
        forwarder.gateway.answer(request_id, SubmitAnswer::Accepted);
        let response = read_to_close(client).await;
        assert!(is_accepted_once(&response), "{response:?}");
    });
}

// Guards against accepting a request whose answer takes longer than the second that a shutdown allows, and against
// closing its connection with no answer at all, after which its client cannot know that it may send the request again.
#[test]
fn overdue_request_is_withdrawn_and_refused() {
    run(async {
        let mut forwarder = TestForwarder::new(8);
        let client = client(forwarder.address, &request("a", ""));
        let (_, request_id) = forwarder.next_submission().await;
        forwarder.connections.shut_down();
        let withdrawn = forwarder.next_request_input().await;
        assert!(
            matches!(withdrawn, Input::Withdrawn { request: other } if other == request_id),
            "{withdrawn:?}"
        );
        forwarder.gateway.answer(request_id, SubmitAnswer::Accepted);
        let text = read_to_close(client).await.expect("the connection is not reset");
        assert!(is_refused_once(&text), "the late answer is not sent: {text}");
    });
}

// Guards against the end of reading in a shutdown that closes the connection of a request of which a part has arrived,
// in its head or in its body, with no answer (issue 63). Its client sends the rest at once.
#[test]
fn partial_request_is_refused_at_the_end_of_reading() {
    let text = request("a", "");
    for cut_at in [1, 40, text.len() - 5, text.len() - 1] {
        for rest_is_sent in [false, true] {
            run(async {
                let mut forwarder = TestForwarder::new(8);
                let mut client = client(forwarder.address, &request("first", ""));
                forwarder.accept_next("first").await;
                wait_for_answer(&client).await;
                client.write_all(&text.as_bytes()[..cut_at]).expect("the write succeeds");
                forwarder.connections.shut_down();
                // Until the end of reading, the rest may arrive.
                sleep(AFTER_LAST_BYTES_TIMEOUT).await;
                forwarder.connections.stop_reading();
                let copy = client.try_clone().expect("the socket call succeeds");
                let answers = read_to_close(copy).await.expect("the connection is not reset");
                let (_, answer) = answers.rsplit_once("HTTP/1.1 ").expect("an answer");
                assert!(answer.starts_with("503"), "cut at {cut_at}: {answers}");
                if rest_is_sent {
                    client.write_all(&text.as_bytes()[cut_at..]).expect("the connection is not reset");
                }
                drop(client);
                assert!(forwarder.next_submission_before_close().await.is_none(), "cut at {cut_at}");
            });
        }
    }
}

// Guards against the end of reading in a shutdown that leaves unread what has come in time (issue 63). The rest of the
// request is on the socket, and the runtime has not been told of it yet.
#[test]
fn rest_that_came_before_the_end_of_reading_is_read_and_answered() {
    let text = request("a", "");
    for cut_at in [0, 40, text.len() - 1] {
        run(async {
            let mut forwarder = TestForwarder::new(8);
            let mut client = client(forwarder.address, &text[..cut_at]);
            sleep(Duration::from_millis(20)).await;
            client.write_all(&text.as_bytes()[cut_at..]).expect("the write succeeds");
            forwarder.connections.shut_down();
            forwarder.connections.stop_reading();
            forwarder.accept_next("a").await;
            let response = read_to_close(client).await;
            assert!(is_accepted_once(&response), "cut at {cut_at}: {response:?}");
        });
    }
}

// Guards against a connection that reports that nothing is owed to its client before the answer is written. The process
// exits upon that report (issue 63).
#[test]
fn connection_is_served_only_once_its_answer_is_written() {
    run(async {
        let mut forwarder = TestForwarder::new(8);
        let client = client(forwarder.address, &request("a", ""));
        let (_, request_id) = forwarder.next_submission().await;
        forwarder.connections.shut_down();
        forwarder.connections.stop_reading();
        sleep(Duration::from_millis(20)).await;
        assert!(!forwarder.has_reported_served(), "the answer is not decided");
        forwarder.gateway.answer(request_id, SubmitAnswer::Accepted);
        while !forwarder.has_reported_served() {
            tokio::task::yield_now().await;
        }
        client.set_nonblocking(true).expect("the socket call succeeds");
        let mut bytes = [0; 12];
        (&client).read_exact(&mut bytes).expect("the answer is there");
        assert_eq!(&bytes, b"HTTP/1.1 202");
    });
}

// Guards against connections in the listener's queue that a shutdown resets because all places are taken. They are
// accepted as others close.
#[test]
fn connections_in_the_queue_of_a_full_listener_are_answered_in_shutdown() {
    run(async {
        let mut forwarder = TestForwarder::new(2);
        let address = forwarder.address;
        let waiting: Vec<_> =
            (0..8).map(|number| client(address, &request(&number.to_string(), ""))).collect();
        forwarder.connections.shut_down();
        for _ in 0..waiting.len() {
            let (_, request_id) = forwarder.next_submission().await;
            forwarder.gateway.answer(request_id, SubmitAnswer::Accepted);
        }
        for client in waiting {
            let response = read_to_close(client).await;
            assert!(is_accepted_once(&response), "{response:?}");
        }
    });
}

// Guards against a close while bytes arrive. The system sends a reset for unread bytes, which destroys an answer that
// the client has not yet read. Also guards against accepting a request on an idle connection whose answer nobody can
// receive.
#[test]
fn bytes_crossing_a_close_neither_reset_it_nor_are_accepted() {
    for by_eviction in [false, true] {
        run(async {
            let mut forwarder = TestForwarder::new(if by_eviction { 1 } else { 8 });
            let mut idle_client = client(forwarder.address, &request("a", ""));
            forwarder.accept_next("a").await;
            wait_for_answer(&idle_client).await;
            // Bytes arrive when the close is decided, but not yet carried out.
            let other = by_eviction.then(|| client(forwarder.address, ""));
            if by_eviction {
                // The other client waits for a place. The limit evicts when the test yields.
                tokio::task::yield_now().await;
            } else {
                forwarder.connections.shut_down();
            }
            idle_client.set_nonblocking(false).expect("the socket call succeeds");
            idle_client.write_all(request("b", "").as_bytes()).expect("the write succeeds");
            // A request that is read before the sending side is shut down is answered. After that, its bytes are
            // discarded.
            let response = spawn_local(read_to_close(idle_client));
            let mut submitted = 0;
            while let Some(Input::Submitted { request: request_id, .. }) =
                forwarder.next_submission_before_close().await
            {
                forwarder.gateway.answer(request_id, SubmitAnswer::Accepted);
                submitted += 1;
            }
            let text = response.await.expect("the reading task ends").expect("the connection is not reset");
            let answers = text.matches("HTTP/1.1 202").count();
            // An evicted connection has been signalled before the request. In the shutdown, the request is read first.
            assert_eq!(
                (answers, submitted),
                if by_eviction { (1, 0) } else { (2, 1) },
                "evicted: {by_eviction}: {text}"
            );
            drop(other);
        });
    }
}

// Guards against a reset after an answer with `Connection: close`, caused by bytes that the client has sent after its
// request.
#[test]
fn closing_answer_arrives_whatever_follows_its_request() {
    run(async {
        let mut forwarder = TestForwarder::new(8);
        let mut client = client(forwarder.address, &request("a", "Connection: close\r\n"));
        let (_, request_id) = forwarder.next_submission().await;
        // The forwarder does not read this request, and its bytes are there when the connection closes.
        client.write_all(request("b", "").as_bytes()).expect("the write succeeds");
        forwarder.gateway.answer(request_id, SubmitAnswer::Accepted);
        let response = read_to_close(client).await;
        assert!(is_accepted_once(&response), "{response:?}");
        assert!(
            forwarder.next_submission_before_close().await.is_none(),
            "bytes after the closing request are not a request"
        );
    });
}

// Guards against a handover that resets a client's connection or does not announce the close. The next answer must
// carry `Connection: close`.
#[test]
fn hand_over_closes_each_connection_with_its_next_answer() {
    run(async {
        let mut forwarder = TestForwarder::new(8);
        let mut kept_client = client(forwarder.address, &request("a", ""));
        forwarder.accept_next("a").await;
        wait_for_answer(&kept_client).await;
        forwarder.connections.hand_over();
        kept_client.set_nonblocking(false).expect("the socket call succeeds");
        kept_client.write_all(request("b", "").as_bytes()).expect("the write succeeds");
        forwarder.accept_next("b").await;
        let text = read_to_close(kept_client).await.expect("the connection is not reset");
        let (first, second) = text
            .split_once("HTTP/1.1 202")
            .and_then(|(_, rest)| rest.split_once("HTTP/1.1 202"))
            .expect("the client receives two answers");
        assert!(!first.contains("connection: close") && second.contains("connection: close"), "{text}");
        assert!(!second.contains("HTTP/1.1"), "{text}");
    });
}

// Guards against the close of an idle connection at the moment of its next request. Bytes that arrive after the sending
// side is shut down must neither count as a request nor cause a reset.
#[test]
fn idle_connection_closes_in_time_and_crossing_bytes_are_no_request() {
    run(async {
        let mut forwarder = TestForwarder::new(8);
        let mut idle_client = client(forwarder.address, &request("a", ""));
        forwarder.accept_next("a").await;
        // Reads until the forwarder shuts down its sending side. The client's sending side stays open.
        let copy = idle_client.try_clone().expect("the socket call succeeds");
        let text = read_to_close(copy).await.expect("the connection is not reset");
        assert!(text.starts_with("HTTP/1.1 202"), "{text}");
        idle_client.set_nonblocking(false).expect("the socket call succeeds");
        for _ in 0..3 {
            idle_client.write_all(request("b", "").as_bytes()).expect("the connection is not reset");
            sleep(Duration::from_millis(20)).await;
        }
        assert!(forwarder.next_submission_before_close().await.is_none());
    });
}

/// Time on an idle connection shortly before its time-out (2.1 s).
const NEARLY_IDLE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Longer than the rest of that time-out, and shorter than the time that a head has from its first byte (250 ms).
const OVER_IDLE_TIMEOUT: Duration = Duration::from_millis(150);
/// Time from connecting within which a client is owed its answer or its close.
const END_TIMEOUT: Duration = Duration::from_secs(3);

/// Returns a client whose connection is idle and nearly at its time-out, and on which the first bytes of a request are
/// written. The forwarder has not closed the connection: it does not run between the look and the write.
async fn client_with_late_head(forwarder: &mut TestForwarder, first_bytes: &str) -> TcpStream {
    loop {
        let mut client = client(forwarder.address, &request("first", ""));
        forwarder.accept_next("first").await;
        wait_for_answer(&client).await;
        client.read_exact(&mut [0; 1]).expect("the answer is there");
        while client.read(&mut [0; 4096]).is_ok_and(|count| count > 0) {}
        sleep(NEARLY_IDLE_TIMEOUT).await;
        // A stalled test may be late. It begins again then.
        if client.peek(&mut [0]).is_err_and(|error| error.kind() == ErrorKind::WouldBlock) {
            client.write_all(first_bytes.as_bytes()).expect("the write succeeds");
            return client;
        }
    }
}

// Guards against the time-out of an idle connection that closes it with no answer while a request is arriving, because
// its head is incomplete in that instant.
#[test]
fn head_that_begins_before_the_idle_time_out_is_read_to_its_end() {
    run(async {
        let mut forwarder = TestForwarder::new(8);
        let text = request("a", "");
        let (first, rest) = text.split_at(40);
        let mut client = client_with_late_head(&mut forwarder, first).await;
        sleep(OVER_IDLE_TIMEOUT).await;
        client.write_all(rest.as_bytes()).expect("the write succeeds");
        let submitted = forwarder.next_submission_before_close().await;
        if let Some(Input::Submitted { request: request_id, .. }) = submitted {
            forwarder.gateway.answer(request_id, SubmitAnswer::Accepted);
        }
        drop(client.shutdown(std::net::Shutdown::Write));
        let response = read_to_close(client).await.expect("the connection is not reset");
        // A test that stalls sends the rest late. Its request is refused then.
        assert!(is_accepted_once(&Ok(response.clone())) || is_refused_once(&response), "{response:?}");
    });
}

// Guards against a client that stops within the head of a request and gets neither an answer nor a close within 3 s.
#[test]
fn head_that_does_not_end_is_refused_in_time() {
    run(async {
        let mut forwarder = TestForwarder::new(8);
        let connected_at = tokio::time::Instant::now();
        let client = client(forwarder.address, &request("a", "")[..40]);
        let text = read_to_close(client).await.expect("the connection is not reset");
        assert!(connected_at.elapsed() < END_TIMEOUT, "{:?}", connected_at.elapsed());
        assert!(is_refused_once(&text), "{text}");
        assert!(forwarder.next_submission_before_close().await.is_none());
    });
}

// Guards against an eviction that closes a connection with no answer while the head of a request is arriving.
#[test]
fn partial_head_is_refused_when_its_connection_is_evicted() {
    run(async {
        let mut forwarder = TestForwarder::new(16);
        let mut evicted = client(forwarder.address, &request("first", ""));
        forwarder.accept_next("first").await;
        wait_for_answer(&evicted).await;
        evicted.write_all(&request("a", "").as_bytes()[..40]).expect("the write succeeds");
        let others: Vec<_> = (0..16).map(|_| client(forwarder.address, "")).collect();
        let text = read_to_close(evicted).await.expect("the connection is not reset");
        let (_, answer) = text.rsplit_once("HTTP/1.1 ").expect("an answer");
        assert!(answer.starts_with("503"), "{text}");
        drop(others);
    });
}

// Guards against resetting connections that are in the backlog, not yet accepted, when a shutdown ends accepting.
#[test]
fn connections_in_the_backlog_are_answered_in_shutdown() {
    run(async {
        let (listener, address) = bind_listener();
        let (sender, inputs) = unbounded_channel();
        let (gateway, connections) = (ClientGateway::new(sender), ClientConnections::new(64));
        let waiting: Vec<_> =
            (0..20).map(|number| client(address, &request(&number.to_string(), ""))).collect();
        connections.shut_down();
        spawn_local(listen(listener, gateway.clone(), connections.clone()));
        let mut forwarder = TestForwarder { address, gateway, connections, inputs };
        for _ in 0..waiting.len() {
            let (_, request_id) = forwarder.next_submission().await;
            forwarder.gateway.answer(request_id, SubmitAnswer::Accepted);
        }
        for client in waiting {
            let response = read_to_close(client).await;
            assert!(is_accepted_once(&response), "{response:?}");
        }
    });
}

// Guards against a shutdown that closes a connection whose client has just connected, before its request has arrived.
#[test]
fn client_just_connected_at_shutdown_is_answered() {
    run(async {
        let mut forwarder = TestForwarder::new(8);
        let mut client = client(forwarder.address, "");
        assert!(matches!(forwarder.inputs.recv().await, Some(Input::ClientConnection { connected: true })));
        forwarder.connections.shut_down();
        // The request arrives within the 50 ms that a shutdown gives a new connection. Even if the test stalls for
        // longer than both times, this sleep ends before the 50 ms.
        sleep(Duration::from_millis(10)).await;
        client.write_all(request("a", "").as_bytes()).expect("the write succeeds");
        forwarder.accept_next("a").await;
        let response = read_to_close(client).await;
        assert!(is_accepted_once(&response), "{response:?}");
    });
}

// Guards against clients that ignore the close of their connection and thereby block others. They may keep their places
// only until the next client needs one. If each of them lingered for its second, this test would take over 8 s.
#[test]
fn clients_ignoring_their_close_do_not_block_others() {
    run(async {
        let mut forwarder = TestForwarder::new(64);
        let address = forwarder.address;
        // The clients connect on their own thread, because they are more than the backlog allows, so that some connect
        // only after others have been accepted.
        let idle_clients =
            std::thread::spawn(move || (0..600).map(|_| client(address, "")).collect::<Vec<_>>());
        let all_connect = async {
            let mut connected_count = 0;
            while connected_count < 600 {
                connected_count += usize::from(matches!(
                    forwarder.inputs.recv().await,
                    Some(Input::ClientConnection { connected: true })
                ));
            }
        };
        timeout(Duration::from_secs(5), all_connect).await.expect("all clients connect in time");
        let last_client = client(forwarder.address, &request("a", ""));
        let served = timeout(Duration::from_secs(10), forwarder.accept_next("a")).await;
        assert!(served.is_ok(), "the request is not served in time");
        let response = read_to_close(last_client).await;
        assert!(response.as_ref().is_ok_and(|text| text.starts_with("HTTP/1.1 202")), "{response:?}");
        drop(idle_clients.join().expect("the thread has not panicked"));
    });
}

// Guards against a client that sends small requests at full speed and keeps others waiting: each of its requests is one
// turn, after which other tasks run (issue 60).
#[test]
fn connection_with_pipelined_requests_lets_others_run_after_each() {
    const REQUESTS: usize = 1_000;
    run(async {
        let forwarder = TestForwarder::new(8);
        let requests = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n".repeat(REQUESTS);
        let mut client = client(forwarder.address, &requests);
        client.set_nonblocking(true).expect("the socket call succeeds");
        let (mut turns, mut answers) = (0, Vec::new());
        let read_answers = async {
            while String::from_utf8_lossy(&answers).matches("HTTP/1.1 200").count() < REQUESTS {
                let mut chunk = [0; 4096];
                match client.read(&mut chunk) {
                    Ok(count) => answers.extend_from_slice(&chunk[..count]),
                    Err(error) => assert_eq!(error.kind(), ErrorKind::WouldBlock),
                }
                tokio::task::yield_now().await;
                turns += 1;
            }
        };
        timeout(TEST_TIMEOUT, read_answers).await.expect("all requests are answered in time");
        assert!(turns >= REQUESTS - 1, "{REQUESTS} requests took {turns} turns");
    });
}

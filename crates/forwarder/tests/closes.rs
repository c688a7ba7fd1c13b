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

/// Time limit for anything that the test waits for.
const PATIENCE: Duration = Duration::from_secs(20);
/// Longer than the time that a shutdown gives a connection for its last bytes (50 ms).
const PAST_THE_CUT: Duration = Duration::from_millis(150);

struct Stage {
    address: SocketAddr,
    gateway: Rc<ClientGateway>,
    connections: Rc<ClientConnections>,
    inputs: UnboundedReceiver<Input>,
}

fn socket() -> (tokio::net::TcpListener, SocketAddr) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("binds to a port");
    listener.set_nonblocking(true).expect("the socket call succeeds");
    let address = listener.local_addr().expect("has a local address");
    (tokio::net::TcpListener::from_std(listener).expect("the socket call succeeds"), address)
}

impl Stage {
    fn new(most: usize) -> Self {
        let (listener, address) = socket();
        let (sender, inputs) = unbounded_channel();
        let stage = Stage {
            address,
            gateway: ClientGateway::new(sender),
            connections: ClientConnections::new(most),
            inputs,
        };
        spawn_local(listen(listener, stage.gateway.clone(), stage.connections.clone()));
        stage
    }

    /// Waits for the next request that reaches the reducer. Returns the message's id and the request id for the answer.
    async fn handed(&mut self) -> (String, RequestId) {
        loop {
            match timeout(PATIENCE, self.inputs.recv()).await.expect("a request arrives in time") {
                Some(Input::Submitted { request: ticket, message }) => return (message.id, ticket),
                other => assert!(matches!(other, Some(Input::ClientConnection { .. })), "{other:?}"),
            }
        }
    }

    async fn take_on(&mut self, txn: &str) {
        let (handed, ticket) = self.handed().await;
        assert_eq!(handed, txn);
        self.gateway.answer(ticket, SubmitAnswer::Accepted);
    }

    /// Waits for the next request or closed connection. Returns the request, or `None` if a connection has closed
    /// first.
    async fn until_left(&mut self) -> Option<Input> {
        loop {
            match timeout(PATIENCE, self.inputs.recv()).await.expect("the connection closes in time") {
                Some(Input::ClientConnection { connected: false }) => return None,
                handed @ Some(Input::Submitted { .. }) => return handed,
                _ => {}
            }
        }
    }
}

fn run(test: impl Future<Output = ()>) {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("the runtime starts");
    runtime.block_on(LocalSet::new().run_until(test));
}

fn request(txn: &str, more: &str) -> String {
    format!(
        "POST /status HTTP/1.1\r\nHost: x\r\nX-Txn: {txn}\r\nX-Remaining: 5\r\nX-Consignee: dest=2\r\n{more}\
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
async fn answer_is_there(stream: &TcpStream) {
    stream.set_nonblocking(true).expect("the socket call succeeds");
    let there = async {
        while stream.peek(&mut [0]).is_err_and(|error| error.kind() == ErrorKind::WouldBlock) {
            sleep(Duration::from_millis(1)).await;
        }
    };
    timeout(PATIENCE, there).await.expect("an answer arrives");
}

/// Reads until the forwarder closes its sending side. A reset is an error.
async fn rest_of(mut stream: TcpStream) -> std::io::Result<String> {
    stream.set_nonblocking(true)?;
    let mut text = Vec::new();
    let reads = async {
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
    timeout(PATIENCE, reads).await.expect("the forwarder closes in time")?;
    Ok(String::from_utf8_lossy(&text).into_owned())
}

fn is_taken_on(heard: &std::io::Result<String>) -> bool {
    heard.as_ref().is_ok_and(|text| text.starts_with("HTTP/1.1 202") && text.matches("HTTP/1.1").count() == 1)
}

// Guards against a shutdown that closes the connection of a request that waits for the journal or the reducer. The
// client would not get its answer.
#[test]
fn request_in_flight_is_answered_long_after_shutdown() {
    run(async {
        let mut stage = Stage::new(8);
        let client = client(stage.address, &request("a", ""));
        let (_, ticket) = stage.handed().await;
        stage.connections.shut_down();
        sleep(PAST_THE_CUT).await;
        stage.gateway.answer(ticket, SubmitAnswer::Accepted);
        let heard = rest_of(client).await;
        assert!(is_taken_on(&heard), "{heard:?}");
    });
}

// Guards against accepting a request whose answer takes longer than the second that a shutdown allows. Its connection
// is closed by then, so the client would never learn of the acceptance.
#[test]
fn cut_request_is_withdrawn() {
    run(async {
        let mut stage = Stage::new(8);
        let client = client(stage.address, &request("a", ""));
        let (_, ticket) = stage.handed().await;
        stage.connections.shut_down();
        let withdrawn =
            timeout(PATIENCE, stage.inputs.recv()).await.expect("the request is withdrawn in time");
        assert!(
            matches!(withdrawn, Some(Input::Withdrawn { request: other }) if other == ticket),
            "{withdrawn:?}"
        );
        stage.gateway.answer(ticket, SubmitAnswer::Accepted);
        assert_eq!(
            rest_of(client).await.expect("the connection is not reset"),
            "",
            "the late answer is not sent"
        );
    });
}

// Guards against a close while bytes arrive. The system sends a reset for unread bytes, which destroys an answer that
// the client has not yet read. Also guards against accepting a request on an idle connection whose answer nobody can
// receive.
#[test]
fn bytes_crossing_a_close_neither_reset_it_nor_are_accepted() {
    for evicts in [false, true] {
        run(async {
            let mut stage = Stage::new(if evicts { 1 } else { 8 });
            let mut resting = client(stage.address, &request("a", ""));
            stage.take_on("a").await;
            answer_is_there(&resting).await;
            // Bytes arrive when the close is decided, but not yet carried out.
            let other = evicts.then(|| client(stage.address, ""));
            if evicts {
                // The other client waits for a place. The limit evicts when the test yields.
                tokio::task::yield_now().await;
            } else {
                stage.connections.shut_down();
            }
            resting.set_nonblocking(false).expect("the socket call succeeds");
            resting.write_all(request("b", "").as_bytes()).expect("the write succeeds");
            // A request that is read before the sending side is shut down is answered. After that, its bytes are
            // discarded.
            let heard = spawn_local(rest_of(resting));
            let mut handed = 0;
            while let Some(Input::Submitted { request: ticket, .. }) = stage.until_left().await {
                stage.gateway.answer(ticket, SubmitAnswer::Accepted);
                handed += 1;
            }
            let text = heard.await.expect("the reading task ends").expect("the connection is not reset");
            let answers = text.matches("HTTP/1.1 202").count();
            // An evicted connection has been signalled before the request. In the shutdown, the request is read first.
            assert_eq!((answers, handed), if evicts { (1, 0) } else { (2, 1) }, "evicted: {evicts}: {text}");
            drop(other);
        });
    }
}

// Guards against a reset after an answer with `Connection: close`, caused by bytes that the client has sent after its
// request.
#[test]
fn closing_answer_arrives_whatever_follows_its_request() {
    run(async {
        let mut stage = Stage::new(8);
        let mut client = client(stage.address, &request("a", "Connection: close\r\n"));
        let (_, ticket) = stage.handed().await;
        // The forwarder does not read this request, and its bytes are there when the connection closes.
        client.write_all(request("b", "").as_bytes()).expect("the write succeeds");
        stage.gateway.answer(ticket, SubmitAnswer::Accepted);
        let heard = rest_of(client).await;
        assert!(is_taken_on(&heard), "{heard:?}");
        assert!(stage.until_left().await.is_none(), "bytes after the closing request are not a request");
    });
}

// Guards against a handover that resets a client's connection or does not announce the close. The next answer must
// carry `Connection: close`.
#[test]
fn hand_over_closes_each_connection_with_its_next_answer() {
    run(async {
        let mut stage = Stage::new(8);
        let mut kept = client(stage.address, &request("a", ""));
        stage.take_on("a").await;
        answer_is_there(&kept).await;
        stage.connections.hand_over();
        kept.set_nonblocking(false).expect("the socket call succeeds");
        kept.write_all(request("b", "").as_bytes()).expect("the write succeeds");
        stage.take_on("b").await;
        let text = rest_of(kept).await.expect("the connection is not reset");
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
        let mut stage = Stage::new(8);
        let mut resting = client(stage.address, &request("a", ""));
        stage.take_on("a").await;
        // Reads until the forwarder shuts down its sending side. The client's sending side stays open.
        let copy = resting.try_clone().expect("the socket call succeeds");
        let text = rest_of(copy).await.expect("the connection is not reset");
        assert!(text.starts_with("HTTP/1.1 202"), "{text}");
        resting.set_nonblocking(false).expect("the socket call succeeds");
        for _ in 0..3 {
            resting.write_all(request("b", "").as_bytes()).expect("the connection is not reset");
            sleep(Duration::from_millis(20)).await;
        }
        assert!(stage.until_left().await.is_none());
    });
}

// Guards against resetting connections that are in the backlog, not yet accepted, when a shutdown ends accepting.
#[test]
fn connections_in_the_backlog_are_answered_in_shutdown() {
    run(async {
        let (listener, address) = socket();
        let (sender, inputs) = unbounded_channel();
        let (gateway, connections) = (ClientGateway::new(sender), ClientConnections::new(64));
        let waiting: Vec<_> = (0..20).map(|n| client(address, &request(&n.to_string(), ""))).collect();
        connections.shut_down();
        spawn_local(listen(listener, gateway.clone(), connections.clone()));
        let mut stage = Stage { address, gateway, connections, inputs };
        for _ in 0..waiting.len() {
            let (_, ticket) = stage.handed().await;
            stage.gateway.answer(ticket, SubmitAnswer::Accepted);
        }
        for client in waiting {
            let heard = rest_of(client).await;
            assert!(is_taken_on(&heard), "{heard:?}");
        }
    });
}

// Guards against a shutdown that closes a connection whose client has just connected, before its request has arrived.
#[test]
fn client_just_connected_at_shutdown_is_answered() {
    run(async {
        let mut stage = Stage::new(8);
        let mut client = client(stage.address, "");
        assert!(matches!(stage.inputs.recv().await, Some(Input::ClientConnection { connected: true })));
        stage.connections.shut_down();
        // Within the time that the connection gets. If the test stalls for longer than both times, this sleep still
        // ends first.
        sleep(Duration::from_millis(10)).await;
        client.write_all(request("a", "").as_bytes()).expect("the write succeeds");
        stage.take_on("a").await;
        let heard = rest_of(client).await;
        assert!(is_taken_on(&heard), "{heard:?}");
    });
}

// Guards against clients that ignore the close of their connection and thereby block others. They may keep their places
// only until the next client needs one. If each of them lingered for its second, this test would take over 8 s.
#[test]
fn clients_ignoring_their_close_do_not_block_others() {
    run(async {
        let mut stage = Stage::new(64);
        let address = stage.address;
        // These connect on their own thread, because they exceed the backlog and connect only as others are accepted.
        let crowd = std::thread::spawn(move || (0..600).map(|_| client(address, "")).collect::<Vec<_>>());
        let all_join = async {
            let mut joined = 0;
            while joined < 600 {
                joined += usize::from(matches!(
                    stage.inputs.recv().await,
                    Some(Input::ClientConnection { connected: true })
                ));
            }
        };
        timeout(Duration::from_secs(5), all_join).await.expect("all clients connect in time");
        let asks = client(stage.address, &request("a", ""));
        let served = timeout(Duration::from_secs(10), stage.take_on("a")).await;
        assert!(served.is_ok(), "the request is not served in time");
        let heard = rest_of(asks).await;
        assert!(heard.as_ref().is_ok_and(|text| text.starts_with("HTTP/1.1 202")), "{heard:?}");
        drop(crowd.join().expect("the thread has not panicked"));
    });
}

//! Closes of the sender side's connections in the instant in which something is still owed. The listener is the program's
//! own on real sockets; the test stands in for the reducer behind the gateway, and clients act between its steps: nothing
//! else runs on this thread while they do.

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

/// What has to come does so within this, or the test fails.
const PATIENCE: Duration = Duration::from_secs(20);
/// Longer than a connection is given for its last moment (50 ms).
const PAST_THE_CUT: Duration = Duration::from_millis(150);

struct Stage {
    address: SocketAddr,
    gateway: Rc<ClientGateway>,
    connections: Rc<ClientConnections>,
    inputs: UnboundedReceiver<Input>,
}

fn socket() -> (tokio::net::TcpListener, SocketAddr) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.set_nonblocking(true).expect("a socket");
    let address = listener.local_addr().expect("bound");
    (tokio::net::TcpListener::from_std(listener).expect("a socket"), address)
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

    /// The next request that reaches the reducer: its id and the ticket to answer it with.
    async fn handed(&mut self) -> (String, RequestId) {
        loop {
            match timeout(PATIENCE, self.inputs.recv()).await.expect("a request has to come") {
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

    /// What comes next: a request, or none before a connection is closed for good.
    async fn until_left(&mut self) -> Option<Input> {
        loop {
            match timeout(PATIENCE, self.inputs.recv()).await.expect("it closes") {
                Some(Input::ClientConnection { connected: false }) => return None,
                handed @ Some(Input::Submitted { .. }) => return handed,
                _ => {}
            }
        }
    }
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(LocalSet::new().run_until(test));
}

fn request(txn: &str, more: &str) -> String {
    format!(
        "POST /status HTTP/1.1\r\nHost: x\r\nX-Txn: {txn}\r\nX-Remaining: 5\r\nX-Consignee: dest=2\r\n{more}\
         Content-Length: 4\r\n\r\nbody"
    )
}

/// A client that has connected and written this.
fn client(address: SocketAddr, text: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).expect("taken");
    stream.set_nodelay(true).expect("a socket");
    stream.write_all(text.as_bytes()).expect("written");
    stream
}

/// Waits until there is something to read, and reads nothing.
async fn answer_is_there(stream: &TcpStream) {
    stream.set_nonblocking(true).expect("a socket");
    let there = async {
        while stream.peek(&mut [0]).is_err_and(|error| error.kind() == ErrorKind::WouldBlock) {
            sleep(Duration::from_millis(1)).await;
        }
    };
    timeout(PATIENCE, there).await.expect("an answer");
}

/// Reads to the end of what the forwarder sends; a reset is an error.
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
    timeout(PATIENCE, reads).await.expect("it ends")?;
    Ok(String::from_utf8_lossy(&text).into_owned())
}

fn is_taken_on(heard: &std::io::Result<String>) -> bool {
    heard.as_ref().is_ok_and(|text| text.starts_with("HTTP/1.1 202") && text.matches("HTTP/1.1").count() == 1)
}

// Guards against a request that waits for the journal or the reducer when its connection is shut down, and is cut without
// its answer: for its client it is lost.
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

// Guards against a request whose answer does not come in a second that is taken on all the same: its client has gone.
#[test]
fn cut_request_is_withdrawn() {
    run(async {
        let mut stage = Stage::new(8);
        let client = client(stage.address, &request("a", ""));
        let (_, ticket) = stage.handed().await;
        stage.connections.shut_down();
        let withdrawn = timeout(PATIENCE, stage.inputs.recv()).await.expect("it is cut");
        assert!(
            matches!(withdrawn, Some(Input::Withdrawn { request: other }) if other == ticket),
            "{withdrawn:?}"
        );
        stage.gateway.answer(ticket, SubmitAnswer::Accepted);
        assert_eq!(rest_of(client).await.expect("no reset"), "", "nobody is told that it was taken on");
    });
}

// Guards against a close over bytes that arrive with it: the reset that the system sends for unread bytes takes with it
// an answer that the client has not yet read, and a request on a resting connection is taken on though nobody hears.
#[test]
fn bytes_crossing_a_close_neither_reset_it_nor_are_accepted() {
    for evicts in [false, true] {
        run(async {
            let mut stage = Stage::new(if evicts { 1 } else { 8 });
            let mut resting = client(stage.address, &request("a", ""));
            stage.take_on("a").await;
            answer_is_there(&resting).await;
            // The close is decided on, and nobody has acted on it yet: now bytes arrive.
            let other = evicts.then(|| client(stage.address, ""));
            if evicts {
                // The other waits for the place: the limit acts with the next turn.
                tokio::task::yield_now().await;
            } else {
                stage.connections.shut_down();
            }
            resting.set_nonblocking(false).expect("a socket");
            resting.write_all(request("b", "").as_bytes()).expect("written");
            // Read before the end of the sending, it is answered; after that it is no request at all.
            let heard = spawn_local(rest_of(resting));
            let mut handed = 0;
            while let Some(Input::Submitted { request: ticket, .. }) = stage.until_left().await {
                stage.gateway.answer(ticket, SubmitAnswer::Accepted);
                handed += 1;
            }
            let text = heard.await.expect("it reads").expect("no reset");
            let answers = text.matches("HTTP/1.1 202").count();
            // One that is evicted has been told by now; at the end it came before the forwarder had acted.
            assert_eq!((answers, handed), if evicts { (1, 0) } else { (2, 1) }, "evicted: {evicts}: {text}");
            drop(other);
        });
    }
}

// Guards against a reset after an answer that says `Connection: close`, by bytes that its client had sent after it.
#[test]
fn closing_answer_arrives_whatever_follows_its_request() {
    run(async {
        let mut stage = Stage::new(8);
        let mut client = client(stage.address, &request("a", "Connection: close\r\n"));
        let (_, ticket) = stage.handed().await;
        // Nobody reads this any more, and it is there when the connection closes.
        client.write_all(request("b", "").as_bytes()).expect("written");
        stage.gateway.answer(ticket, SubmitAnswer::Accepted);
        let heard = rest_of(client).await;
        assert!(is_taken_on(&heard), "{heard:?}");
        assert!(stage.until_left().await.is_none(), "what follows a close is no request");
    });
}

// Guards against a client that is told nothing of the hand-over, or reset in it: its next answer says that it closes.
#[test]
fn hand_over_closes_each_connection_with_its_next_answer() {
    run(async {
        let mut stage = Stage::new(8);
        let mut kept = client(stage.address, &request("a", ""));
        stage.take_on("a").await;
        answer_is_there(&kept).await;
        stage.connections.hand_over();
        kept.set_nonblocking(false).expect("a socket");
        kept.write_all(request("b", "").as_bytes()).expect("written");
        stage.take_on("b").await;
        let text = rest_of(kept).await.expect("no reset");
        let (first, second) = text
            .split_once("HTTP/1.1 202")
            .and_then(|(_, rest)| rest.split_once("HTTP/1.1 202"))
            .expect("two answers");
        assert!(!first.contains("connection: close") && second.contains("connection: close"), "{text}");
        assert!(!second.contains("HTTP/1.1"), "{text}");
    });
}

// Guards against an idle connection's close in the instant of its next request: after the end of the sending nothing is a
// request, and no reset goes out for it.
#[test]
fn idle_connection_closes_in_time_and_crossing_bytes_are_no_request() {
    run(async {
        let mut stage = Stage::new(8);
        let mut resting = client(stage.address, &request("a", ""));
        stage.take_on("a").await;
        // Read as far as the forwarder's end; the client's own end stays open.
        let copy = resting.try_clone().expect("a socket");
        let text = rest_of(copy).await.expect("no reset");
        assert!(text.starts_with("HTTP/1.1 202"), "{text}");
        resting.set_nonblocking(false).expect("a socket");
        for _ in 0..3 {
            resting.write_all(request("b", "").as_bytes()).expect("no reset");
            sleep(Duration::from_millis(20)).await;
        }
        assert!(stage.until_left().await.is_none());
    });
}

// Guards against connections that have come, and were not yet taken when the stop ends accepting: they would be reset.
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

// Guards against a stop that closes a connection whose client has only just connected, before its request has come.
#[test]
fn client_just_connected_at_shutdown_is_answered() {
    run(async {
        let mut stage = Stage::new(8);
        let mut client = client(stage.address, "");
        assert!(matches!(stage.inputs.recv().await, Some(Input::ClientConnection { connected: true })));
        stage.connections.shut_down();
        // Within the moment that it is given; after a stall that outlasts both, this wakes first.
        sleep(Duration::from_millis(10)).await;
        client.write_all(request("a", "").as_bytes()).expect("written");
        stage.take_on("a").await;
        let heard = rest_of(client).await;
        assert!(is_taken_on(&heard), "{heard:?}");
    });
}

// Guards against closes that keep others out: clients that ignore theirs hold their places for no longer than the next
// one needs it. With each of them lingering for its second this takes over eight.
#[test]
fn clients_ignoring_their_close_do_not_block_others() {
    run(async {
        let mut stage = Stage::new(64);
        let address = stage.address;
        // On a thread of its own: more than the system lets wait, so they connect as others are taken.
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
        timeout(Duration::from_secs(5), all_join).await.expect("none is kept out");
        let asks = client(stage.address, &request("a", ""));
        let served = timeout(Duration::from_secs(10), stage.take_on("a")).await;
        assert!(served.is_ok(), "it is kept out");
        let heard = rest_of(asks).await;
        assert!(heard.as_ref().is_ok_and(|text| text.starts_with("HTTP/1.1 202")), "{heard:?}");
        drop(crowd.join().expect("they have connected"));
    });
}

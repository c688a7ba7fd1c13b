//! Tests of the program with clients that leave before their requests are read.

use orchidyoke_fakes::TemporaryFolder;
use orchidyoke_fakes::destination::{CapacityModel, DestinationServer};
use orchidyoke_fakes::discovery::DiscoveryServer;
use orchidyoke_fakes::forwarder::{ForwarderConfig, ForwarderProcess, endpoint_entry};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::time::{Duration, Instant};

const TIMEOUT: Duration = Duration::from_secs(20);
/// Time in which a message would be delivered if it had been accepted.
const DELIVERY_TIME: Duration = Duration::from_millis(500);

struct TestForwarder {
    program: &'static Path,
    process: ForwarderProcess,
    destination: DestinationServer,
    discovery: DiscoveryServer,
    folder: TemporaryFolder,
}

impl TestForwarder {
    fn start(name: &str) -> Self {
        TestForwarder::start_with(name, |program, folder| ForwarderProcess::start(program, folder, &[]))
    }

    fn start_with(name: &str, start: impl Fn(&Path, &TemporaryFolder) -> ForwarderProcess) -> Self {
        let destination = DestinationServer::new(CapacityModel::default());
        let discovery = DiscoveryServer::start("");
        let folder = TemporaryFolder::new(name);
        let mut config = ForwarderConfig::new(discovery.address());
        config.endpoints = vec![endpoint_entry("s-1", destination.open_endpoint(), 2)];
        folder.write("config.json", &config.text());
        let program = Path::new(env!("CARGO_BIN_EXE_orchidyoke"));
        let process = start(program, &folder);
        TestForwarder { program, process, destination, discovery, folder }
    }

    fn delivered(&self) -> Vec<String> {
        self.destination.calls().into_iter().map(|call| call.message_id).collect()
    }

    fn wait_for_delivery(&self, id: &str) {
        let deadline = Instant::now() + TIMEOUT;
        while !self.delivered().iter().any(|delivered| delivered == id) {
            assert!(Instant::now() < deadline, "{id} is not delivered");
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Waits until a message is delivered or ended by a notification.
    fn wait_for_final_answer(&self, id: &str) {
        let deadline = Instant::now() + TIMEOUT;
        while !self.delivered().iter().any(|delivered| delivered == id)
            && !self.discovery.notifications().contains_key(id)
        {
            assert!(Instant::now() < deadline, "{id} has no final answer");
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

fn request(id: &str, body_bytes: usize) -> String {
    format!(
        "POST /orders HTTP/1.1\r\nHost: x\r\nX-Txn: {id}\r\nX-Org: acme\r\nX-Remaining: 10.0\r\n\
         X-Consignee: dest=2\r\nContent-Length: {body_bytes}\r\n\r\n{}",
        "b".repeat(body_bytes)
    )
}

/// Connects a client that has an answer which it has not read. Closing this client resets the connection.
fn client_with_unread_answer(address: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(address).expect("connected");
    stream.set_read_timeout(Some(TIMEOUT)).expect("read timeout set");
    stream.write_all(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n").expect("bytes sent");
    assert!(stream.peek(&mut [0]).expect("an answer") > 0);
    stream
}

// Guards against accepting the requests of a client that has closed its connection with an answer unread: it has left, so
// it never learns of their fate and may have submitted them elsewhere (issue 60).
#[test]
fn requests_of_a_client_that_has_reset_its_connection_are_not_accepted() {
    let forwarder = TestForwarder::start("leaving");
    for (name, count, body_bytes) in [("one", 1, 4), ("many", 50, 4), ("large", 3, 30_000)] {
        let mut client = client_with_unread_answer(forwarder.process.address);
        // The forwarder is held up, so that the requests and the reset are there when it reads again.
        forwarder.process.signal("STOP");
        let requests: String =
            (0..count).map(|number| request(&format!("{name}-{number}"), body_bytes)).collect();
        client.write_all(requests.as_bytes()).expect("bytes sent");
        drop(client);
        forwarder.process.signal("CONT");
        let after = format!("after-{name}");
        assert_eq!(forwarder.process.submit_message("orders", &after, 2), 202);
        forwarder.wait_for_delivery(&after);
        std::thread::sleep(DELIVERY_TIME);
        let delivered = forwarder.delivered();
        assert!(!delivered.iter().any(|id| id.starts_with(name)), "{delivered:?}");
    }
}

// Guards against a client that has only shut down its sending side and gets no answer to what it has sent.
#[test]
fn requests_before_a_half_close_are_answered() {
    let forwarder = TestForwarder::start("half-close");
    let mut client = TcpStream::connect(forwarder.process.address).expect("connected");
    client.set_read_timeout(Some(TIMEOUT)).expect("read timeout set");
    let requests: String = (0..20).map(|number| request(&format!("h-{number}"), 4)).collect();
    client.write_all(requests.as_bytes()).expect("bytes sent");
    client.shutdown(std::net::Shutdown::Write).expect("sending side shut down");
    let mut answers = String::new();
    client.read_to_string(&mut answers).expect("answers read");
    assert_eq!(answers.matches("HTTP/1.1 202").count(), 20, "{answers}");
}

/// How a client leaves after its request.
#[derive(Clone, Copy, Debug)]
enum Leaving {
    /// It closes its connection.
    Close,
    /// It closes its connection with an answer unread, which resets it.
    Reset,
    /// It shuts down its sending side.
    HalfClose,
}

// Guards against an id that is executed twice when it comes again at the other process of an upgrade after its client has
// left (issue 60).
#[test]
fn id_that_comes_again_at_the_successor_is_executed_once() {
    const ROUNDS: usize = 30;
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("listener bound");
    let address = listener.local_addr().expect("address of the listener");
    let start = |program: &Path, folder: &TemporaryFolder| {
        ForwarderProcess::start_with_listener(program, folder, &listener).0
    };
    let forwarder = TestForwarder::start_with("leaving-upgrade", start);
    // These connections stay with the predecessor.
    let mut kept: Vec<TcpStream> = (0..ROUNDS).map(|_| client_with_unread_answer(address)).collect();
    let successor = start(forwarder.program, &forwarder.folder);
    let mut accepted = Vec::new();
    for (number, client) in kept.iter_mut().enumerate() {
        let leaving = [Leaving::Close, Leaving::Reset, Leaving::HalfClose][number % 3];
        let id = format!("{leaving:?}-{number}");
        if !matches!(leaving, Leaving::Reset) {
            read_answer(client);
        }
        client.write_all(request(&id, 300).as_bytes()).expect("bytes sent");
        match leaving {
            Leaving::HalfClose => client.shutdown(std::net::Shutdown::Write).expect("sending side shut down"),
            Leaving::Close | Leaving::Reset => {
                // Replacing the stream closes it.
                *client = TcpStream::connect(address).expect("connected");
            }
        }
        std::thread::sleep(Duration::from_millis(number as u64 % 7));
        let mut again = TcpStream::connect(address).expect("connected");
        again.set_read_timeout(Some(TIMEOUT)).expect("read timeout set");
        again.write_all(request(&id, 300).as_bytes()).expect("bytes sent");
        if read_answer(&mut again).starts_with("HTTP/1.1 202") {
            accepted.push(id);
        }
    }
    assert!(accepted.len() > ROUNDS / 2, "{accepted:?}");
    forwarder.process.signal("TERM");
    accepted.iter().for_each(|id| forwarder.wait_for_final_answer(id));
    std::thread::sleep(DELIVERY_TIME);
    let delivered = forwarder.delivered();
    let distinct: std::collections::BTreeSet<_> = delivered.iter().collect();
    assert_eq!(delivered.len(), distinct.len(), "an order was sent twice: {delivered:?}");
    drop(successor);
}

/// Reads an answer and returns its text.
fn read_answer(stream: &mut TcpStream) -> String {
    let mut text = Vec::new();
    let mut chunk = [0; 1024];
    while !String::from_utf8_lossy(&text).contains("\r\n\r\n") {
        let count = stream.read(&mut chunk).expect("an answer");
        assert!(count > 0, "the connection is closed: {}", String::from_utf8_lossy(&text));
        text.extend_from_slice(&chunk[..count]);
    }
    String::from_utf8_lossy(&text).into_owned()
}

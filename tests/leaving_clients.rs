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
    process: ForwarderProcess,
    destination: DestinationServer,
    _discovery: DiscoveryServer,
    _folder: TemporaryFolder,
}

impl TestForwarder {
    fn start(name: &str) -> Self {
        let destination = DestinationServer::new(CapacityModel::default());
        let discovery = DiscoveryServer::start("");
        let folder = TemporaryFolder::new(name);
        let mut config = ForwarderConfig::new(discovery.address());
        config.endpoints = vec![endpoint_entry("s-1", destination.open_endpoint(), 2)];
        folder.write("config.json", &config.text());
        let program = Path::new(env!("CARGO_BIN_EXE_orchidyoke"));
        let process = ForwarderProcess::start(program, &folder, &[]);
        TestForwarder { process, destination, _discovery: discovery, _folder: folder }
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

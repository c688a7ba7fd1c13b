//! Tests of the program with clients that use the id of another client's message. Every wait is for an event that has
//! to happen.

use orchidyoke_fakes::TemporaryFolder;
use orchidyoke_fakes::destination::{CapacityModel, DestinationServer};
use orchidyoke_fakes::discovery::DiscoveryServer;
use orchidyoke_fakes::forwarder::{ForwarderConfig, ForwarderProcess, endpoint_entry};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::Path;
use std::time::{Duration, Instant};

const TIMEOUT: Duration = Duration::from_secs(20);

fn request(id: &str, destination: u64, body: &str) -> String {
    format!(
        "POST /status HTTP/1.1\r\nHost: x\r\nX-Txn: {id}\r\nX-Org: acme\r\nX-Remaining: 5.0\r\n\
         X-Consignee: dest={destination}\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Reads the answer on a connection that the forwarder closes after it, and returns its status.
fn read_status(mut stream: TcpStream) -> u16 {
    let mut text = String::new();
    stream.read_to_string(&mut text).expect("answer read");
    let status = text.split(' ').nth(1).and_then(|status| status.parse().ok());
    status.unwrap_or_else(|| panic!("no status in {text:?}"))
}

fn wait_for_call(destination: &DestinationServer, id: &str) {
    let deadline = Instant::now() + TIMEOUT;
    while !destination.calls().iter().any(|call| call.message_id == id) {
        assert!(Instant::now() < deadline, "{id} was accepted and is not delivered");
        std::thread::sleep(Duration::from_millis(10));
    }
}

// Guards against a message that is accepted and dropped. While its request arrived in two parts, another client sent a
// whole request with the same id for another destination.
#[test]
fn accepted_message_is_delivered_although_another_client_sent_its_id() {
    let destinations = [2, 3].map(|number| (number, DestinationServer::new(CapacityModel::default())));
    let discovery = DiscoveryServer::start("");
    let folder = TemporaryFolder::new("message-ids");
    let mut config = ForwarderConfig::new(discovery.address());
    let endpoint = |(number, server): &(u64, DestinationServer)| {
        endpoint_entry(&format!("s-{number}"), server.open_endpoint(), *number)
    };
    config.endpoints = destinations.iter().map(endpoint).collect();
    folder.write("config.json", &config.text());
    let forwarder = ForwarderProcess::start(Path::new(env!("CARGO_BIN_EXE_orchidyoke")), &folder, &[]);
    let connect = || TcpStream::connect(forwarder.address).expect("connected");
    for (id, is_split_in_head) in [("in-head", true), ("in-body", false)] {
        let text = request(id, 2, "of the first client");
        let head_bytes = text.find("X-Org").expect("the request has a tenant");
        let split_at = if is_split_in_head { head_bytes } else { text.len() - 10 };
        let (mut first, mut second) = (connect(), connect());
        first.write_all(&text.as_bytes()[..split_at]).expect("bytes sent");
        second.write_all(request(id, 3, "of the second client").as_bytes()).expect("bytes sent");
        let mut statuses = Vec::new();
        if is_split_in_head {
            // The forwarder does not know the first request's id yet and accepts the second one.
            statuses.push((3, read_status(second)));
            first.write_all(&text.as_bytes()[split_at..]).expect("bytes sent");
            statuses.push((2, read_status(first)));
        } else {
            first.write_all(&text.as_bytes()[split_at..]).expect("bytes sent");
            statuses.push((2, read_status(first)));
            statuses.push((3, read_status(second)));
        }
        let accepted: Vec<_> = statuses.iter().filter(|(_, status)| *status == 202).collect();
        assert_eq!(accepted.len(), 1, "one of two messages with one id is accepted: {statuses:?}");
        assert!(statuses.iter().any(|(_, status)| *status == 503), "the other is rejected: {statuses:?}");
        let (accepted_destination, _) = accepted[0];
        let destination = destinations.iter().find(|(number, _)| number == accepted_destination);
        wait_for_call(&destination.expect("the destination exists").1, id);
    }
}

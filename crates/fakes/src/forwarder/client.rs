//! A client that submits messages to the forwarder.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// Submits a message of the tenant `acme` on a new connection, with the idempotency key `key of ID`. Returns the status
/// of the answer, or 0 if there is none.
pub fn submit_message(forwarder: SocketAddr, class: &str, message_id: &str, destination: u64) -> u16 {
    exchange(forwarder, class, message_id, destination).unwrap_or(0)
}

fn exchange(forwarder: SocketAddr, class: &str, message_id: &str, destination: u64) -> std::io::Result<u16> {
    let mut stream = TcpStream::connect(forwarder)?;
    stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
    let body = format!("body of {message_id}");
    let length = body.len();
    write!(
        stream,
        "POST /{class} HTTP/1.1\r\nHost: forwarder\r\nX-Txn: {message_id}\r\nX-Org: acme\r\nX-Remaining: 12.0\r\n\
         Idempotency-Key: key of {message_id}\r\nX-Consignee: dest={destination}\r\nConnection: close\r\n\
         Content-Length: {length}\r\n\r\n{body}",
    )?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    Ok(answer.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0))
}

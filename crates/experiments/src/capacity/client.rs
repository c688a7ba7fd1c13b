//! Clients that send messages one after another on persistent connections.

use super::error::CapacityError;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Body size of each message, in bytes.
pub const BODY_BYTES: usize = 200;
/// The class of all messages. Messages of this class may be delivered twice, so that the forwarder retries one until
/// its deadline.
pub const CLASS: &str = "status";
/// The tenant that all messages belong to.
pub const TENANT: &str = "acme";
/// Time until the deadline of each message, in seconds. It is the maximum that a forwarder accepts.
pub const TIME_LEFT_SECONDS: u32 = 86_400;

const ACCEPTED: u16 = 202;
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(60);

/// A message to send.
#[derive(Clone, Debug)]
pub struct Message {
    /// Id of the message, sent in `X-Txn`.
    pub id: String,
    /// Number of the destination, sent in `X-Consignee`.
    pub destination: u64,
}

/// A client with one connection to a forwarder.
#[derive(Debug)]
pub struct Client(BufReader<TcpStream>);

impl Client {
    /// Connects to a forwarder.
    pub fn connect(forwarder: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(forwarder)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(RESPONSE_TIMEOUT))?;
        Ok(Client(BufReader::new(stream)))
    }

    /// Opens `count` connections to a forwarder.
    pub fn connect_many(forwarder: SocketAddr, count: usize) -> io::Result<Vec<Self>> {
        (0..count).map(|_| Client::connect(forwarder)).collect()
    }

    /// Sends one message and returns the status code of the response.
    pub fn submit(&mut self, message: &Message) -> io::Result<u16> {
        self.send(message)?;
        self.receive()
    }

    fn send(&mut self, message: &Message) -> io::Result<()> {
        let Message { id, destination } = message;
        let body = "x".repeat(BODY_BYTES);
        let request = format!(
            "POST /{CLASS} HTTP/1.1\r\nHost: forwarder\r\nX-Txn: {id}\r\nX-Org: {TENANT}\r\n\
             X-Remaining: {TIME_LEFT_SECONDS}\r\nX-Consignee: dest={destination}\r\n\
             Content-Length: {BODY_BYTES}\r\n\r\n{body}"
        );
        self.0.get_mut().write_all(request.as_bytes())
    }

    fn receive(&mut self) -> io::Result<u16> {
        let status = self.line()?;
        let status = status.split(' ').nth(1).and_then(|number| number.parse().ok());
        let status = status.ok_or_else(|| malformed("response without a status code"))?;
        let mut length = 0;
        loop {
            let line = self.line()?.to_ascii_lowercase();
            if line.is_empty() {
                break;
            }
            if let Some(number) = line.strip_prefix("content-length:") {
                length = number.trim().parse().map_err(|_| malformed("malformed Content-Length"))?;
            }
        }
        self.0.read_exact(&mut vec![0; length])?;
        Ok(status)
    }

    fn line(&mut self) -> io::Result<String> {
        let mut line = String::new();
        if self.0.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        Ok(line.trim_end().to_owned())
    }
}

fn malformed(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what)
}

/// Sends messages on all connections in parallel, one on each, until no message is left or `limit` has passed. Returns
/// the number of accepted messages, or an error if a message is refused.
pub fn submit_all(
    clients: &mut [Client],
    messages: &mut dyn Iterator<Item = Message>,
    limit: Duration,
) -> Result<usize, CapacityError> {
    let begin = Instant::now();
    let mut accepted = 0;
    while begin.elapsed() < limit {
        let mut sent = 0;
        for (client, message) in clients.iter_mut().zip(&mut *messages) {
            client.send(&message)?;
            sent += 1;
        }
        if sent == 0 {
            break;
        }
        for client in &mut clients[..sent] {
            let status = client.receive()?;
            if status != ACCEPTED {
                return Err(CapacityError::Refused { status });
            }
        }
        accepted += sent;
    }
    Ok(accepted)
}

//! Clients that hand in messages one after another on connections that stay open.

use super::error::CapacityError;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Bytes in the body of each message.
pub const BODY: usize = 200;
/// The class of all messages: it may be delivered twice, so nothing but its time ends it.
pub const CLASS: &str = "status";
/// The tenant of all messages.
pub const TENANT: &str = "acme";
/// Time that each message has, in seconds: the longest that a forwarder takes.
pub const LIFE_SECONDS: u32 = 86_400;

const ACCEPTED: u16 = 202;
const PATIENCE: Duration = Duration::from_secs(60);

/// A message that is to be handed in.
#[derive(Clone, Debug)]
pub struct Message {
    /// Its id.
    pub id: String,
    /// Its destination.
    pub destination: u64,
}

/// One connection to a forwarder.
#[derive(Debug)]
pub struct Client(BufReader<TcpStream>);

impl Client {
    /// Connects.
    pub fn connect(forwarder: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(forwarder)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(PATIENCE))?;
        Ok(Client(BufReader::new(stream)))
    }

    /// Connects so many times.
    pub fn connect_many(forwarder: SocketAddr, count: usize) -> io::Result<Vec<Self>> {
        (0..count).map(|_| Client::connect(forwarder)).collect()
    }

    /// Hands in one message; gives the status of the answer.
    pub fn hand_in(&mut self, message: &Message) -> io::Result<u16> {
        self.send(message)?;
        self.receive()
    }

    fn send(&mut self, message: &Message) -> io::Result<()> {
        let Message { id, destination } = message;
        let body = "x".repeat(BODY);
        let request = format!(
            "POST /{CLASS} HTTP/1.1\r\nHost: forwarder\r\nX-Txn: {id}\r\nX-Org: {TENANT}\r\n\
             X-Remaining: {LIFE_SECONDS}\r\nX-Consignee: dest={destination}\r\nContent-Length: {BODY}\r\n\r\n{body}"
        );
        self.0.get_mut().write_all(request.as_bytes())
    }

    fn receive(&mut self) -> io::Result<u16> {
        let status = self.line()?;
        let status = status.split(' ').nth(1).and_then(|number| number.parse().ok());
        let status = status.ok_or_else(|| malformed("no status"))?;
        let mut length = 0;
        loop {
            let line = self.line()?.to_ascii_lowercase();
            if line.is_empty() {
                break;
            }
            if let Some(number) = line.strip_prefix("content-length:") {
                length = number.trim().parse().map_err(|_| malformed("no length"))?;
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

/// Hands in messages on all connections at once, one on each, until there are no more or the time is up; gives how many
/// were taken on. One that is turned away is an error.
pub fn hand_in_all(
    clients: &mut [Client],
    messages: &mut dyn Iterator<Item = Message>,
    limit: Duration,
) -> Result<usize, CapacityError> {
    let begin = Instant::now();
    let mut taken = 0;
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
                return Err(CapacityError::TurnedAway { status });
            }
        }
        taken += sent;
    }
    Ok(taken)
}

//! Requests of one line over TCP, as consoles and supervisors answer them.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Sends one line and reads the reply to its end; nothing where nobody answers within the time-out.
pub(crate) fn exchange(address: SocketAddr, line: &str, timeout: Duration) -> Option<String> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.write_all(format!("{line}\n").as_bytes()).ok()?;
    let mut reply = String::new();
    stream.read_to_string(&mut reply).ok()?;
    Some(reply)
}

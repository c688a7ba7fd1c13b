//! A client for the line protocol of consoles and supervisors, which answer one line over TCP.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Sends one line and reads the whole reply. Returns `None` if there is no reply within the time-out.
pub(crate) fn exchange(address: SocketAddr, line: &str, timeout: Duration) -> Option<String> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.write_all(format!("{line}\n").as_bytes()).ok()?;
    let mut reply = String::new();
    stream.read_to_string(&mut reply).ok()?;
    Some(reply)
}

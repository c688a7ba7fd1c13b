//! The clients' listening socket as inherited from the process that started this one, for an upgrade without a gap.
//!
//! Used with `EDGE_FD` alone; otherwise the forwarder listens at an address of its own.

use std::io;
use std::net::TcpListener;
use std::os::fd::{FromRawFd, OwnedFd, RawFd};

/// The listening socket that this process inherited as the descriptor of this number. To be called once, at the start,
/// before anything else is opened.
///
/// # Errors
///
/// The number is that of standard input, output or error, no descriptor has it, or what has it does not listen.
#[allow(unsafe_code)]
pub fn listener(number: RawFd) -> io::Result<TcpListener> {
    if number <= 2 || !std::path::Path::new(&format!("/proc/self/fd/{number}")).exists() {
        return Err(io::Error::other("no descriptor with this number was handed down"));
    }
    // SAFETY: the descriptor is open, as was just looked up, and nothing in this process owns it: it was there
    // before the process began, none of the library's own are above 2, and this function is called once.
    let socket = unsafe { OwnedFd::from_raw_fd(number) };
    let listener = TcpListener::from(socket);
    listener.local_addr()?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

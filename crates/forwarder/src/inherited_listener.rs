//! The clients' listening socket, inherited from the process that started this one, so that an upgrade has no gap in
//! accepting clients.
//!
//! The forwarder uses it only with `EDGE_FD`; otherwise it binds its own listening socket.

use std::io;
use std::net::TcpListener;
use std::os::fd::{FromRawFd, OwnedFd, RawFd};

/// Returns the listening socket that this process inherited as the descriptor `number`. The caller calls this once,
/// at the start, before it opens anything else.
///
/// # Errors
///
/// Returns an error if the number belongs to standard input, output or error, if no descriptor has it, or if the
/// descriptor is not a listening socket.
#[allow(unsafe_code)]
pub fn listener(number: RawFd) -> io::Result<TcpListener> {
    if number <= 2 || !std::path::Path::new(&format!("/proc/self/fd/{number}")).exists() {
        return Err(io::Error::other("this process has not inherited a descriptor with this number"));
    }
    // SAFETY: the check above has found the descriptor open. Nothing in this process owns it, because it was open
    // before the process began, the standard library owns no descriptor above 2, and this function is called once.
    let socket = unsafe { OwnedFd::from_raw_fd(number) };
    let listener = TcpListener::from(socket);
    listener.local_addr()?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

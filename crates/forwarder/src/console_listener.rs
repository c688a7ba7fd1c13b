//! The listener of the operators' console: a bounded number of connections, each with a limit on the time for its line.
//!
//! At the limit, the oldest connection with an incomplete line is closed to make room for a new one. A connection
//! with a complete line stays open until it has its reply.

use crate::console::{Command, CommandError, ConsoleReply, parse_input};
use crate::input::{Input, RequestId};
use crate::log;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{sleep, timeout};

/// Most open connections, those with an incomplete line included.
pub const MAX_CONNECTIONS: usize = 16;
/// Limit on the time until a line is complete.
const LINE_TIMEOUT: Duration = Duration::from_secs(5);
/// Limit on the time in which the client reads its reply and closes.
const REPLY_TIMEOUT: Duration = Duration::from_secs(1);
/// Most bytes that a client may send after its line before the forwarder closes the connection.
const MAX_DISCARDED_BYTES: usize = 1 << 20;
/// Pause after the system has failed to accept a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Passes commands from console connections to the reducer and its replies back.
pub struct ConsoleGateway {
    inputs: UnboundedSender<Input>,
    waiting: RefCell<HashMap<RequestId, oneshot::Sender<ConsoleReply>>>,
    /// Connections whose line is incomplete, oldest first. These may be closed to make room for others.
    incomplete: RefCell<BTreeMap<RequestId, AbortHandle>>,
    open_connections: Cell<usize>,
    next_request: Cell<RequestId>,
    /// Connections whose line is complete and whose reply is not written yet.
    replies_due: Cell<usize>,
    reply_ended: Notify,
    is_ending: Cell<bool>,
}

impl ConsoleGateway {
    /// Returns a gateway to the reducer that receives `inputs`.
    pub fn new(inputs: UnboundedSender<Input>) -> Rc<Self> {
        Rc::new(ConsoleGateway {
            inputs,
            waiting: RefCell::default(),
            incomplete: RefCell::default(),
            open_connections: Cell::new(0),
            next_request: Cell::new(0),
            replies_due: Cell::new(0),
            reply_ended: Notify::new(),
            is_ending: Cell::new(false),
        })
    }

    /// Passes the reply to the waiting connection. Does nothing if the client has closed the connection.
    pub fn reply(&self, request: RequestId, reply: ConsoleReply) {
        if let Some(waiting) = self.waiting.borrow_mut().remove(&request) {
            let _ = waiting.send(reply);
        }
    }

    /// Has every command that has no reply yet rejected, because the reducer processes no more inputs. Waits until all
    /// replies are written.
    pub async fn finish(&self) {
        self.is_ending.set(true);
        self.waiting.borrow_mut().clear();
        while self.replies_due.get() > 0 {
            self.reply_ended.notified().await;
        }
    }

    async fn submit(&self, request: RequestId, command: Command) -> ConsoleReply {
        if self.is_ending.get() {
            return ending_reply();
        }
        let (sender, receiver) = oneshot::channel();
        self.waiting.borrow_mut().insert(request, sender);
        // The channel is closed only when the forwarder ends.
        let _ = self.inputs.send(Input::Operator { request, call: command });
        receiver.await.unwrap_or_else(|_| ending_reply())
    }

    /// Closes the oldest connections with an incomplete line until there is room for one more.
    fn make_room(&self) {
        while self.open_connections.get() >= MAX_CONNECTIONS {
            let Some((_, task)) = self.incomplete.borrow_mut().pop_first() else { return };
            task.abort();
            self.count_closed();
        }
    }

    fn count_closed(&self) {
        self.open_connections.set(self.open_connections.get().saturating_sub(1));
    }

    fn serve_connection(self: &Rc<Self>, stream: TcpStream) {
        self.make_room();
        let request = self.next_request.get();
        self.next_request.set(request + 1);
        self.open_connections.set(self.open_connections.get() + 1);
        let connection =
            ConsoleConnection { gateway: self.clone(), request, is_line_complete: Cell::new(false) };
        let task = spawn_local(serve(stream, connection));
        self.incomplete.borrow_mut().insert(request, task.abort_handle());
    }
}

fn ending_reply() -> ConsoleReply {
    ConsoleReply::Rejected("the forwarder ends".to_owned())
}

/// A reply that is due until this value is dropped.
struct DueReply {
    gateway: Rc<ConsoleGateway>,
}

impl DueReply {
    fn new(gateway: &Rc<ConsoleGateway>) -> Self {
        gateway.replies_due.set(gateway.replies_due.get() + 1);
        DueReply { gateway: gateway.clone() }
    }
}

impl Drop for DueReply {
    fn drop(&mut self) {
        self.gateway.replies_due.set(self.gateway.replies_due.get().saturating_sub(1));
        self.gateway.reply_ended.notify_one();
    }
}

/// An open connection. It counts as open until this value is dropped, which also happens when its task panics.
struct ConsoleConnection {
    gateway: Rc<ConsoleGateway>,
    request: RequestId,
    is_line_complete: Cell<bool>,
}

impl ConsoleConnection {
    /// Excludes the connection from those that may be closed to make room for others.
    fn on_line_complete(&self) {
        let was_incomplete = self.gateway.incomplete.borrow_mut().remove(&self.request).is_some();
        self.is_line_complete.set(was_incomplete);
    }
}

impl Drop for ConsoleConnection {
    fn drop(&mut self) {
        self.gateway.waiting.borrow_mut().remove(&self.request);
        let was_incomplete = self.gateway.incomplete.borrow_mut().remove(&self.request).is_some();
        // A connection that was closed to make room for another is already counted as closed.
        if was_incomplete || self.is_line_complete.get() {
            self.gateway.count_closed();
        }
    }
}

/// Accepts connections for as long as it is polled. Runs in a `LocalSet`.
pub async fn listen(listener: TcpListener, gateway: Rc<ConsoleGateway>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => gateway.serve_connection(stream),
            Err(error) => {
                log!("console: cannot accept a connection: error={error}");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves one connection. An error or a panic here ends only this connection.
async fn serve(mut stream: TcpStream, connection: ConsoleConnection) {
    let Ok(command) = timeout(LINE_TIMEOUT, read_command(&mut stream)).await else { return };
    connection.on_line_complete();
    let due = DueReply::new(&connection.gateway);
    let reply = match command {
        Some(Ok(command)) => connection.gateway.submit(connection.request, command).await,
        Some(Err(error)) => error.into(),
        None => return,
    };
    // An error here is ignored: a reply that the client does not read needs no further handling.
    let ended = timeout(REPLY_TIMEOUT, async {
        write_reply(&mut stream, &reply.to_string()).await?;
        drop(due);
        discard(&mut stream).await
    });
    drop(ended.await);
}

/// Reads one command, or the reason why the line is not one. Returns `None` if the client has closed before its line
/// was complete.
async fn read_command(stream: &mut TcpStream) -> Option<Result<Command, CommandError>> {
    let mut input = Vec::new();
    loop {
        let mut chunk = [0; 1024];
        let count = stream.read(&mut chunk).await.ok().filter(|count| *count > 0)?;
        input.extend_from_slice(&chunk[..count]);
        if let Some(command) = parse_input(&input) {
            return Some(command);
        }
    }
}

async fn write_reply(stream: &mut TcpStream, reply: &str) -> io::Result<()> {
    stream.write_all(reply.as_bytes()).await?;
    stream.shutdown().await
}

/// Discards what the client still sends, because a close with unread bytes would reset the connection and could lose the
/// reply.
async fn discard(stream: &mut TcpStream) -> io::Result<()> {
    let mut chunk = [0; 4096];
    let mut bytes_left = MAX_DISCARDED_BYTES;
    while bytes_left > 0 {
        match stream.read(&mut chunk).await? {
            0 => break,
            count => bytes_left = bytes_left.saturating_sub(count),
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests;

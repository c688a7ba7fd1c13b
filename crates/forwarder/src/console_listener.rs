//! The operators' console on sockets: bounded connections, each with a time for its line, and a place always left
//! for the next caller.

use super::console::{Command, CommandError, ConsoleReply, parse_input};
use crate::input::{Input, RequestId};
use crate::log;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{sleep, timeout};

/// Connections at once, those of callers that have not said anything whole included.
pub const MAX_CONNECTIONS: usize = 16;
/// A line that has not come by then does not come.
const LINE_TIMEOUT: Duration = Duration::from_secs(5);
/// For the caller to read its reply, and for what it still sends to be dropped.
const REPLY_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_DISCARDED_BYTES: usize = 1 << 20;

/// The console between its connections and the reducer.
pub struct ConsoleGateway {
    inputs: UnboundedSender<Input>,
    waiting: RefCell<HashMap<RequestId, oneshot::Sender<ConsoleReply>>>,
    /// Connections in the order in which they came: who has no whole line yet may have to go.
    callers: RefCell<BTreeMap<RequestId, AbortHandle>>,
    /// Connections, until their tasks have ended.
    open: Cell<usize>,
    next: Cell<RequestId>,
}

impl ConsoleGateway {
    /// A console that asks the reducer behind `inputs`.
    pub fn new(inputs: UnboundedSender<Input>) -> Rc<Self> {
        let (waiting, callers) = (RefCell::default(), RefCell::default());
        Rc::new(ConsoleGateway { inputs, waiting, callers, open: Cell::new(0), next: Cell::new(0) })
    }

    /// Gives a caller its reply; one that is gone needs none.
    pub fn reply(&self, ticket: RequestId, reply: ConsoleReply) {
        if let Some(waiting) = self.waiting.borrow_mut().remove(&ticket) {
            let _ = waiting.send(reply);
        }
    }

    async fn ask(&self, ticket: RequestId, call: Command) -> ConsoleReply {
        let (sender, receiver) = oneshot::channel();
        self.waiting.borrow_mut().insert(ticket, sender);
        // The receiver is gone only when the forwarder ends.
        let _ = self.inputs.send(Input::Operator { request: ticket, call });
        receiver.await.unwrap_or_else(|_| ConsoleReply::Rejected("the forwarder ends".to_owned()))
    }

    /// Whoever has waited longest without a whole line goes, until there is room for one more.
    fn make_room(&self) {
        while self.open.get() >= MAX_CONNECTIONS {
            let Some((_, caller)) = self.callers.borrow_mut().pop_first() else { return };
            caller.abort();
            self.open.set(self.open.get() - 1);
        }
    }
}

/// A connection as the others see it, until its task ends, in whatever way.
struct ConsoleConnection {
    console: Rc<ConsoleGateway>,
    ticket: RequestId,
    /// It was among those that may have to go, or is past that.
    asked: Cell<bool>,
}

impl ConsoleConnection {
    /// Its line is whole: it stays until it has its reply.
    fn asks(&self) {
        self.asked.set(self.console.callers.borrow_mut().remove(&self.ticket).is_some());
    }
}

impl Drop for ConsoleConnection {
    fn drop(&mut self) {
        self.console.waiting.borrow_mut().remove(&self.ticket);
        let waited = self.console.callers.borrow_mut().remove(&self.ticket).is_some();
        // One that had to go was counted out by whoever sent it off.
        if waited || self.asked.get() {
            self.console.open.set(self.console.open.get().saturating_sub(1));
        }
    }
}

/// Takes callers for as long as it is polled. Runs in a `LocalSet`.
pub async fn listen(listener: TcpListener, console: Rc<ConsoleGateway>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                console.make_room();
                let ticket = console.next.get();
                console.next.set(ticket + 1);
                console.open.set(console.open.get() + 1);
                let place = ConsoleConnection { console: console.clone(), ticket, asked: Cell::new(false) };
                let task = spawn_local(attend(stream, place));
                console.callers.borrow_mut().insert(ticket, task.abort_handle());
            }
            Err(error) => {
                log!("console: a connection could not be taken: {error}");
                sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

/// Serves one caller. What goes wrong here, a panic included, ends this connection alone.
async fn attend(mut stream: TcpStream, place: ConsoleConnection) {
    let Ok(read) = timeout(LINE_TIMEOUT, read_call(&mut stream)).await else { return };
    place.asks();
    let reply = match read {
        Some(Ok(call)) => place.console.ask(place.ticket, call).await,
        Some(Err(error)) => error.into(),
        None => return,
    };
    // Whether the caller has heard is its own affair from here on.
    let _ = timeout(REPLY_TIMEOUT, tell(&mut stream, &reply.to_string())).await;
}

/// One call, or why it is none; nothing where the caller has gone before its line was whole.
async fn read_call(stream: &mut TcpStream) -> Option<Result<Command, CommandError>> {
    let mut came = Vec::new();
    loop {
        let mut some = [0; 1024];
        let count = stream.read(&mut some).await.ok().filter(|count| *count > 0)?;
        came.extend_from_slice(&some[..count]);
        if let Some(call) = parse_input(&came) {
            return Some(call);
        }
    }
}

/// Writes the reply, and reads what still comes to nowhere: a reset for unread bytes could overtake the reply.
async fn tell(stream: &mut TcpStream, reply: &str) -> std::io::Result<()> {
    stream.write_all(reply.as_bytes()).await?;
    stream.shutdown().await?;
    let (mut some, mut left) = ([0; 4096], MAX_DISCARDED_BYTES);
    while left > 0 {
        match stream.read(&mut some).await? {
            0 => break,
            count => left = left.saturating_sub(count),
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests;

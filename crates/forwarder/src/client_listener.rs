//! The sender side's connections on sockets: each is taken, served by the client API and closed, within its bounds.
//!
//! Every close lingers (RFC 9112, section 9.6): nothing more is read as a request once the close is decided on, what was
//! read whole is answered, the sending is ended, and what the client still sends is read and dropped until it closes too.
//! A close over unread bytes would reset the connection, and an answer not yet taken would go with it.

use super::client_api::{ClientGateway, respond};
use super::connection_limit::{ConnectionId, ConnectionLimit, Eviction};
use crate::input::Input;
use crate::log;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::convert::Infallible;
use std::future::poll_fn;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep, timeout};

/// A head that has not come by then since the connection or the last answer does not come: with the time for a
/// body, a client has its answer or its close within 3 s of connecting. Longer than the 2 s for which a client
/// may count on an idle connection.
const HEAD_TIME: Duration = Duration::from_millis(2_100);
/// Bytes read ahead for one client.
const READ_AHEAD: usize = 32 << 10;
/// A connection that is shut down has so long to bring the rest of a request whose first bytes have come, and to take
/// the last bytes of an answer.
const LAST_MOMENT: Duration = Duration::from_millis(50);
/// One whose request waits for the journal or the reducer then waits for its answer so long at most: past a client's
/// 400 ms and a stall. What is cut is withdrawn, and surely not taken on.
const LAST_ANSWER: Duration = Duration::from_secs(1);
/// A lingering close reads and drops for so long, so much, and while something comes.
const LINGER_TIME: Duration = Duration::from_secs(5);
const LINGER_SILENCE: Duration = Duration::from_secs(1);
const LINGER_MOST: usize = 64 << 20;
/// The listener says why it could take no connection, and tries again after this time.
const ACCEPT_AGAIN: Duration = Duration::from_millis(50);

/// The connections that there are, and the bound on them.
pub struct ClientConnections {
    limit: RefCell<ConnectionLimit>,
    changed: Notify,
    signals: RefCell<HashMap<ConnectionId, Rc<EvictionSignals>>>,
    /// What comes from clients whose connection is closing goes here, and no further.
    sink: RefCell<Box<[u8]>>,
    ending: watch::Sender<bool>,
    /// A successor takes the clients: each connection ends with its next answer.
    handing_over: Cell<bool>,
}

impl ClientConnections {
    /// Room for so many connections at once.
    pub fn new(most: usize) -> Rc<Self> {
        Rc::new(ClientConnections {
            limit: RefCell::new(ConnectionLimit::new(most)),
            changed: Notify::new(),
            signals: RefCell::default(),
            sink: RefCell::new(vec![0; 64 << 10].into()),
            ending: watch::Sender::new(false),
            handing_over: Cell::new(false),
        })
    }

    /// The forwarder ends: each connection closes when its request is answered.
    pub fn shut_down(&self) {
        self.ending.send_replace(true);
    }

    /// A successor takes the clients: each connection says with its next answer that it closes.
    pub fn hand_over(&self) {
        self.handing_over.set(true);
    }

    /// Waits until another connection fits in, and sees to it that one does: some go before there is need, so that their
    /// close can linger, and when there is need those that linger longest are cut.
    async fn make_room(&self) {
        loop {
            while self.evict() {}
            if !self.limit.borrow().is_full() {
                return;
            }
            self.changed.notified().await;
        }
    }

    /// Sends one off, if one has to go and one can.
    fn evict(&self) -> bool {
        let Some(eviction) = self.limit.borrow_mut().evict(Instant::now()) else { return false };
        let signals_of = |id: ConnectionId| self.signals.borrow().get(&id).cloned();
        match eviction {
            Eviction::Close(id) => signals_of(id).iter().for_each(|signals| signals.close.notify_one()),
            Eviction::Cut(id) => signals_of(id).iter().for_each(|signals| signals.cut.notify_one()),
        }
        true
    }
}

/// Tells a connection that its place is wanted.
#[derive(Default)]
struct EvictionSignals {
    close: Notify,
    /// To linger no more.
    cut: Notify,
}

/// A connection as the others see it, for as long as it lasts, also when its task panics.
struct ClientConnection {
    id: ConnectionId,
    connections: Rc<ClientConnections>,
    gateway: Rc<ClientGateway>,
    signals: Rc<EvictionSignals>,
    /// A request of it has been read.
    has_asked: Cell<bool>,
    /// Its answer is not yet there.
    is_answering: Cell<bool>,
}

impl ClientConnection {
    fn new(connections: Rc<ClientConnections>, gateway: Rc<ClientGateway>) -> Rc<Self> {
        let (id, signals) = (
            connections.limit.borrow_mut().on_connected(Instant::now()),
            Rc::new(EvictionSignals::default()),
        );
        connections.signals.borrow_mut().insert(id, signals.clone());
        gateway.report(Input::ClientConnection { connected: true });
        Rc::new(ClientConnection {
            id,
            connections,
            gateway,
            signals,
            has_asked: Cell::new(false),
            is_answering: Cell::new(false),
        })
    }

    fn asks(&self) {
        self.has_asked.set(true);
        self.is_answering.set(true);
        self.connections.limit.borrow_mut().on_request(self.id, Instant::now());
    }

    fn answered(&self) {
        self.is_answering.set(false);
        self.connections.limit.borrow_mut().on_answered(self.id, Instant::now());
        self.connections.changed.notify_one();
    }
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        self.connections.limit.borrow_mut().on_closed(self.id);
        self.connections.signals.borrow_mut().remove(&self.id);
        self.connections.changed.notify_one();
        self.gateway.report(Input::ClientConnection { connected: false });
    }
}

/// Takes connections until the forwarder ends. Runs in a `LocalSet`. Connections that wait to be taken by then are taken
/// too: closed unread, they would be reset.
pub async fn listen(listener: TcpListener, gateway: Rc<ClientGateway>, connections: Rc<ClientConnections>) {
    let mut ending = connections.ending.subscribe();
    loop {
        let taken = tokio::select! {
            taken = async {
                connections.make_room().await;
                listener.accept().await
            } => taken,
            _ = ending.wait_for(|ending| *ending) => break,
        };
        match taken {
            Ok((stream, _)) => spawn_connection(stream, &gateway, &connections),
            Err(error) => {
                log!("sender side: a connection could not be taken: {error}");
                connections.evict();
                sleep(ACCEPT_AGAIN).await;
            }
        }
    }
    let Ok(listener) = listener.into_std() else { return };
    while !connections.limit.borrow().is_full()
        && let Ok((stream, _)) = listener.accept()
    {
        let stream = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
        stream.into_iter().for_each(|stream| spawn_connection(stream, &gateway, &connections));
    }
}

/// Serves one client's connection to its end. What goes wrong there, a panic included, ends this one alone.
fn spawn_connection(stream: TcpStream, gateway: &Rc<ClientGateway>, connections: &Rc<ClientConnections>) {
    let client = ClientConnection::new(connections.clone(), gateway.clone());
    tokio::task::spawn_local(async move {
        match stream.set_nodelay(true) {
            Ok(()) => linger(serve(stream, &client).await, &client).await,
            Err(error) => log!("sender side: {error}"),
        }
    });
}

/// Serves requests until the connection is to be closed, whoever wants that, and gives its socket back. What has been read
/// whole by then is answered.
async fn serve(stream: TcpStream, client: &Rc<ClientConnection>) -> TcpStream {
    let service = service_fn(|request| {
        let client = client.clone();
        Box::pin(async move {
            client.asks();
            let ending = *client.connections.ending.borrow();
            let mut response = respond(&client.gateway, request, ending).await;
            if client.connections.handing_over.get() {
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            client.answered();
            Ok::<_, Infallible>(response)
        })
    });
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIME)
        // A client that has ended its sending still wants its answer.
        .half_close(true)
        .max_buf_size(READ_AHEAD)
        .serve_connection(TokioIo::new(stream), service);
    let mut ending = client.connections.ending.subscribe();
    let mut go_on = std::pin::pin!(poll_fn(|context| connection.poll_without_shutdown(context)));
    let ended = tokio::select! {
        biased;
        ended = &mut go_on => Some(ended),
        () = async {
            tokio::select! {
                () = client.signals.close.notified() => {}
                _ = ending.wait_for(|ending| *ending) => if !client.has_asked.get() {
                    // It has only just connected: its request is on its way.
                    sleep(LAST_MOMENT).await;
                },
            }
            // What has come by now is still read.
            tokio::task::yield_now().await;
        } => None,
    };
    let ended = match ended {
        Some(ended) => ended,
        None => {
            std::pin::Pin::new(&mut connection).graceful_shutdown();
            let mut last = std::pin::pin!(poll_fn(|context| connection.poll_without_shutdown(context)));
            let cut = Instant::now() + LAST_ANSWER;
            loop {
                match timeout(LAST_MOMENT, &mut last).await {
                    Ok(ended) => break ended,
                    Err(_) if client.is_answering.get() && Instant::now() < cut => {}
                    Err(_) => break Ok(()),
                }
            }
        }
    };
    if let Err(error) = ended
        && !error.is_incomplete_message()
        && !error.is_timeout()
    {
        log!("sender side: {error}");
    }
    connection.into_parts().io.into_inner()
}

/// Ends the sending, so that the client takes its last answer, and drops what still comes until the client has done too,
/// or the place is wanted.
async fn linger(mut stream: TcpStream, client: &ClientConnection) {
    let connections = &client.connections;
    connections.limit.borrow_mut().on_lingering(client.id, Instant::now());
    connections.changed.notify_one();
    let lingered = async {
        stream.shutdown().await?;
        let mut left = LINGER_MOST;
        while left > 0 && timeout(LINGER_SILENCE, stream.readable()).await.is_ok_and(|ready| ready.is_ok()) {
            match stream.try_read(&mut connections.sink.borrow_mut()) {
                Ok(0) => break,
                Ok(count) => left = left.saturating_sub(count),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(error),
            }
            // One that sends at full speed takes turns with the others.
            tokio::task::yield_now().await;
        }
        Ok(())
    };
    // Whether the client has heard is its own affair from here on.
    tokio::select! {
        _ = timeout(LINGER_TIME, lingered) => {}
        () = client.signals.cut.notified() => {}
    }
}

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
pub struct Connections {
    limit: RefCell<ConnectionLimit>,
    changed: Notify,
    told: RefCell<HashMap<ConnectionId, Rc<AnswerHints>>>,
    /// What comes from clients whose connection is closing goes here, and no further.
    sink: RefCell<Box<[u8]>>,
    ending: watch::Sender<bool>,
    /// A successor takes the clients: each connection ends with its next answer.
    moving: Cell<bool>,
}

impl Connections {
    /// Room for so many connections at once.
    pub fn new(most: usize) -> Rc<Self> {
        Rc::new(Connections {
            limit: RefCell::new(ConnectionLimit::new(most)),
            changed: Notify::new(),
            told: RefCell::default(),
            sink: RefCell::new(vec![0; 64 << 10].into()),
            ending: watch::Sender::new(false),
            moving: Cell::new(false),
        })
    }

    /// The forwarder ends: each connection closes when its request is answered.
    pub fn end(&self) {
        self.ending.send_replace(true);
    }

    /// A successor takes the clients: each connection says with its next answer that it closes.
    pub fn move_on(&self) {
        self.moving.set(true);
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
        let told = |id: ConnectionId| self.told.borrow().get(&id).cloned();
        match eviction {
            Eviction::Close(id) => told(id).iter().for_each(|told| told.close.notify_one()),
            Eviction::Cut(id) => told(id).iter().for_each(|told| told.cut.notify_one()),
        }
        true
    }
}

/// What a connection is told when its place is wanted.
#[derive(Default)]
struct AnswerHints {
    close: Notify,
    /// To linger no more.
    cut: Notify,
}

/// A connection as the others see it, for as long as it lasts, also when its task panics.
struct Member {
    id: ConnectionId,
    connections: Rc<Connections>,
    gateway: Rc<ClientGateway>,
    told: Rc<AnswerHints>,
    /// A request of it has been read.
    has_asked: Cell<bool>,
    /// Its answer is not yet there.
    in_hand: Cell<bool>,
}

impl Member {
    fn new(connections: Rc<Connections>, gateway: Rc<ClientGateway>) -> Rc<Self> {
        let (id, told) =
            (connections.limit.borrow_mut().join(Instant::now()), Rc::new(AnswerHints::default()));
        connections.told.borrow_mut().insert(id, told.clone());
        gateway.tell(Input::Sender { joined: true });
        Rc::new(Member {
            id,
            connections,
            gateway,
            told,
            has_asked: Cell::new(false),
            in_hand: Cell::new(false),
        })
    }

    fn asks(&self) {
        self.has_asked.set(true);
        self.in_hand.set(true);
        self.connections.limit.borrow_mut().asks(self.id, Instant::now());
    }

    fn answered(&self) {
        self.in_hand.set(false);
        self.connections.limit.borrow_mut().answered(self.id, Instant::now());
        self.connections.changed.notify_one();
    }
}

impl Drop for Member {
    fn drop(&mut self) {
        self.connections.limit.borrow_mut().leaves(self.id);
        self.connections.told.borrow_mut().remove(&self.id);
        self.connections.changed.notify_one();
        self.gateway.tell(Input::Sender { joined: false });
    }
}

/// Takes connections until the forwarder ends. Runs in a `LocalSet`. Connections that wait to be taken by then are taken
/// too: closed unread, they would be reset.
pub async fn listen(listener: TcpListener, gateway: Rc<ClientGateway>, connections: Rc<Connections>) {
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
            Ok((stream, _)) => attend(stream, &gateway, &connections),
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
        stream.into_iter().for_each(|stream| attend(stream, &gateway, &connections));
    }
}

/// Serves one client's connection to its end. What goes wrong there, a panic included, ends this one alone.
fn attend(stream: TcpStream, gateway: &Rc<ClientGateway>, connections: &Rc<Connections>) {
    let member = Member::new(connections.clone(), gateway.clone());
    tokio::task::spawn_local(async move {
        match stream.set_nodelay(true) {
            Ok(()) => linger(serve(stream, &member).await, &member).await,
            Err(error) => log!("sender side: {error}"),
        }
    });
}

/// Serves requests until the connection is to be closed, whoever wants that, and gives its socket back. What has been read
/// whole by then is answered.
async fn serve(stream: TcpStream, member: &Rc<Member>) -> TcpStream {
    let service = service_fn(|request| {
        let member = member.clone();
        Box::pin(async move {
            member.asks();
            let ending = *member.connections.ending.borrow();
            let mut response = respond(&member.gateway, request, ending).await;
            if member.connections.moving.get() {
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            member.answered();
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
    let mut ending = member.connections.ending.subscribe();
    let mut go_on = std::pin::pin!(poll_fn(|context| connection.poll_without_shutdown(context)));
    let ended = tokio::select! {
        biased;
        ended = &mut go_on => Some(ended),
        () = async {
            tokio::select! {
                () = member.told.close.notified() => {}
                _ = ending.wait_for(|ending| *ending) => if !member.has_asked.get() {
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
                    Err(_) if member.in_hand.get() && Instant::now() < cut => {}
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
async fn linger(mut stream: TcpStream, member: &Member) {
    let connections = &member.connections;
    connections.limit.borrow_mut().lingers(member.id, Instant::now());
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
        () = member.told.cut.notified() => {}
    }
}

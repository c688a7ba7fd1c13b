//! Calls on connections to endpoints, on real sockets: the far end is a script that answers, breaks off, closes or speaks
//! in the wrong instant.

use bytes::Bytes;
use orchidyoke_core::interface::Outcome;
use orchidyoke_forwarder::endpoint_call::{CallMessage, Cause, EndpointCall, EndpointCallError, Progress};
use orchidyoke_forwarder::endpoint_connection::{ScheduledCall, run};
use orchidyoke_forwarder::input::Input;
use orchidyoke_forwarder::write_progress::WriteProgress;
use quickcheck::{Gen, QuickCheck};
use socket2::SockRef;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, timeout};

/// Carries calls on one connection to a far end that gives one answer to the first and holds the connection
/// open. What comes of the first, and whether a second on the same connection is taken for answered.
async fn call(answer: &'static [u8], goes_on: bool, bulk: bool) -> (Input, bool) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    let (sender, orders) = unbounded_channel();
    let (inputs, mut came) = unbounded_channel();
    let until = Instant::now() + Duration::from_secs(20);
    let call = call_of(bulk);
    let far_end = async {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut request = vec![0; 4096];
        assert!(stream.read(&mut request).await.expect("a request") > 0);
        stream.write_all(answer).await.expect("written");
        while goes_on && stream.write_all(answer).await.is_ok() {}
        std::future::pending::<()>().await;
    };
    let near_end = async {
        assert!(matches!(came.recv().await, Some(Input::ConnectionUp { .. })));
        sender.send(ScheduledCall { call: call.clone(), deadline: until }).expect("it takes calls");
        let mut end = async || {
            loop {
                match came.recv().await {
                    Some(Input::CallWritten { .. }) => {}
                    other => break other,
                }
            }
        };
        let first = end().await.expect("an end");
        let deadline = Instant::now() + Duration::from_millis(300);
        let _ = sender.send(ScheduledCall { call: call.clone(), deadline });
        (first, matches!(end().await, Some(Input::CallAnswered { .. })))
    };
    tokio::select! {
        ends = near_end => ends,
        _ = async { tokio::join!(far_end, run(1, address, until, orders, inputs)) } => unreachable!(),
    }
}

// Guards against an answer that cannot be read holding a slot until its time is up, being taken for "never ran"
// (an order would go out twice), or leaving a connection behind on which the next call reads its rest; and
// against a good answer thrown away for what stands beside it.
#[test]
fn invalid_and_rejecting_responses_map_to_their_outcome() {
    const GOOD: u16 = 200;
    const SPOILT: u16 = 0;
    let long =
        b"HTTP/1.1 200 OK\r\nX-Fill: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n";
    let huge = b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 3000000000\r\n\r\n0123456789abcdef";
    let beside = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n\
        HTTP/1.1 200 OK\r\nX-Pressure: x1=NaN,x0=what\r\nContent-Length: 0\r\n\r\n";
    let cases: [(&[u8], bool, bool, u16); 15] = [
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort", false, false, GOOD),
        (b"HTTP/1.1 200 OK\r\nContent-Length: -9\r\n\r\n", false, false, GOOD),
        (b"HTTP/1.1 200 OK\r\n\0\x01noise", false, false, GOOD),
        (long, true, false, GOOD),
        (beside, false, false, GOOD),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", false, false, GOOD),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort", false, true, SPOILT),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n[{]}", false, true, SPOILT),
        (long, true, true, SPOILT),
        (b"HTTP/1.1 200 O", false, false, SPOILT),
        (b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 9\r\n\r\nshort", false, false, SPOILT),
        (huge, true, false, SPOILT),
        (b"HTTP/1.1 2000 OK\r\n\r\n", false, false, SPOILT),
        (b"\x16\x03\x01 noise without an end", false, false, SPOILT),
        (b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n", false, false, SPOILT),
    ];
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    for (answer, goes_on, bulk, expected) in cases {
        let text = String::from_utf8_lossy(answer);
        let (first, answered_again) = runtime.block_on(call(answer, goes_on, bulk));
        match first {
            Input::CallAnswered { reply, .. } => {
                assert_eq!(
                    (reply.status, reply.reported_limit, reply.reported_remaining),
                    (expected, None, None),
                    "{text}"
                );
            }
            Input::ConnectionClosed { error, .. } => {
                assert!(
                    expected == SPOILT && matches!(error.cause, Cause::InvalidResponse(_)),
                    "{text}: {error}"
                );
                assert!(!error.not_delivered(), "{text}: {error}");
            }
            other => panic!("{text}: {other:?}"),
        }
        assert!(!answered_again, "{text}: its rest was taken for the next answer");
    }
}

// Guards against a call taken for unwritten though its last byte went out, or the other way round,
// however the writes were cut.
#[test]
fn call_counts_as_written_with_its_last_byte() {
    fn keep(body: Vec<u8>, cuts: Vec<u8>) -> bool {
        let mut request = b"POST /inbox HTTP/1.1\r\nx-txn: a\r\n\r\n".to_vec();
        request.extend_from_slice(&body);
        let mut written = WriteProgress::with_body_bytes(body.len());
        let (mut rest, mut cuts) = (&request[..], cuts.into_iter().cycle());
        while !rest.is_empty() {
            assert_eq!(written.progress(), Progress::NotFullyWritten);
            let (now, later) = rest.split_at(usize::from(cuts.next().unwrap_or(3)).clamp(1, rest.len()));
            written.on_written(now);
            rest = later;
        }
        written.progress() == Progress::FullyWritten
    }
    let chance = Gen::from_size_and_seed(100, 1);
    QuickCheck::new().tests(200).rng(chance).quickcheck(keep as fn(Vec<u8>, Vec<u8>) -> bool);
}

fn call_of(bulk: bool) -> EndpointCall {
    let part = CallMessage { id: "a".to_owned(), idempotency_key: None, body: Bytes::from_static(b"body") };
    EndpointCall {
        messages: vec![part; 1 + usize::from(bulk)],
        is_bulk: bulk,
        time_left: 1_000_000,
        deadline: 0,
    }
}

/// A connection of the forwarder's to a far end whose socket the test holds: it acts between the turns of the runtime,
/// and nothing else runs while it does.
struct Pair {
    far: std::net::TcpStream,
    orders: Option<UnboundedSender<ScheduledCall>>,
    came: UnboundedReceiver<Input>,
}

const PATIENCE: Duration = Duration::from_secs(20);
const OK: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

impl Pair {
    async fn up() -> Self {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("bound");
        let ((orders, taken), (inputs, came)) = (unbounded_channel(), unbounded_channel());
        spawn_local(run(1, address, Instant::now() + PATIENCE, taken, inputs));
        let mut pair = Pair { far: dialled(listener).await, orders: Some(orders), came };
        assert!(matches!(pair.next().await, Input::ConnectionUp { .. }));
        pair
    }

    async fn next(&mut self) -> Input {
        timeout(PATIENCE, self.came.recv())
            .await
            .expect("something has to come")
            .expect("the connection's word")
    }

    fn send(&self, within: Duration) {
        let order = ScheduledCall { call: call_of(false), deadline: Instant::now() + within };
        self.orders.as_ref().expect("not cancelled").send(order).expect("it takes calls");
    }

    /// The call's last byte has gone, and the far end has read all of it.
    async fn written(&mut self) {
        assert!(matches!(self.next().await, Input::CallWritten { .. }));
        self.far.set_nonblocking(false).expect("a socket");
        let mut request = Vec::new();
        while !request.ends_with(b"body") {
            let mut chunk = [0; 1024];
            let count = self.far.read(&mut chunk).expect("a request");
            request.extend_from_slice(&chunk[..count]);
        }
    }

    /// Carries a call and has it answered: the connection is kept, and idle.
    async fn idle(&mut self) {
        self.send(PATIENCE);
        self.written().await;
        self.far.write_all(OK).expect("written");
        assert!(matches!(self.next().await, Input::CallAnswered { reusable: true, .. }));
    }

    /// How the connection's last call ended, and what the far end was sent of it.
    async fn end(&mut self) -> (EndpointCallError, usize) {
        let error = loop {
            match self.next().await {
                Input::ConnectionClosed { error, .. } => break error,
                Input::CallWritten { .. } => {}
                other => panic!("{other:?}"),
            }
        };
        let mut sent = Vec::new();
        self.far.set_read_timeout(Some(PATIENCE)).expect("a socket");
        // A reset ends it as well.
        let _ = self.far.read_to_end(&mut sent);
        (error, sent.len())
    }
}

async fn dialled(listener: std::net::TcpListener) -> std::net::TcpStream {
    listener.set_nonblocking(true).expect("a socket");
    loop {
        match listener.accept() {
            Ok((stream, _)) => return stream,
            Err(_) => sleep(Duration::from_millis(1)).await,
        }
    }
}

fn play(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(LocalSet::new().run_until(test));
}

// Guards against a call written on a kept connection that the far end closes, resets, or speaks on as it is chosen: the
// bytes are there before the call is, and the runtime has not yet heard of them. Written all the same, an order may have
// run that never did, and what came before it is read as its answer.
#[test]
fn nothing_is_written_on_a_connection_that_closed_or_spoke_when_chosen() {
    for (what, bytes) in
        [("closed", &b""[..]), ("reset", b""), ("half a line", b"HTTP/1.1 2"), ("an answer", OK)]
    {
        play(async {
            let mut pair = Pair::up().await;
            pair.idle().await;
            // Between two turns of the runtime: first the far end, then the call.
            pair.far.write_all(bytes).expect("written");
            if what == "closed" {
                pair.far.shutdown(std::net::Shutdown::Write).expect("a socket");
            }
            pair.send(PATIENCE);
            if what == "reset" {
                SockRef::from(&pair.far).set_linger(Some(Duration::ZERO)).expect("a socket");
                let other = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
                let near = std::net::TcpStream::connect(other.local_addr().expect("bound")).expect("taken");
                // Dropped with its linger at nothing, it is reset.
                drop(std::mem::replace(&mut pair.far, near));
            }
            let error = loop {
                match pair.next().await {
                    Input::ConnectionClosed { error, .. } => break error,
                    Input::CallAnswered { reply, .. } => panic!("{what}: taken for an answer: {reply:?}"),
                    _ => {}
                }
            };
            assert!(error.not_delivered() && !error.ended_locally(), "{what}: {error}");
            if what != "reset" {
                let mut sent = Vec::new();
                let _ = pair.far.read_to_end(&mut sent);
                assert!(sent.is_empty(), "{what}: {} bytes were written", sent.len());
            }
        });
    }
}

// Guards against an answer thrown away because its call's time is up, or the call is called off, in the turn in which the
// answer comes: a wait that it tells binds, and a delivery is one.
#[test]
fn response_arriving_with_its_time_out_or_cancellation_counts() {
    const WAIT: &[u8] =
        b"HTTP/1.1 429 Too Many Requests\r\nX-Come-Back-Ms: 900\r\nContent-Length: 4\r\n\r\nlate";
    for called_off in [false, true] {
        for (answer, status, wait) in [(WAIT, 429, 900), (OK, 200, 0)] {
            play(async {
                let mut pair = Pair::up().await;
                let within = Duration::from_millis(300);
                pair.send(if called_off { PATIENCE } else { within });
                pair.written().await;
                if !called_off {
                    // Past its time, with the runtime standing still: the next turn sees both.
                    std::thread::sleep(within + Duration::from_millis(50));
                }
                pair.far.write_all(answer).expect("written");
                if called_off {
                    pair.orders = None;
                }
                match pair.next().await {
                    Input::CallAnswered { reply, reusable, .. } => {
                        assert_eq!(
                            (reply.status, reply.retry_after_ms),
                            (status, wait),
                            "called off: {called_off}"
                        );
                        assert!(!reusable || !called_off, "nobody has it any more");
                    }
                    other => panic!("called off: {called_off}: {status}: {other:?}"),
                }
            });
        }
    }
}

// Guards against a call that is held, or taken for answered, by an answer that began and does not go on when its time is
// up: half an answer is no answer.
#[test]
fn partial_response_at_its_time_out_is_no_response() {
    play(async {
        let mut pair = Pair::up().await;
        pair.send(Duration::from_millis(100));
        pair.written().await;
        pair.far.write_all(b"HTTP/1.1 429 Too Many Requests\r\nX-Come-Back-Ms: 9").expect("written");
        let (error, _) = pair.end().await;
        assert!(!error.not_delivered() && error.progress == Progress::Answered, "{error}");
    });
}

// Guards against a reset after the last byte, at once or long after, that is taken for "never ran"; and against one in
// the middle of a request that is taken for "may have run".
#[test]
fn late_reset_after_the_last_byte_leaves_delivery_in_doubt() {
    for late in [Duration::ZERO, Duration::from_millis(700)] {
        play(async {
            let mut pair = Pair::up().await;
            pair.send(PATIENCE);
            pair.written().await;
            sleep(late).await;
            SockRef::from(&pair.far).set_linger(Some(Duration::ZERO)).expect("a socket");
            let other = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
            let near = std::net::TcpStream::connect(other.local_addr().expect("bound")).expect("taken");
            drop(std::mem::replace(&mut pair.far, near));
            match pair.next().await {
                Input::ConnectionClosed { error, .. } => {
                    assert_eq!((error.progress, error.outcome()), (Progress::FullyWritten, Outcome::Reset));
                }
                other => panic!("{other:?}"),
            }
        });
    }
}

// Guards against a connection that is kept though more came with its answer than belongs to it: the rest would be the
// next call's answer.
#[test]
fn connection_with_trailing_bytes_is_not_reused() {
    play(async {
        let mut pair = Pair::up().await;
        pair.send(PATIENCE);
        pair.written().await;
        pair.far.write_all(&[OK, OK].concat()).expect("written");
        assert!(matches!(pair.next().await, Input::CallAnswered { .. }));
        // Its task may have ended, or has yet to see what is there.
        let _ = pair
            .orders
            .as_ref()
            .expect("not cancelled")
            .send(ScheduledCall { call: call_of(false), deadline: Instant::now() + PATIENCE });
        let end = pair.next().await;
        assert!(
            matches!(&end, Input::ConnectionClosed { error, .. } if error.progress != Progress::FullyWritten),
            "{end:?}"
        );
        let mut sent = Vec::new();
        let _ = pair.far.read_to_end(&mut sent);
        assert!(sent.is_empty(), "a second call was written");
    });
}

// Guards against a dial that is held beyond its time, or beyond its calling off, by a far end that never answers it.
#[test]
fn hanging_connect_times_out() {
    play(async {
        let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
        socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
        let listener = socket.listen(0).expect("it listens");
        let address: SocketAddr = listener.local_addr().expect("its address");
        let mut waiting = Vec::new();
        while let Ok(Ok(stream)) =
            timeout(Duration::from_millis(300), tokio::net::TcpStream::connect(address)).await
        {
            waiting.push(stream);
        }
        for called_off in [false, true] {
            let ((orders, taken), (inputs, mut came)) = (unbounded_channel(), unbounded_channel());
            let until = Duration::from_millis(if called_off { 20_000 } else { 200 });
            spawn_local(run(1, address, Instant::now() + until, taken, inputs));
            let _orders = (!called_off).then_some(orders);
            let end = timeout(Duration::from_secs(5), came.recv()).await.expect("in time");
            let Some(Input::ConnectionClosed { error, .. }) = end else { panic!("{end:?}") };
            assert!(error.progress == Progress::NotConnected && error.ended_locally(), "{error}");
        }
    });
}

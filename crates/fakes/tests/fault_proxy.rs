//! Tests of each fault of the proxy, on new and open connections.
//!
//! They guard against a fault that is set but has no effect: each test fails if the proxy forwards bytes as without a
//! fault.

use orchidyoke_fakes::{FaultProxy, NetworkFault, ServerRuntime, unused_loopback_address};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Starts an upstream that sends back all bytes that it receives.
fn start_echo_server(runtime: &ServerRuntime) -> SocketAddr {
    let listener = runtime.listen(unused_loopback_address());
    let address = listener.local_addr().expect("an address");
    runtime.spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut buffer = [0u8; 1024];
                while let Ok(count @ 1..) = stream.read(&mut buffer).await {
                    if stream.write_all(&buffer[..count]).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

fn connect(proxy: &FaultProxy, timeout: Duration) -> TcpStream {
    let stream = TcpStream::connect(proxy.address).expect("the proxy listens");
    stream.set_read_timeout(Some(timeout)).expect("a socket");
    stream
}

/// Sends a word and reads as many bytes back. Returns these bytes, or an error if the connection fails or ends before.
fn echo_round_trip(stream: &mut TcpStream, word: &[u8]) -> std::io::Result<Vec<u8>> {
    stream.write_all(word)?;
    let mut back = vec![0u8; word.len()];
    let mut received = 0;
    while received < word.len() {
        match stream.read(&mut back[received..])? {
            0 => return Err(ErrorKind::UnexpectedEof.into()),
            count => received += count,
        }
    }
    Ok(back)
}

fn setup() -> (ServerRuntime, FaultProxy) {
    let runtime = ServerRuntime::new();
    let upstream = start_echo_server(&runtime);
    let proxy = FaultProxy::start(&runtime, unused_loopback_address(), upstream);
    (runtime, proxy)
}

#[test]
fn delay_applies_both_ways_to_an_open_connection() {
    let (_runtime, proxy) = setup();
    let mut stream = connect(&proxy, Duration::from_secs(5));
    assert_eq!(echo_round_trip(&mut stream, b"one").expect("an answer"), b"one");
    proxy.set_fault(NetworkFault::Delay(Duration::from_millis(150)));
    let start = Instant::now();
    assert_eq!(echo_round_trip(&mut stream, b"two").expect("an answer"), b"two");
    // The bytes are delayed by 150 ms in each direction, on a connection that was open before the fault.
    assert!(start.elapsed() >= Duration::from_millis(300), "{:?}", start.elapsed());
    // The last bytes may be read before they are counted.
    let deadline = Instant::now() + Duration::from_secs(5);
    while proxy.counters().bytes_forwarded < 12 && Instant::now() < deadline {
        std::thread::sleep(Duration::from_millis(1));
    }
    let counts = proxy.counters();
    assert_eq!((counts.accepted, counts.connected, counts.bytes_forwarded), (1, 1, 12));
}

#[test]
fn close_ends_new_and_open_connections() {
    let (_runtime, proxy) = setup();
    let mut old = connect(&proxy, Duration::from_secs(5));
    echo_round_trip(&mut old, b"hello").expect("an answer");
    proxy.set_fault(NetworkFault::Close);
    let mut buffer = [0u8; 8];
    assert_eq!(old.read(&mut buffer).expect("a close, not a reset"), 0);
    let mut new = connect(&proxy, Duration::from_secs(5));
    assert_eq!(new.read(&mut buffer).expect("a close, not a reset"), 0);
    assert_eq!(proxy.counters().connected, 1, "a closed connection does not reach the upstream");
}

#[test]
fn reset_ends_new_and_open_connections() {
    let (_runtime, proxy) = setup();
    let mut old = connect(&proxy, Duration::from_secs(5));
    echo_round_trip(&mut old, b"hello").expect("an answer");
    proxy.set_fault(NetworkFault::Reset);
    let mut buffer = [0u8; 8];
    let error = old.read(&mut buffer).expect_err("a reset");
    assert_eq!(error.kind(), ErrorKind::ConnectionReset);
    let mut new = connect(&proxy, Duration::from_secs(5));
    let error = new.read(&mut buffer).expect_err("a reset");
    assert_eq!(error.kind(), ErrorKind::ConnectionReset);
}

#[test]
fn blackhole_discards_bytes_and_leaves_requests_unanswered() {
    let (_runtime, proxy) = setup();
    let mut old = connect(&proxy, Duration::from_millis(400));
    echo_round_trip(&mut old, b"hello").expect("an answer");
    proxy.set_fault(NetworkFault::Blackhole);
    let error = echo_round_trip(&mut old, b"lost").expect_err("the request has no answer");
    assert_eq!(error.kind(), ErrorKind::WouldBlock, "{error}");
    let mut new = connect(&proxy, Duration::from_millis(400));
    assert!(echo_round_trip(&mut new, b"lost too").is_err());
    proxy.set_fault(NetworkFault::None);
    // Discarded bytes do not arrive later; new bytes are forwarded again.
    assert_eq!(echo_round_trip(&mut old, b"back").expect("an answer"), b"back");
    let mut third = connect(&proxy, Duration::from_secs(5));
    assert_eq!(echo_round_trip(&mut third, b"fine").expect("an answer"), b"fine");
    assert_eq!(proxy.counters().bytes_discarded, 12);
}

#[test]
fn partition_holds_bytes_until_it_is_lifted() {
    let (runtime, proxy) = setup();
    let mut old = connect(&proxy, Duration::from_millis(400));
    echo_round_trip(&mut old, b"hello").expect("an answer");
    proxy.set_fault(NetworkFault::Partition);
    let error = echo_round_trip(&mut old, b"held").expect_err("no byte is forwarded");
    assert_eq!(error.kind(), ErrorKind::WouldBlock, "{error}");
    let mut new = connect(&proxy, Duration::from_millis(400));
    assert!(echo_round_trip(&mut new, b"waits").is_err());
    assert_eq!(proxy.counters().connected, 1, "a new connection waits for the partition");
    let lift = proxy.clone();
    runtime.spawn(async move {
        tokio::time::sleep(Duration::from_millis(100)).await;
        lift.set_fault(NetworkFault::None);
    });
    old.set_read_timeout(Some(Duration::from_secs(5))).expect("a socket");
    new.set_read_timeout(Some(Duration::from_secs(5))).expect("a socket");
    let mut buffer = [0u8; 4];
    old.read_exact(&mut buffer).expect("the held bytes arrive");
    assert_eq!(&buffer, b"held");
    let mut buffer = [0u8; 5];
    new.read_exact(&mut buffer).expect("the held bytes arrive");
    assert_eq!(&buffer, b"waits");
    assert_eq!(proxy.counters().bytes_discarded, 0);
}

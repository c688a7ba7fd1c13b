//! The fault proxy does to a path what it is told, for new connections and for those already through it.
//! Guards against a fault that is set but not felt: each test fails where the proxy lets bytes through as they came.

use orchidyoke_fakes::{FaultProxy, NetworkFault, ServerRuntime, unused_loopback_address};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// An upstream that sends back what it is sent.
fn echo(stage: &ServerRuntime) -> SocketAddr {
    let listener = stage.listen(unused_loopback_address());
    let address = listener.local_addr().expect("an address");
    stage.spawn(async move {
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

fn connect(proxy: &FaultProxy, patience: Duration) -> TcpStream {
    let stream = TcpStream::connect(proxy.address).expect("the proxy listens");
    stream.set_read_timeout(Some(patience)).expect("a socket");
    stream
}

/// Sends a word and reads as much back: the word, or the error or end that came instead.
fn round(stream: &mut TcpStream, word: &[u8]) -> std::io::Result<Vec<u8>> {
    stream.write_all(word)?;
    let mut back = vec![0u8; word.len()];
    let mut got = 0;
    while got < word.len() {
        match stream.read(&mut back[got..])? {
            0 => return Err(ErrorKind::UnexpectedEof.into()),
            count => got += count,
        }
    }
    Ok(back)
}

fn setup() -> (ServerRuntime, FaultProxy) {
    let stage = ServerRuntime::new();
    let upstream = echo(&stage);
    let proxy = FaultProxy::start(&stage, unused_loopback_address(), upstream);
    (stage, proxy)
}

#[test]
fn passes_bytes_and_delays_them_both_ways() {
    let (_stage, proxy) = setup();
    let mut stream = connect(&proxy, Duration::from_secs(5));
    assert_eq!(round(&mut stream, b"one").expect("an answer"), b"one");
    proxy.set_fault(NetworkFault::Delay(Duration::from_millis(150)));
    let began = Instant::now();
    assert_eq!(round(&mut stream, b"two").expect("an answer"), b"two");
    // Held 150 ms there and 150 ms back, on a connection that was through before the fault.
    assert!(began.elapsed() >= Duration::from_millis(300), "{:?}", began.elapsed());
    // The last bytes are counted once they are through, and may be read before.
    let until = Instant::now() + Duration::from_secs(5);
    while proxy.counters().bytes_forwarded < 12 && Instant::now() < until {
        std::thread::sleep(Duration::from_millis(1));
    }
    let counts = proxy.counters();
    assert_eq!((counts.accepted, counts.connected, counts.bytes_forwarded), (1, 1, 12));
}

#[test]
fn drop_closes_new_and_old_connections() {
    let (_stage, proxy) = setup();
    let mut old = connect(&proxy, Duration::from_secs(5));
    round(&mut old, b"hello").expect("an answer");
    proxy.set_fault(NetworkFault::Close);
    let mut buffer = [0u8; 8];
    assert_eq!(old.read(&mut buffer).expect("a close, not a reset"), 0);
    let mut new = connect(&proxy, Duration::from_secs(5));
    assert_eq!(new.read(&mut buffer).expect("a close, not a reset"), 0);
    assert_eq!(proxy.counters().connected, 1, "a dropped connection goes nowhere");
}

#[test]
fn reset_resets_new_and_old_connections() {
    let (_stage, proxy) = setup();
    let mut old = connect(&proxy, Duration::from_secs(5));
    round(&mut old, b"hello").expect("an answer");
    proxy.set_fault(NetworkFault::Reset);
    let mut buffer = [0u8; 8];
    let error = old.read(&mut buffer).expect_err("a reset");
    assert_eq!(error.kind(), ErrorKind::ConnectionReset);
    let mut new = connect(&proxy, Duration::from_secs(5));
    let error = new.read(&mut buffer).expect_err("a reset");
    assert_eq!(error.kind(), ErrorKind::ConnectionReset);
}

#[test]
fn a_blackhole_answers_nothing_and_loses_what_it_took() {
    let (_stage, proxy) = setup();
    let mut old = connect(&proxy, Duration::from_millis(400));
    round(&mut old, b"hello").expect("an answer");
    proxy.set_fault(NetworkFault::Blackhole);
    let error = round(&mut old, b"lost").expect_err("no answer");
    assert_eq!(error.kind(), ErrorKind::WouldBlock, "{error}");
    let mut new = connect(&proxy, Duration::from_millis(400));
    assert!(round(&mut new, b"lost too").is_err());
    proxy.set_fault(NetworkFault::None);
    // What was thrown away does not come later; new bytes go through again.
    assert_eq!(round(&mut old, b"back").expect("an answer"), b"back");
    let mut third = connect(&proxy, Duration::from_secs(5));
    assert_eq!(round(&mut third, b"fine").expect("an answer"), b"fine");
    assert_eq!(proxy.counters().bytes_discarded, 12);
}

#[test]
fn a_partition_holds_bytes_until_it_is_lifted() {
    let (stage, proxy) = setup();
    let mut old = connect(&proxy, Duration::from_millis(400));
    round(&mut old, b"hello").expect("an answer");
    proxy.set_fault(NetworkFault::Partition);
    let error = round(&mut old, b"held").expect_err("nothing crosses");
    assert_eq!(error.kind(), ErrorKind::WouldBlock, "{error}");
    let mut new = connect(&proxy, Duration::from_millis(400));
    assert!(round(&mut new, b"waits").is_err());
    assert_eq!(proxy.counters().connected, 1, "a new connection waits for the partition");
    let lift = proxy.clone();
    stage.spawn(async move {
        tokio::time::sleep(Duration::from_millis(100)).await;
        lift.set_fault(NetworkFault::None);
    });
    old.set_read_timeout(Some(Duration::from_secs(5))).expect("a socket");
    new.set_read_timeout(Some(Duration::from_secs(5))).expect("a socket");
    let mut buffer = [0u8; 4];
    old.read_exact(&mut buffer).expect("what was held arrives");
    assert_eq!(&buffer, b"held");
    let mut buffer = [0u8; 5];
    new.read_exact(&mut buffer).expect("what was held arrives");
    assert_eq!(&buffer, b"waits");
    assert_eq!(proxy.counters().bytes_discarded, 0);
}

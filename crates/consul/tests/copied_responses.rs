//! The client for locks against a server that sends a response twice.

mod common;

use bytes::Bytes;
use common::run;
use orchidyoke_consul::locks::LockClient;
use orchidyoke_consul::settings::Settings;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::sleep;

const COPY_DELAY: Duration = Duration::from_millis(40);
/// Longer than the copy's delay, so that the copy arrives under the second request if both use one connection.
const SERVICE_TIME: Duration = Duration::from_millis(150);

/// Starts a server on which `held` can be acquired and nothing else. It sends each response twice.
async fn start_copying_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            spawn_local(serve(stream));
        }
    });
    address
}

async fn serve(mut stream: TcpStream) {
    let mut request = vec![0; 4096];
    loop {
        let Ok(count @ 1..) = stream.read(&mut request).await else { return };
        let acquired = request[..count].starts_with(b"PUT /v1/kv/held?");
        let response =
            format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{acquired}", acquired.to_string().len());
        sleep(SERVICE_TIME).await;
        if stream.write_all(response.as_bytes()).await.is_err() {
            return;
        }
        sleep(COPY_DELAY).await;
        if stream.write_all(response.as_bytes()).await.is_err() {
            return;
        }
    }
}

// Guards against a copy of the response to one lock request that answers the next one: the client takes a lock for its
// own that another session holds (issue 50).
#[test]
fn copied_response_does_not_acquire_the_next_lock() {
    run(async {
        let address = start_copying_server().await;
        let mut locks =
            LockClient::new(Rc::new(Settings { addresses: vec![address], ..Settings::default() }));
        for _ in 0..3 {
            assert!(locks.acquire("held", "session", Bytes::new()).await.expect("answered"));
            assert!(!locks.acquire("other", "session", Bytes::new()).await.expect("answered"));
        }
    });
}

//! Large requests of several clients that together need more memory than there is. The listener is the real one, on real
//! sockets. The test takes the place of the reducer behind the gateway.

use orchidyoke_forwarder::client_api::ClientGateway;
use orchidyoke_forwarder::client_connections::ClientConnections;
use orchidyoke_forwarder::client_listener::listen;
use orchidyoke_forwarder::input::{Input, RequestId, SubmitAnswer};
use orchidyoke_forwarder::request_memory::RequestMemory;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::timeout;

/// Limit on each time for which a test waits.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);
const LARGE_BODY_BYTES: usize = 60_000;
/// Memory for one large request, but not for two.
const MEMORY_BYTES: usize = 100_000;

struct TestForwarder {
    address: SocketAddr,
    gateway: Rc<ClientGateway>,
    inputs: UnboundedReceiver<Input>,
}

impl TestForwarder {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds to a port");
        let address = listener.local_addr().expect("has a local address");
        let (sender, inputs) = unbounded_channel();
        let gateway = ClientGateway::new(sender);
        let connections = ClientConnections::with_memory(64, RequestMemory::new(MEMORY_BYTES));
        spawn_local(listen(listener, gateway.clone(), connections));
        TestForwarder { address, gateway, inputs }
    }

    /// Waits for the next message that reaches the reducer. Returns its id, its size and the request for the answer.
    async fn next_submission(&mut self) -> (String, usize, RequestId) {
        loop {
            let input = timeout(TEST_TIMEOUT, self.inputs.recv()).await.expect("a request arrives in time");
            if let Some(Input::Submitted { request, message }) = input {
                return (message.id, message.body.len(), request);
            }
        }
    }

    async fn accept_next(&mut self, id: &str, bytes: usize) {
        let (submitted, submitted_bytes, request) = self.next_submission().await;
        assert_eq!((&submitted[..], submitted_bytes), (id, bytes));
        self.gateway.answer(request, SubmitAnswer::Accepted);
    }

    /// Connects a client that sends `sent_bytes` of a body of `body_bytes`.
    async fn client(&self, id: &str, fields: &str, body_bytes: usize, sent_bytes: usize) -> TcpStream {
        let mut stream = TcpStream::connect(self.address).await.expect("connects");
        let head = format!(
            "POST /status HTTP/1.1\r\nHost: x\r\nX-Txn: {id}\r\nX-Remaining: 5\r\nX-Consignee: dest=2\r\n{fields}\
             Content-Length: {body_bytes}\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await.expect("the write succeeds");
        stream.write_all(&vec![b'x'; sent_bytes]).await.expect("the write succeeds");
        stream
    }
}

fn run(test: impl Future<Output = ()>) {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("the runtime starts");
    runtime.block_on(LocalSet::new().run_until(test));
}

async fn read_status(stream: &mut TcpStream) -> String {
    let mut answer = vec![0; 12];
    let read =
        timeout(TEST_TIMEOUT, stream.read_exact(&mut answer)).await.expect("an answer arrives in time");
    read.expect("the connection is not reset");
    String::from_utf8_lossy(&answer[9..]).into_owned()
}

// Guards against a client that stops in the middle of a large request and keeps others from being read, or keeps its
// memory after its connection has closed (issue 60).
#[test]
fn stalled_large_request_gives_its_memory_to_one_that_waits() {
    run(async {
        let mut forwarder = TestForwarder::start().await;
        for round in 0..3 {
            let mut stalled = forwarder.client("stalled", "", LARGE_BODY_BYTES, LARGE_BODY_BYTES / 2).await;
            let small_id = format!("small-{round}");
            let mut small = forwarder.client(&small_id, "", 300, 300).await;
            forwarder.accept_next(&small_id, 300).await;
            assert_eq!(read_status(&mut small).await, "202");
            let whole_id = format!("whole-{round}");
            let mut whole = forwarder.client(&whole_id, "", LARGE_BODY_BYTES, LARGE_BODY_BYTES).await;
            forwarder.accept_next(&whole_id, LARGE_BODY_BYTES).await;
            assert_eq!(read_status(&mut whole).await, "202");
            assert_eq!(read_status(&mut stalled).await, "408");
        }
    });
}

// Guards against a request that is neither read nor answered while there is no memory for it, and against one that gets
// memory that an unanswered message still holds (issue 60).
#[test]
fn large_request_without_memory_is_refused_before_its_client_gives_up() {
    run(async {
        let mut forwarder = TestForwarder::start().await;
        let mut unanswered = forwarder.client("unanswered", "", LARGE_BODY_BYTES, LARGE_BODY_BYTES).await;
        let (_, _, request) = forwarder.next_submission().await;
        let mut refused = forwarder.client("refused", "", LARGE_BODY_BYTES, LARGE_BODY_BYTES).await;
        assert_eq!(read_status(&mut refused).await, "503");
        forwarder.gateway.answer(request, SubmitAnswer::Accepted);
        assert_eq!(read_status(&mut unanswered).await, "202");
        let mut next = forwarder.client("next", "", LARGE_BODY_BYTES, LARGE_BODY_BYTES).await;
        forwarder.accept_next("next", LARGE_BODY_BYTES).await;
        assert_eq!(read_status(&mut next).await, "202");
    });
}

// Guards against a request with a long head that is not read any further although there is memory for it (issue 60).
#[test]
fn request_with_a_long_head_is_accepted() {
    run(async {
        let mut forwarder = TestForwarder::start().await;
        for bytes in [3_500, 4_096, 9_000, 20_000, 30_000] {
            let field = format!("Filler: {}\r\n", "x".repeat(bytes));
            let id = format!("head-{bytes}");
            let mut client = forwarder.client(&id, &field, LARGE_BODY_BYTES, LARGE_BODY_BYTES).await;
            forwarder.accept_next(&id, LARGE_BODY_BYTES).await;
            assert_eq!(read_status(&mut client).await, "202", "{bytes}");
        }
    });
}

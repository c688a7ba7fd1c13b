use super::*;
use tokio::sync::mpsc::unbounded_channel;
use tokio::task::LocalSet;

async fn send(address: std::net::SocketAddr, line: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.expect("the console accepts connections");
    stream.write_all(line).await.expect("the write succeeds");
    let mut reply = String::new();
    // A client whose connection is closed to make room for another may get a reset and then has no reply.
    let _ = stream.read_to_string(&mut reply).await;
    reply
}

// Guards against clients that send nothing, or never end their line, and thereby block clients that send commands.
#[tokio::test(flavor = "current_thread")]
async fn silent_clients_do_not_block_others() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds to a port");
    let address = listener.local_addr().expect("has a local address");
    let (inputs, mut received) = unbounded_channel();
    let console = ConsoleGateway::new(inputs);
    let replying = console.clone();
    let local = LocalSet::new();
    local.spawn_local(listen(listener, console.clone()));
    local.spawn_local(async move {
        while let Some(Input::Operator { request, call }) = received.recv().await {
            replying.reply(request, ConsoleReply::Rejected(format!("{call:?}")));
        }
    });
    local
        .run_until(async {
            let mut silent = Vec::new();
            for number in 0..3 * MAX_CONNECTIONS {
                let mut stream = TcpStream::connect(address).await.expect("the console accepts connections");
                if number % 2 == 0 {
                    stream.write_all(b"disable-server s").await.expect("the write succeeds");
                }
                silent.push(stream);
                assert_eq!(send(address, b"ready\n").await, "400 Ready\n");
                assert!(console.open_connections.get() <= MAX_CONNECTIONS, "too many open connections");
            }
            assert!(send(address, &[b'x'; 4096]).await.starts_with("400 the line is too long"));
            assert!(send(address, b"ready\nready\n").await.starts_with("400 one line"));
            drop(silent);
            while console.open_connections.get() > 0 {
                tokio::task::yield_now().await;
            }
            assert!(console.waiting.borrow().is_empty() && console.incomplete.borrow().is_empty());
        })
        .await;
}

// Guards against the end of the process with commands that were read and get no reply, or a reply that was decided and is
// not written (issue 63).
#[tokio::test(flavor = "current_thread")]
async fn commands_that_were_read_get_a_reply_before_the_process_ends() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds to a port");
    let address = listener.local_addr().expect("has a local address");
    let (inputs, mut received) = unbounded_channel();
    let console = ConsoleGateway::new(inputs);
    let local = LocalSet::new();
    local.spawn_local(listen(listener, console.clone()));
    local
        .run_until(async {
            let decided = spawn_local(send(address, b"ready\n"));
            let Some(Input::Operator { request, .. }) = received.recv().await else { panic!("a command") };
            let undecided = spawn_local(send(address, b"ready\n"));
            assert!(matches!(received.recv().await, Some(Input::Operator { .. })));
            console.reply(request, ConsoleReply::Done("ready"));
            assert_eq!(console.replies_due.get(), 2);
            console.finish().await;
            assert_eq!(console.replies_due.get(), 0, "the replies are written");
            assert_eq!(decided.await.expect("the client ends"), "200 ready\n");
            assert_eq!(undecided.await.expect("the client ends"), "400 the forwarder ends\n");
            assert_eq!(send(address, b"ready\n").await, "400 the forwarder ends\n");
        })
        .await;
}

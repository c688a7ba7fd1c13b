use super::*;
use tokio::sync::mpsc::unbounded_channel;
use tokio::task::LocalSet;

async fn say(at: std::net::SocketAddr, words: &[u8]) -> String {
    let mut stream = TcpStream::connect(at).await.expect("it takes callers");
    stream.write_all(words).await.expect("written");
    let mut reply = String::new();
    // A caller whose connection is closed for another may see a reset; it has no reply then.
    let _ = stream.read_to_string(&mut reply).await;
    reply
}

// Guards against callers that say nothing, or never end their line, and thereby keep out those that ask.
#[tokio::test(flavor = "current_thread")]
async fn silent_callers_do_not_block_others() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let at = listener.local_addr().expect("bound");
    let (inputs, mut came) = unbounded_channel();
    let console = ConsoleGateway::new(inputs);
    let answering = console.clone();
    let local = LocalSet::new();
    local.spawn_local(listen(listener, console.clone()));
    local.spawn_local(async move {
        while let Some(Input::Operator { request, call }) = came.recv().await {
            answering.reply(request, ConsoleReply::Rejected(format!("{call:?}")));
        }
    });
    local
        .run_until(async {
            let mut silent = Vec::new();
            for number in 0..3 * MAX_CONNECTIONS {
                let mut stream = TcpStream::connect(at).await.expect("it takes callers");
                if number % 2 == 0 {
                    stream.write_all(b"disable-server s").await.expect("written");
                }
                silent.push(stream);
                assert_eq!(say(at, b"ready\n").await, "400 Ready\n");
                assert!(console.open_connections.get() <= MAX_CONNECTIONS, "bounded");
            }
            assert!(say(at, &[b'x'; 4096]).await.starts_with("400 the line is too long"));
            assert!(say(at, b"ready\nready\n").await.starts_with("400 one line"));
            drop(silent);
            while console.open_connections.get() > 0 {
                tokio::task::yield_now().await;
            }
            assert!(console.waiting.borrow().is_empty() && console.incomplete.borrow().is_empty());
        })
        .await;
}

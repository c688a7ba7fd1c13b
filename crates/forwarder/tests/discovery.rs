//! The watch on discovery's list, on real sockets: the far end is a script that writes, waits or closes.

use orchidyoke_core::endpoint_list::WatchEvent;
use orchidyoke_forwarder::catalogue::UpdateSender;
use orchidyoke_forwarder::discovery::{WatchEnd, follow};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep};

/// A change binds so long after discovery had it.
const TOLD_AFTER: Duration = Duration::from_secs(6);
/// A slow machine.
const SLACK: Duration = Duration::from_millis(700);

fn list(rev: u64, all: bool, uid: &str, state: &str) -> String {
    format!(
        "{{\"rev\":{rev},\"all\":{all},\"targets\":[{{\"uid\":\"{uid}\",\"endpoint\":\"127.0.0.1:8000\",\
         \"az\":\"a\",\"model\":\"m\",\"pod_group\":3,\"state\":\"{state}\",\"capacity_hint\":1.0,\
         \"boot_ms\":0}}]}}"
    )
}

/// The same on many lines, as people write it.
fn indented(rev: u64) -> String {
    let list: serde_json::Value = serde_json::from_str(&list(rev, true, "s1", "in_service")).expect("a list");
    serde_json::to_string_pretty(&list).expect("a list")
}

const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Follows a far end that does this with the connection once it has read the request. What was told, how it ended, and
/// after what time.
async fn followed(far_end: impl AsyncFnOnce(TcpStream)) -> (Vec<WatchEvent>, WatchEnd, Duration) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let at = listener.local_addr().expect("its address");
    let served = async {
        let (mut stream, _) = listener.accept().await.expect("a watch");
        let mut request = Vec::new();
        while !request.ends_with(b"\r\n\r\n") {
            request.push(stream.read_u8().await.expect("its request"));
        }
        far_end(stream).await;
    };
    let (told, ended, took) = tokio::join!(follow_at(at), served).0;
    (told, ended, took)
}

async fn follow_at(at: SocketAddr) -> (Vec<WatchEvent>, WatchEnd, Duration) {
    let told = Rc::new(RefCell::new(Vec::new()));
    let updates = UpdateSender::new({
        let told = told.clone();
        move |news| told.borrow_mut().push(news)
    });
    let began = Instant::now();
    let ended = follow(at, 0, updates).await;
    let took = began.elapsed();
    (told.take(), ended, took)
}

async fn write(stream: &mut TcpStream, text: &str) -> bool {
    stream.write_all(text.as_bytes()).await.is_ok()
}

/// Until the forwarder closes.
async fn until_closed(mut stream: TcpStream) {
    while stream.read(&mut [0; 1024]).await.is_ok_and(|count| count > 0) {}
}

// Guards against news lost or read twice where a chunk ends inside a list, against lists on many lines taken for none,
// and against the blank lines.
#[tokio::test(flavor = "current_thread")]
async fn lists_arrive_complete_however_they_are_chunked_and_indented() {
    let text = format!(
        "{}\n\n{}\r\n\r\n{}{}\n",
        list(1, true, "s1", "in_service"),
        indented(2),
        list(3, false, "s2", "terminating"),
        indented(4)
    );
    for size in [1, 2, 7, 100, text.len()] {
        let (told, ended, _) = followed(async |mut stream| {
            write(&mut stream, CHUNKED).await;
            for part in text.as_bytes().chunks(size) {
                write(&mut stream, &chunk(std::str::from_utf8(part).expect("ASCII"))).await;
            }
            write(&mut stream, "0\r\n\r\n").await;
            until_closed(stream).await;
        })
        .await;
        let revs: Vec<_> = told.iter().map(|news| (news.version, news.is_snapshot)).collect();
        assert_eq!(revs, [(1, true), (2, true), (3, false), (4, true)], "cut by {size}: {ended:?}");
        assert!(ended.silence < SLACK, "{ended:?}");
    }
}

// Guards against a refusal, half a list or an answer of nothing that is taken for a list, or that hangs the watch.
#[tokio::test(flavor = "current_thread")]
async fn bad_response_ends_the_watch_without_an_event() {
    let whole = list(7, true, "s1", "in_service");
    let (half, pretty) = (&whole[..whole.len() / 2], indented(7));
    let half_pretty = &pretty[..pretty.rfind('}').expect("its end")];
    for (status, told, body, why, wait) in [
        ("429 Too Many Requests", "", "", "429", 0),
        ("429 Too Many Requests", "Retry-After: 2\r\n", "", "429", 2000),
        ("429 Too Many Requests", "Retry-After: 86400\r\n", "", "429", 86_400_000),
        ("503 Service Unavailable", "", "", "503", 0),
        ("503 Service Unavailable", "Retry-After: never\r\n", "", "503", 0),
        ("503 Service Unavailable", "X-Come-Back-Ms: 700\r\n", "", "503", 700),
        ("200 OK", "Retry-After: 2\r\n", "", "it ended", 0),
        ("200 OK", "", "{]\n", "no list", 0),
        ("200 OK", "", "[]\n", "no list", 0),
        ("200 OK", "", half, "it ended", 0),
        ("200 OK", "", half_pretty, "it ended", 0),
        ("", "", "", "the connection failed", 0),
    ] {
        let answer = format!("HTTP/1.1 {status}\r\n{told}Content-Length: {}\r\n\r\n{body}", body.len());
        let answer = if status.is_empty() { String::new() } else { answer };
        let (told, ended, _) = followed(async |mut stream| {
            write(&mut stream, &answer).await;
        })
        .await;
        assert!(ended.reason.contains(why), "{answer:?}: {ended:?}");
        assert_eq!((ended.retry_after_ms, told.len()), (wait, 0), "{answer:?}");
    }
}

/// Holds what was told for a while, then does `then` for as long as it can.
async fn silent_after(
    first: &str,
    mut then: impl AsyncFnMut(&mut TcpStream) -> bool,
) -> (usize, WatchEnd, Duration) {
    let (told, ended, took) = followed(async |mut stream| {
        write(&mut stream, first).await;
        while then(&mut stream).await {}
        until_closed(stream).await;
    })
    .await;
    (told.len(), ended, took)
}

// Guards against a watch that says nothing any more and is followed on: before its answer, before its first list, after
// it; one whose bytes dribble and never make a list; and one that goes on as it should and is given up. Each time the
// forwarder knows for how long it has heard nothing, and has time left to ask another before a change binds.
#[tokio::test(flavor = "current_thread")]
async fn silent_watch_times_out() {
    let first = format!("{CHUNKED}{}", chunk(&(list(1, true, "s1", "in_service") + "\n")));
    let dribbles = format!("{first}{}", chunk("{"));
    let says_nothing = async |_: &mut TcpStream| false;
    let says_something = async |stream: &mut TcpStream| {
        sleep(Duration::from_millis(300)).await;
        write(stream, &chunk(" ")).await
    };
    let (before_answer, before_list, after_list, dribbling) = tokio::join!(
        silent_after("", says_nothing),
        silent_after(CHUNKED, says_nothing),
        silent_after(&first, says_nothing),
        silent_after(&dribbles, says_something),
    );
    let silence = Duration::from_secs(3);
    for (what, (told, ended, took), lists, lasts) in [
        ("before its answer", before_answer, 0, silence),
        ("before its first list", before_list, 0, silence),
        ("after its first list", after_list, 1, silence),
        ("dribbling", dribbling, 1, Duration::from_millis(4_500)),
    ] {
        assert_eq!(told, lists, "{what}: {ended:?}");
        assert!(ended.reason.contains("no data from discovery in time"), "{what}: {ended:?}");
        assert!(took >= lasts && took < lasts + SLACK, "{what}: after {took:?}");
        assert!(ended.silence >= lasts && ended.silence + SLACK < TOLD_AFTER, "{what}: {ended:?}");
    }
}

// Guards against a watch given up though its empty lines come as they are due.
#[tokio::test(flavor = "current_thread")]
async fn watch_with_blank_lines_stays_open() {
    let mut lines = 0;
    let (_, ended, took) = silent_after(CHUNKED, async |stream| {
        lines += 1;
        write(stream, &chunk("\n")).await;
        sleep(Duration::from_secs(2)).await;
        lines < 3
    })
    .await;
    assert!(took >= Duration::from_secs(7), "{took:?}: {ended:?}");
}

// Guards against a dial that hangs: it is given up after a second, and counts from its start.
#[tokio::test(flavor = "current_thread")]
async fn hanging_connect_times_out() {
    // A socket that lets one connection wait: once it has, others get no answer.
    let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
    socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
    let listener = socket.listen(0).expect("it listens");
    let at = listener.local_addr().expect("its address");
    let mut waiting = Vec::new();
    while let Ok(Ok(stream)) = tokio::time::timeout(Duration::from_millis(300), TcpStream::connect(at)).await
    {
        waiting.push(stream);
        assert!(waiting.len() < 100, "it takes all");
    }
    let (told, ended, took) = follow_at(at).await;
    assert!(told.is_empty() && ended.reason.contains("no data from discovery in time"), "{ended:?}");
    assert!(
        took < Duration::from_secs(1) + SLACK && ended.silence >= Duration::from_secs(1),
        "{took:?}, {ended:?}"
    );
}

//! The watch on discovery's endpoint list, on real sockets. A scripted server takes the place of discovery.

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

/// Time from when discovery has a change until the change is binding.
const TOLD_AFTER: Duration = Duration::from_secs(6);
/// Allowance for a slow machine.
const SLACK: Duration = Duration::from_millis(700);

fn list(rev: u64, all: bool, uid: &str, state: &str) -> String {
    format!(
        "{{\"rev\":{rev},\"all\":{all},\"targets\":[{{\"uid\":\"{uid}\",\"endpoint\":\"127.0.0.1:8000\",\
         \"az\":\"a\",\"model\":\"m\",\"pod_group\":3,\"state\":\"{state}\",\"capacity_hint\":1.0,\
         \"boot_ms\":0}}]}}"
    )
}

/// Returns an endpoint list as indented JSON on several lines.
fn indented(rev: u64) -> String {
    let list: serde_json::Value =
        serde_json::from_str(&list(rev, true, "s1", "in_service")).expect("valid JSON");
    serde_json::to_string_pretty(&list).expect("valid JSON")
}

const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Follows a server that runs `far_end` on the connection once it has read the request. Returns the events, the end
/// of the watch, and its duration.
async fn followed(far_end: impl AsyncFnOnce(TcpStream)) -> (Vec<WatchEvent>, WatchEnd, Duration) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds to a port");
    let at = listener.local_addr().expect("has a local address");
    let served = async {
        let (mut stream, _) = listener.accept().await.expect("the watch connects");
        let mut request = Vec::new();
        while !request.ends_with(b"\r\n\r\n") {
            request.push(stream.read_u8().await.expect("the request is complete"));
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

/// Reads until the forwarder closes the connection.
async fn until_closed(mut stream: TcpStream) {
    while stream.read(&mut [0; 1024]).await.is_ok_and(|count| count > 0) {}
}

// Guards against events that are lost or read twice when a chunk ends inside a list, against rejecting lists on several
// lines, and against errors from blank lines.
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

// Guards against an error status, an incomplete list or an empty response that is read as a list, or that leaves the
// watch hanging.
#[tokio::test(flavor = "current_thread")]
async fn bad_response_ends_the_watch_without_an_event() {
    let whole = list(7, true, "s1", "in_service");
    let (half, pretty) = (&whole[..whole.len() / 2], indented(7));
    let half_pretty = &pretty[..pretty.rfind('}').expect("the list has an end")];
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

/// Follows a server that sends `first` and then repeats `then` until it returns `false`. Returns the number of
/// events, the end of the watch, and its duration.
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

// Guards against following a silent watch forever: before its response, before its first list, after it, or while
// single bytes arrive that never complete a list. Each time the watch must report how long discovery was silent, and
// leave time for another watch before a change is binding.
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

// Guards against ending a watch whose blank lines arrive on time.
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

// Guards against a connection attempt that hangs. It must end after a second, and its time must count as silence.
#[tokio::test(flavor = "current_thread")]
async fn hanging_connect_times_out() {
    // A socket with the smallest backlog. Once the backlog is full, further connection attempts get no answer.
    let socket = tokio::net::TcpSocket::new_v4().expect("the socket call succeeds");
    socket.bind("127.0.0.1:0".parse().expect("a valid address")).expect("binds to a port");
    let listener = socket.listen(0).expect("the socket listens");
    let at = listener.local_addr().expect("has a local address");
    let mut waiting = Vec::new();
    while let Ok(Ok(stream)) = tokio::time::timeout(Duration::from_millis(300), TcpStream::connect(at)).await
    {
        waiting.push(stream);
        assert!(waiting.len() < 100, "the backlog does not fill up");
    }
    let (told, ended, took) = follow_at(at).await;
    assert!(told.is_empty() && ended.reason.contains("no data from discovery in time"), "{ended:?}");
    assert!(
        took < Duration::from_secs(1) + SLACK && ended.silence >= Duration::from_secs(1),
        "{took:?}, {ended:?}"
    );
}

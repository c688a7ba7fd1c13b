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

/// Time from when discovery has a change until the forwarder must have applied it.
const MAX_CHANGE_DELAY: Duration = Duration::from_secs(6);
/// Allowance for a slow machine.
const SLACK: Duration = Duration::from_millis(700);

fn list(version: u64, is_snapshot: bool, uid: &str, state: &str) -> String {
    format!(
        "{{\"rev\":{version},\"all\":{is_snapshot},\"targets\":[{{\"uid\":\"{uid}\",\"endpoint\":\"127.0.0.1:8000\",\
         \"az\":\"a\",\"model\":\"m\",\"pod_group\":3,\"state\":\"{state}\",\"capacity_hint\":1.0,\
         \"boot_ms\":0}}]}}"
    )
}

/// Returns an endpoint list as indented JSON on several lines.
fn indented(version: u64) -> String {
    let list: serde_json::Value =
        serde_json::from_str(&list(version, true, "s1", "in_service")).expect("valid JSON");
    serde_json::to_string_pretty(&list).expect("valid JSON")
}

const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Follows a server that runs `server` on the connection once it has read the request. Returns the events, the end
/// of the watch, and its duration.
async fn follow_server(server: impl AsyncFnOnce(TcpStream)) -> (Vec<WatchEvent>, WatchEnd, Duration) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds to a port");
    let address = listener.local_addr().expect("has a local address");
    let serving = async {
        let (mut stream, _) = listener.accept().await.expect("the watch connects");
        let mut request = Vec::new();
        while !request.ends_with(b"\r\n\r\n") {
            request.push(stream.read_u8().await.expect("the request is complete"));
        }
        server(stream).await;
    };
    let (events, watch_end, duration) = tokio::join!(follow_at(address), serving).0;
    (events, watch_end, duration)
}

async fn follow_at(address: SocketAddr) -> (Vec<WatchEvent>, WatchEnd, Duration) {
    let events = Rc::new(RefCell::new(Vec::new()));
    let updates = UpdateSender::new({
        let events = events.clone();
        move |event| events.borrow_mut().push(event)
    });
    let started_at = Instant::now();
    let watch_end = follow(address, 0, updates).await;
    let duration = started_at.elapsed();
    (events.take(), watch_end, duration)
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
        let (events, watch_end, _) = follow_server(async |mut stream| {
            write(&mut stream, CHUNKED).await;
            for part in text.as_bytes().chunks(size) {
                write(&mut stream, &chunk(std::str::from_utf8(part).expect("ASCII"))).await;
            }
            write(&mut stream, "0\r\n\r\n").await;
            until_closed(stream).await;
        })
        .await;
        let versions: Vec<_> = events.iter().map(|event| (event.version, event.is_snapshot)).collect();
        assert_eq!(versions, [(1, true), (2, true), (3, false), (4, true)], "cut by {size}: {watch_end:?}");
        assert!(watch_end.silence < SLACK, "{watch_end:?}");
    }
}

// Guards against an error status, an incomplete list or an empty response that is read as a list, or that leaves the
// watch hanging.
#[tokio::test(flavor = "current_thread")]
async fn bad_response_ends_the_watch_without_an_event() {
    let complete = list(7, true, "s1", "in_service");
    let (half, indented_list) = (&complete[..complete.len() / 2], indented(7));
    let half_indented = &indented_list[..indented_list.rfind('}').expect("the list has an end")];
    for (status, headers, body, expected_reason, expected_delay) in [
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
        ("200 OK", "", half_indented, "it ended", 0),
        ("", "", "", "the connection failed", 0),
    ] {
        let answer = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len());
        let answer = if status.is_empty() { String::new() } else { answer };
        let (events, watch_end, _) = follow_server(async |mut stream| {
            write(&mut stream, &answer).await;
        })
        .await;
        assert!(watch_end.reason.contains(expected_reason), "{answer:?}: {watch_end:?}");
        assert_eq!((watch_end.retry_after_ms, events.len()), (expected_delay, 0), "{answer:?}");
    }
}

/// Follows a server that sends `first` and then repeats `then` until it returns `false`. Returns the number of
/// events, the end of the watch, and its duration.
async fn silent_after(
    first: &str,
    mut then: impl AsyncFnMut(&mut TcpStream) -> bool,
) -> (usize, WatchEnd, Duration) {
    let (events, watch_end, duration) = follow_server(async |mut stream| {
        write(&mut stream, first).await;
        while then(&mut stream).await {}
        until_closed(stream).await;
    })
    .await;
    (events.len(), watch_end, duration)
}

// Guards against following a silent watch forever: before its response, before its first list, after it, or while
// single bytes arrive that never complete a list. Each time the watch must report how long discovery was silent, and
// end early enough for another watch to receive a change before it must be applied.
#[tokio::test(flavor = "current_thread")]
async fn silent_watch_times_out() {
    let first = format!("{CHUNKED}{}", chunk(&(list(1, true, "s1", "in_service") + "\n")));
    let partial_list = format!("{first}{}", chunk("{"));
    let send_nothing = async |_: &mut TcpStream| false;
    let send_blank = async |stream: &mut TcpStream| {
        sleep(Duration::from_millis(300)).await;
        write(stream, &chunk(" ")).await
    };
    let (before_answer, before_list, after_list, partial_lists) = tokio::join!(
        silent_after("", send_nothing),
        silent_after(CHUNKED, send_nothing),
        silent_after(&first, send_nothing),
        silent_after(&partial_list, send_blank),
    );
    let silence = Duration::from_secs(3);
    for (phase, (events, watch_end, duration), lists, expected_duration) in [
        ("before its answer", before_answer, 0, silence),
        ("before its first list", before_list, 0, silence),
        ("after its first list", after_list, 1, silence),
        ("with a list that never ends", partial_lists, 1, Duration::from_millis(4_500)),
    ] {
        assert_eq!(events, lists, "{phase}: {watch_end:?}");
        assert!(watch_end.reason.contains("no data from discovery in time"), "{phase}: {watch_end:?}");
        assert!(
            duration >= expected_duration && duration < expected_duration + SLACK,
            "{phase}: after {duration:?}"
        );
        assert!(
            watch_end.silence >= expected_duration && watch_end.silence + SLACK < MAX_CHANGE_DELAY,
            "{phase}: {watch_end:?}"
        );
    }
}

// Guards against ending a watch whose blank lines arrive on time.
#[tokio::test(flavor = "current_thread")]
async fn watch_with_blank_lines_stays_open() {
    let mut lines = 0;
    let (_, watch_end, duration) = silent_after(CHUNKED, async |stream| {
        lines += 1;
        write(stream, &chunk("\n")).await;
        sleep(Duration::from_secs(2)).await;
        lines < 3
    })
    .await;
    assert!(duration >= Duration::from_secs(7), "{duration:?}: {watch_end:?}");
}

// Guards against a connection attempt that hangs. It must end after a second, and its time must count as silence.
#[tokio::test(flavor = "current_thread")]
async fn hanging_connect_times_out() {
    // A socket with the smallest backlog. Once the backlog is full, further connection attempts get no answer.
    let socket = tokio::net::TcpSocket::new_v4().expect("the socket call succeeds");
    socket.bind("127.0.0.1:0".parse().expect("a valid address")).expect("binds to a port");
    let listener = socket.listen(0).expect("the socket listens");
    let address = listener.local_addr().expect("has a local address");
    let mut waiting = Vec::new();
    while let Ok(Ok(stream)) =
        tokio::time::timeout(Duration::from_millis(300), TcpStream::connect(address)).await
    {
        waiting.push(stream);
        assert!(waiting.len() < 100, "the backlog does not fill up");
    }
    let (events, watch_end, duration) = follow_at(address).await;
    assert!(
        events.is_empty() && watch_end.reason.contains("no data from discovery in time"),
        "{watch_end:?}"
    );
    assert!(
        duration < Duration::from_secs(1) + SLACK && watch_end.silence >= Duration::from_secs(1),
        "{duration:?}, {watch_end:?}"
    );
}

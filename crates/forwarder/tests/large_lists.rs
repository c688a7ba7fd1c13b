//! The forwarder with an endpoint list of 100,000 entries: read, stored in the journal, restored at the next start,
//! reloaded and changed. Also the handling of invalid and oversized lists.

#[path = "common/deployments.rs"]
mod deployments;

use bytes::Bytes;
use orchidyoke_core::endpoint_list::{
    EndpointEntry, EndpointList, EndpointState, HealthStatus, MAX_ENTRIES, WatchEvent,
};
use orchidyoke_core::interface::Micros;
use orchidyoke_forwarder::catalogue::UpdateSender;
use orchidyoke_forwarder::config::Config;
use orchidyoke_forwarder::console;
use orchidyoke_forwarder::discovery::{WatchEnd, follow};
use orchidyoke_forwarder::input::{Effect, Input, OtherProcessUpdate, WatchSource};
use orchidyoke_forwarder::reducer::Reducer;
use orchidyoke_forwarder::reload::ConfigSource;
use orchidyoke_journal::{Record, replay};
use std::cell::RefCell;
use std::fs;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep};

const LISTED: usize = 100_000;
const SECOND: Micros = 1_000_000;
const START: Micros = 1_800_000_000 * SECOND;
/// Upper bound for the bytes of a record of one entry, far below those of the list.
const SMALL_RECORD: usize = 1_000;

fn entry(number: usize) -> EndpointEntry {
    EndpointEntry {
        uid: format!("s-{number:08x}"),
        address: "127.0.0.1:8000".parse().expect("the address is valid"),
        zone: "a".to_owned(),
        kind: "one".to_owned(),
        destination: number as u64,
        state: EndpointState::Active,
        capacity_hint: 20.0,
        health: HealthStatus::Passing,
    }
}

fn entries(count: usize) -> Vec<EndpointEntry> {
    (0..count).map(entry).collect()
}

fn watch_event(list_version: u64, snapshot: bool, entries: Vec<EndpointEntry>) -> WatchEvent {
    WatchEvent { version: list_version, is_snapshot: snapshot, endpoints: entries, origin: String::new() }
}

/// Returns the text of a configuration with these endpoints, and with a folder that is large enough for them.
fn config_text(entries: Vec<EndpointEntry>) -> String {
    deployments::config("127.0.0.1:1", "127.0.0.1:2", entries).replace("\"disk_mb\":0.2", "\"disk_mb\":128")
}

fn config(entries: Vec<EndpointEntry>) -> Config {
    Config::read(&config_text(entries), None, None).expect("the configuration is valid")
}

/// A forwarder and its journal's file.
struct World {
    reducer: Reducer,
    file: Vec<u8>,
    now: Micros,
    watch: u64,
    log: Vec<String>,
}

impl World {
    /// Starts a forwarder from the content of the file.
    fn start(config: Config, file: Vec<u8>) -> Self {
        let (records, complete_bytes) = replay(Bytes::copy_from_slice(&file));
        assert_eq!(complete_bytes, file.len());
        let reducer = Reducer::new(config, 0, records, complete_bytes, START);
        let mut world = World { reducer, file, now: START, watch: 0, log: Vec::new() };
        // This input runs no controller round, which would process the whole list and is not part of these tests.
        world.input(Input::Withdrawn { request: 0 });
        world
    }

    /// Processes one input. Returns the bytes written to the file.
    fn input(&mut self, input: Input) -> usize {
        let mut inputs = vec![input];
        let mut written = 0;
        while let Some(input) = inputs.pop() {
            for effect in self.reducer.step(self.now, input) {
                match effect {
                    Effect::Append { append: append_id, bytes } => {
                        self.file.extend_from_slice(&bytes);
                        written += bytes.len();
                        inputs.push(Input::Appended {
                            append: append_id,
                            stored: true,
                            size: self.file.len(),
                        });
                    }
                    Effect::CompactJournal { bytes } => {
                        written += bytes.len();
                        self.file = bytes.to_vec();
                    }
                    Effect::StartWatch { watch, .. } => self.watch = watch,
                    Effect::Log { line } => self.log.push(line),
                    _ => {}
                }
            }
        }
        written
    }

    /// Sends an event on the current watch. Returns the bytes written to the file.
    fn send_event(&mut self, update: WatchEvent) -> usize {
        let watch = self.watch;
        self.input(Input::WatchEvent { watch, event: update })
    }

    /// Returns the list that a start would read from the journal.
    fn journaled_list(&self) -> EndpointList {
        let mut list = EndpointList::default();
        let (records, complete_bytes) = replay(Bytes::copy_from_slice(&self.file));
        assert_eq!(complete_bytes, self.file.len());
        for (record, _) in records {
            if let Record::EndpointList(update) = record {
                list.apply(&update);
            }
        }
        list
    }

    /// Returns the number of endpoints that the forwarder holds.
    fn endpoint_count(&self) -> usize {
        self.reducer.gauges().endpoints
    }
}

// Guards against a large list that a restart loses or writes again, and against a change of one entry that writes as
// many bytes as the whole list.
#[test]
fn large_list_survives_a_restart_and_small_change_stays_small() {
    let mut world = World::start(config(entries(4)), Vec::new());
    assert!(
        world.send_event(watch_event(2, true, entries(LISTED))) > 100 * LISTED,
        "the list must be written to the journal"
    );
    assert_eq!(world.endpoint_count(), LISTED);
    let draining = EndpointEntry { state: EndpointState::Draining, ..entry(LISTED / 2) };
    for (list_version, changed) in [(3, draining.clone()), (4, entry(LISTED)), (5, entry(0))] {
        let written = world.send_event(watch_event(list_version, false, vec![changed]));
        assert!(written < SMALL_RECORD, "version {list_version}: {written} bytes");
    }
    let eject = console::Command::DisableServer(entry(7).uid);
    assert!(world.input(Input::Operator { request: 1, call: eject }) < SMALL_RECORD);

    let mut world = World::start(config(entries(4)), world.file);
    assert_eq!(world.endpoint_count(), LISTED + 1);
    let list = world.journaled_list();
    assert_eq!((list.version(), list.len()), (5, LISTED + 1));
    assert_eq!(list.get(&draining.uid).map(|entry| entry.state), Some(EndpointState::Draining));
    assert!(world.send_event(watch_event(6, false, vec![entry(1)])) < SMALL_RECORD);
    let size = world.file.len();
    let world = World::start(config(entries(4)), world.file);
    assert!(
        world.file.len() < size + SMALL_RECORD,
        "a list that the file already holds must not be written again"
    );
}

// Guards against a change received by another process of this forwarder that writes as many bytes as the whole list.
#[test]
fn change_received_by_another_process_is_stored_as_a_delta() {
    let mut world = World::start(config(entries(4)), Vec::new());
    world.send_event(watch_event(2, true, entries(LISTED)));
    let draining = EndpointEntry { state: EndpointState::Draining, ..entry(5) };
    let removed = EndpointEntry { state: EndpointState::Removed, ..entry(6) };
    let received = [
        watch_event(2, true, entries(LISTED)),
        watch_event(3, false, vec![draining.clone(), removed.clone(), entry(LISTED), entry(LISTED + 1)]),
    ];
    let records = received.into_iter().map(|update| (Record::EndpointList(update), Bytes::new())).collect();
    let process_updates =
        vec![OtherProcessUpdate { generation: 1, rewritten: true, records, size: 20_000_000, ended: false }];
    let written = world.input(Input::OtherProcessesUpdated { updates: process_updates, removed: Vec::new() });
    assert!(written < 2 * SMALL_RECORD, "{written} bytes");
    let list = world.journaled_list();
    assert_eq!((list.version(), list.len(), world.endpoint_count()), (3, LISTED + 1, LISTED + 1));
    assert_eq!(list.get(&draining.uid).map(|entry| entry.state), Some(EndpointState::Draining));
    assert!(list.get(&removed.uid).is_none() && list.get(&entry(LISTED).uid).is_some());
}

// Guards against a list in the configuration that is read and not stored, and against a reload that loses the changes
// that discovery has sent since.
#[tokio::test(flavor = "current_thread")]
async fn large_list_is_reloaded_with_the_configuration() {
    let folder = Folder::new("reload");
    let source = folder.source(&config_text(entries(LISTED)));
    let mut world = World::start(source.load().await.expect("the configuration is valid"), Vec::new());
    assert_eq!((world.endpoint_count(), world.journaled_list().len()), (LISTED, LISTED));
    world.send_event(watch_event(2, false, vec![entry(LISTED)]));
    let reloaded = source.load().await.expect("the configuration is valid");
    let written = world.input(Input::ConfigReloaded(Box::new(reloaded)));
    assert!(written < SMALL_RECORD, "{written} bytes");
    assert_eq!((world.endpoint_count(), world.journaled_list().version()), (LISTED + 1, 2));
}

// Guards against an invalid list in the configuration that is partly applied, and against an error without its reason,
// or of several lines.
#[tokio::test(flavor = "current_thread")]
async fn invalid_list_in_the_configuration_is_an_error_of_one_line() {
    let good = config_text(entries(LISTED));
    let last = format!("\"uid\":\"{}\"", entry(LISTED - 1).uid);
    let too_large = " ".repeat(64 << 20);
    for (case, text, expected_reason) in [
        ("cut off", good[..good.len() / 2].to_owned(), "EOF"),
        ("malformed in its last entry", good.replace(&last, "\"uid\":7"), "invalid type"),
        ("too many entries", config_text(entries(MAX_ENTRIES + 1)), "more than 200000 entries"),
        ("too many bytes", too_large + &good, "more than 52 MiB"),
    ] {
        let folder = Folder::new("bad-list");
        let error = folder.source(&text).load().await.expect_err(case).to_string();
        assert!(error.contains(expected_reason) && error.lines().count() == 1, "{case}: {error}");
    }
}

// Guards against a list that exceeds its maximum through a series of changes, and against changes that are applied
// after one that was dropped.
#[test]
fn oversized_change_is_rejected_and_logged_once() {
    let mut world = World::start(config(entries(4)), Vec::new());
    world.send_event(watch_event(2, true, entries(MAX_ENTRIES)));
    let (size, lines) = (world.file.len(), world.log.len());
    assert_eq!(world.send_event(watch_event(3, false, vec![entry(MAX_ENTRIES)])), 0);
    assert_eq!(
        world.send_event(watch_event(4, false, vec![entry(MAX_ENTRIES + 1)])),
        0,
        "a change after the dropped one must not be applied"
    );
    assert_eq!((world.endpoint_count(), world.file.len()), (MAX_ENTRIES, size));
    assert_eq!(world.log.len(), lines + 1, "{:?}", &world.log[lines..]);
    assert!(
        world.log[lines].contains("too large, the last list stays in use version=3 max_entries=200000"),
        "{}",
        world.log[lines]
    );

    let first_watch = world.watch;
    world.now += 20 * SECOND;
    let effects = world.reducer.step(world.now, Input::Withdrawn { request: 0 });
    let since = effects.iter().find_map(|effect| match effect {
        Effect::StartWatch { watch, source: WatchSource::Discovery { since, .. } } => Some((*watch, *since)),
        _ => None,
    });
    let (watch, since) = since.expect("a new watch is started");
    assert!(watch > first_watch && since == 2, "watch {watch} from version {since}");
    world.watch = watch;
    let removed = EndpointEntry { state: EndpointState::Removed, ..entry(0) };
    assert!(world.send_event(watch_event(5, false, vec![removed, entry(MAX_ENTRIES)])) > 0);
    assert_eq!(world.endpoint_count(), MAX_ENTRIES);
}

// Guards against a watch that ends in the middle of a large list and changes something, or whose end is not logged in
// one line.
#[test]
fn truncated_watch_is_logged_once_and_changes_nothing() {
    let mut world = World::start(config(entries(4)), Vec::new());
    let (size, lines) = (world.file.len(), world.log.len());
    let end_reason = "it ended in the middle of a list, after 9000000 bytes".to_owned();
    let (watch, delay_ms, silent_for) = (world.watch, 0, 0);
    assert_eq!(
        world.input(Input::WatchEnded {
            watch,
            reason: end_reason,
            retry_after_ms: delay_ms,
            silence: silent_for
        }),
        0
    );
    assert_eq!((world.endpoint_count(), world.file.len()), (4, size));
    assert!(world.log[lines..].iter().eq(["endpoint list: watch ended, the last list stays in use \
         reason=\"it ended in the middle of a list, after 9000000 bytes\""]));
}

/// A folder with a configuration for one test, removed at the end of the test.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("orchidyoke-lists-{name}-{}", std::process::id()));
        fs::create_dir_all(&path).expect("the folder is created");
        Folder(path)
    }

    fn source(&self, text: &str) -> ConfigSource {
        let path = self.0.join("config.json");
        fs::write(&path, text).expect("the file can be written");
        ConfigSource { path, ..ConfigSource::default() }
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        drop(fs::remove_dir_all(&self.0));
    }
}

/// Follows a simulated discovery that writes these chunks with a pause after each, and then closes the connection.
/// Returns the events, how the watch ended, and how long it took.
async fn follow_chunks(chunks: Vec<String>, pause: Duration) -> (Vec<WatchEvent>, WatchEnd, Duration) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    let server = async {
        let (mut stream, _) = listener.accept().await.expect("a watch connects");
        let mut request = Vec::new();
        while !request.ends_with(b"\r\n\r\n") {
            request.push(stream.read_u8().await.expect("the request arrives"));
        }
        stream
            .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            .await
            .expect("the answer can be written");
        for chunk in chunks {
            let chunk = format!("{:x}\r\n{chunk}\r\n", chunk.len());
            if stream.write_all(chunk.as_bytes()).await.is_err() {
                return;
            }
            sleep(pause).await;
        }
        drop(stream.write_all(b"0\r\n\r\n").await);
        until_closed(stream).await;
    };
    let events = Rc::new(RefCell::new(Vec::new()));
    let updates = UpdateSender::new({
        let events = events.clone();
        move |update| events.borrow_mut().push(update)
    });
    let started_at = Instant::now();
    let (ended, ()) = tokio::join!(follow(address, 0, updates), server);
    (events.take(), ended, started_at.elapsed())
}

async fn until_closed(mut stream: TcpStream) {
    while stream.read(&mut [0; 1024]).await.is_ok_and(|count| count > 0) {}
}

fn in_chunks(text: &str, size: usize) -> Vec<String> {
    text.as_bytes().chunks(size).map(|part| String::from_utf8_lossy(part).into_owned()).collect()
}

// Guards against a large list that a watch does not deliver, against an incomplete list that is delivered, and against
// a watch that ends without a reason.
#[tokio::test(flavor = "current_thread")]
async fn watch_delivers_a_large_list_completely_or_not_at_all() {
    let text = serde_json::to_string(&watch_event(7, true, entries(LISTED)))
        .expect("the list can be written as JSON");
    let (events, ended, _) = follow_chunks(in_chunks(&text, 20_000), Duration::ZERO).await;
    assert_eq!(events.iter().map(|update| update.endpoints.len()).collect::<Vec<_>>(), [LISTED], "{ended:?}");
    let last = format!("\"uid\":\"{}\"", entry(LISTED - 1).uid);
    for (case, text, expected_reason) in [
        ("cut off", text[..text.len() / 2].to_owned(), "in the middle of a list"),
        ("malformed in its last entry", text.replace(&last, "\"uid\":7"), "no list"),
    ] {
        let (events, ended, _) = follow_chunks(in_chunks(&text, 200_000), Duration::ZERO).await;
        assert!(events.is_empty() && ended.reason.contains(expected_reason), "{case}: {ended:?}");
        assert_eq!(ended.reason.lines().count(), 1, "{case}: {ended:?}");
    }
}

// Guards against a large list that arrives steadily but is cut off each time before it is complete, so that it never
// arrives.
#[tokio::test(flavor = "current_thread")]
async fn large_list_that_arrives_steadily_is_not_cut_off() {
    let text = serde_json::to_string(&watch_event(7, true, entries(LISTED)))
        .expect("the list can be written as JSON");
    let chunks = in_chunks(&text, text.len() / 25);
    let (events, ended, duration) = follow_chunks(chunks, Duration::from_millis(210)).await;
    assert!(duration > Duration::from_millis(4_800), "after {duration:?}");
    assert_eq!(events.len(), 1, "after {duration:?}: {ended:?}");
}

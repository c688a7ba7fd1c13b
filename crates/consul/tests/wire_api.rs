//! Protects the HTTP requests to Consul and the data that is read from its responses: the requests for the catalogue,
//! for sessions and for keys, and the endpoints of a response.

#[path = "../../forwarder/tests/common/golden.rs"]
mod golden;

use bytes::Bytes;
use golden::{assert_golden, side, whole_length};
use orchidyoke_consul::EndpointSource;
use orchidyoke_consul::client::Client;
use orchidyoke_consul::locks::{KeyEntry, LockClient, SessionBehavior, TransactionOperation};
use orchidyoke_consul::request::ApiRequest;
use orchidyoke_consul::settings::{Consistency, Service, Settings};
use orchidyoke_core::endpoint_list::WatchEvent;
use orchidyoke_forwarder::catalogue::{Catalogue, UpdateSender};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::mpsc::unbounded_channel;
use tokio::task::LocalSet;
use tokio::time::timeout;

const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(20);
const HEALTH: &str = include_str!("fixtures/wire/health.json");

/// Runs `client` against a server that sends these responses in turn. Requests may come on one connection or on several,
/// one after another; the last connection stays open until the client has ended. Returns the requests and the result of
/// `client`.
fn exchange<T>(responses: &[String], client: impl AsyncFnOnce(SocketAddr) -> T) -> (String, T) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("bound");
        let server = async {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let mut requests = Vec::new();
            for response in responses {
                let mut request = Vec::new();
                while whole_length(&request, true).is_none_or(|length| request.len() < length) {
                    if stream.read_buf(&mut request).await.expect("a request") == 0 {
                        assert!(request.is_empty(), "a whole request");
                        stream = listener.accept().await.expect("a connection").0;
                    }
                }
                requests.push(side("> ", &request));
                stream.write_all(response.as_bytes()).await.expect("written");
            }
            (
                requests.join(
                    "
",
                ),
                stream,
            )
        };
        // A client that cannot read a response would retry forever.
        let both = timeout(EXCHANGE_TIMEOUT, async { tokio::join!(server, client(address)) }).await;
        let ((requests, _), result) = both.expect("in time");
        (requests, result)
    })
}

fn answer(status: &str, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
}

fn settings(at: SocketAddr) -> Settings {
    Settings {
        addresses: vec![at],
        datacenter: Some("dc1".to_owned()),
        namespace: Some("edge".to_owned()),
        consistency: Consistency::Stale,
        wait: Duration::from_secs(5),
        services: vec![Service {
            name: "web".to_owned(),
            destination: 3,
            kind: "one".to_owned(),
            zone: "a".to_owned(),
            zone_meta: Some("rack".to_owned()),
            capacity: 20.0,
            filter: Some("Service.Meta.live == \"yes\"".to_owned()),
        }],
        networks: vec!["127.0.0.0/8".parse().expect("a network")],
        ..Settings::default()
    }
}

#[test]
fn catalogue_requests_are_unchanged() {
    let token = std::env::temp_dir().join(format!("wire-token-{}", std::process::id()));
    std::fs::write(&token, "5be2a07c\n").expect("written");
    let headers = "X-Consul-Index: 41\r\nX-Consul-KnownLeader: false\r\nX-Consul-LastContact: 20000\r\nRetry-After: 3\r\n";
    let answers = [answer("200 OK", headers, "[]"), answer("200 OK", "", "[]"), answer("200 OK", "", "[]")];
    let (requests, head) = exchange(&answers, async |at| {
        let settings = Settings { token_file: Some(token.clone()), ..settings(at) };
        let filter = settings.services[0].filter.clone();
        let client = Client::new(Rc::new(settings));
        let mut connection = client.connect().await.expect("connected");
        let wait = Duration::from_secs(5);
        let mut heads = Vec::new();
        for request in [
            ApiRequest::service("web a/b", filter.as_ref(), 0, wait),
            ApiRequest::service("web", None, 41, wait),
            ApiRequest::read("/v1/health/state/any", 42, wait),
        ] {
            heads.push(client.send(&mut connection, &request).await.expect("answered").0);
        }
        heads.swap_remove(0)
    });
    std::fs::remove_file(&token).expect("cleans up");
    assert_golden("catalogue_questions.txt", &requests);
    assert_eq!((head.status, head.index.as_deref(), head.leaderless), (200, Some("41"), true));
    assert_eq!((head.stale_for, head.retry_after), (Some(Duration::from_secs(20)), Some(3)));
}

#[test]
fn session_and_key_requests_are_unchanged() {
    let row = r#"[{"LockIndex":1,"Key":"duties/a b","Flags":0,"Value":"ZjE=","Session":"adf4","CreateIndex":5,"ModifyIndex":7}]"#;
    let ok = |body: &str| answer("200 OK", "X-Consul-Index: 9\r\n", body);
    let answers = [
        ok(r#"{"ID":"adf4"}"#),
        ok(r#"{"ID":"adf5"}"#),
        ok("[]"),
        ok("true"),
        ok("true"),
        ok(row),
        ok(row),
        ok(r#"{"Results":[],"Errors":null}"#),
        ok("true"),
    ];
    let (requests, keys) = exchange(&answers, async |at| {
        let mut locks = LockClient::new(Rc::new(settings(at)));
        let ttl = Duration::from_secs(10);
        let delay = Duration::from_millis(300);
        let session = locks.create_session("n1", ttl, delay, SessionBehavior::Delete).await.expect("created");
        assert_eq!(session, "adf4");
        let other = locks.create_session("n2", ttl, delay, SessionBehavior::Release).await.expect("created");
        assert!(locks.renew_session(&other).await.expect("answered"));
        assert!(locks.acquire("duties/a b", &session, Bytes::from_static(b"f1")).await.expect("answered"));
        assert!(locks.release("duties/a b", &session).await.expect("answered"));
        let (index, keys) = locks.read_keys("duties/", 0, ttl).await.expect("read");
        assert_eq!(index, 9);
        locks.read_keys("duties/", 9, ttl).await.expect("read");
        let operations = [
            TransactionOperation::CheckAndSet {
                key: "k/a".to_owned(),
                modify_index: 7,
                value: Bytes::from_static(b"f1"),
            },
            TransactionOperation::CheckAndDelete { key: "k/b".to_owned(), modify_index: 8 },
            TransactionOperation::CheckHeld {
                key: "k/c".to_owned(),
                modify_index: 9,
                session: session.clone(),
            },
        ];
        assert!(locks.transact(&operations).await.expect("answered"));
        locks.destroy_session(&session).await;
        keys
    });
    assert_golden("lock_questions.txt", &requests);
    let key = "duties/a b".to_owned();
    let entry =
        KeyEntry { key, value: Some("ZjE=".to_owned()), session: Some("adf4".to_owned()), modify_index: 7 };
    assert_eq!(keys, [entry]);
    assert_eq!(keys[0].value_text(), "f1");
}

#[test]
fn endpoints_of_a_response_are_unchanged() {
    let (_, event) = exchange(&[answer("200 OK", "X-Consul-Index: 41\r\n", HEALTH)], async |at| {
        let (sender, mut events) = unbounded_channel();
        let updates = UpdateSender::new(move |event| drop(sender.send(event)));
        let current =
            WatchEvent { version: 0, is_snapshot: true, endpoints: Vec::new(), origin: String::new() };
        let following = EndpointSource::new(settings(at)).follow(current, updates);
        tokio::select! {
            event = events.recv() => event.expect("an event"),
            reason = following => panic!("{reason}"),
        }
    });
    let lines: Vec<_> = event
        .endpoints
        .iter()
        .map(|endpoint| serde_json::to_string(endpoint).expect("JSON") + "\n")
        .collect();
    assert_golden("endpoints.txt", &lines.concat());
}

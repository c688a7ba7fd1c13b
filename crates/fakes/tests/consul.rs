//! Tests of the sessions and keys of the fake Consul over HTTP, and of the faults of writes.

use orchidyoke_fakes::ConsulServer;
use orchidyoke_fakes::consul::ConsulFault;
use serde_json::Value;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Sends a request and returns status, `X-Consul-Index` and body; `None` if the connection is closed without an answer.
fn request(consul: &ConsulServer, method: &str, path: &str, body: &str) -> Option<(u16, u64, Value)> {
    let mut stream = TcpStream::connect(consul.address()).expect("it listens");
    stream.set_read_timeout(Some(Duration::from_secs(20))).expect("a socket");
    let length = body.len();
    write!(
        stream,
        "{method} {path} HTTP/1.1\r\nHost: consul\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{body}"
    )
    .expect("sent");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("an answer or the end");
    let (head, body) = answer.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let index = head
        .lines()
        .find_map(|line| line.strip_prefix("x-consul-index: "))
        .map_or(0, |index| index.parse().unwrap_or(0));
    Some((status, index, serde_json::from_str(body).unwrap_or(Value::Null)))
}

fn session(consul: &ConsulServer, ttl: &str) -> String {
    let body = format!("{{\"TTL\":\"{ttl}\",\"LockDelay\":\"200ms\",\"Behavior\":\"release\"}}");
    let (status, _, created) = request(consul, "PUT", "/v1/session/create", &body).expect("answered");
    assert_eq!(status, 200, "{created}");
    created["ID"].as_str().expect("an id").to_owned()
}

fn acquire(consul: &ConsulServer, session: &str) -> Option<(u16, Value)> {
    request(consul, "PUT", &format!("/v1/kv/duties/1?acquire={session}"), "")
        .map(|(status, _, done)| (status, done))
}

// Guards against a blocking query that misses the end of a session. It must end then, because its client may wait for a
// lock.
#[test]
fn expired_session_ends_a_blocking_query_and_frees_its_lock() {
    let consul = ConsulServer::start();
    consul.set_session_expiry_factor(1.0);
    let (short, long) = (session(&consul, "2s"), session(&consul, "60s"));
    let start = Instant::now();
    assert_eq!(acquire(&consul, &short), Some((200, Value::Bool(true))));
    assert_eq!(acquire(&consul, &long), Some((200, Value::Bool(false))));
    let (_, index, rows) = request(&consul, "GET", "/v1/kv/duties/?recurse", "").expect("answered");
    assert_eq!(rows[0]["Session"], short.as_str());
    let (_, later, rows) =
        request(&consul, "GET", &format!("/v1/kv/duties/?recurse&index={index}&wait=10s"), "")
            .expect("answered");
    let took = start.elapsed();
    assert!(later > index && rows[0]["Session"].is_null(), "{rows}");
    assert!(took >= Duration::from_millis(1950) && took < Duration::from_secs(9), "{took:?}");
    assert_eq!(request(&consul, "PUT", &format!("/v1/session/renew/{short}"), "").map(|a| a.0), Some(404));
    assert_eq!(acquire(&consul, &short).map(|a| a.0), Some(500), "the session is unknown");
    let deadline = Instant::now() + Duration::from_secs(10);
    while acquire(&consul, &long) != Some((200, Value::Bool(true))) {
        assert!(Instant::now() < deadline, "the lock delay ends");
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn write_without_answer_takes_effect_and_slow_write_is_late() {
    let consul = ConsulServer::start();
    let holder = session(&consul, "60s");
    consul.set_fault(ConsulFault::LostWriteAnswers);
    assert_eq!(acquire(&consul, &holder), None);
    let (status, _, rows) = request(&consul, "GET", "/v1/kv/duties/1", "").expect("reads are answered");
    assert_eq!((status, rows[0]["Session"].as_str()), (200, Some(holder.as_str())));
    consul.set_fault(ConsulFault::SlowWrites(Duration::from_millis(300)));
    let start = Instant::now();
    assert_eq!(request(&consul, "DELETE", "/v1/kv/duties/1", "").map(|a| a.0), Some(200));
    assert!(start.elapsed() >= Duration::from_millis(300));
    consul.set_fault(ConsulFault::None);
    assert_eq!(request(&consul, "GET", "/v1/kv/duties/1", "").map(|a| a.0), Some(404));
    assert_eq!(request(&consul, "PUT", &format!("/v1/session/destroy/{holder}"), "").map(|a| a.0), Some(200));
    assert_eq!(acquire(&consul, &holder).map(|a| a.0), Some(500));
}

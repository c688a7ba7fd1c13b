//! Offers to another forwarder whose answers arrive twice.

use bytes::Bytes;
use orchidyoke_forwarder::input::Input;
use orchidyoke_forwarder::ownership::{HandoverMark, OfferOutcome, OutgoingOffer};
use orchidyoke_forwarder::peer_call::{OfferTimes, PeerConnections};
use orchidyoke_journal::{AcceptedMessage, HandoverState};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::unbounded_channel;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep};

const COPY_DELAY: Duration = Duration::from_millis(40);
/// Longer than the copy's delay, so that the copy arrives under the second offer if both use one connection.
const ANSWER_TIME: Duration = Duration::from_millis(150);
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// Answers every offer twice: accepts the messages whose id begins with `a` and rejects the others.
async fn own(mut stream: TcpStream) {
    let mut request = vec![0; 4096];
    loop {
        let Ok(count @ 1..) = stream.read(&mut request).await else { return };
        let text = String::from_utf8_lossy(&request[..count]).to_lowercase();
        let status = if text.contains("x-txn: a") { "202 Accepted" } else { "503 Service Unavailable" };
        let answer = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n");
        sleep(ANSWER_TIME).await;
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
        sleep(COPY_DELAY).await;
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

fn offer(id: &str, owner_address: SocketAddr) -> Box<OutgoingOffer> {
    Box::new(OutgoingOffer {
        id: 1,
        owner_address,
        message: AcceptedMessage {
            id: id.to_owned(),
            class: "orders".to_owned(),
            tenant: String::new(),
            idempotency_key: None,
            destination: 1,
            deadline: 0,
            attempts: 0,
            possible_delivery: None,
            in_flight: None,
            handover: HandoverState::default(),
        },
        body: Bytes::from_static(b"body"),
        mark: HandoverMark {
            from: "f0".to_owned(),
            deadline: 0,
            valid_until: 0,
            attempts: 0,
            possible_delivery: None,
        },
        answer_deadline: 0,
    })
}

// Guards against a copy of an owner's 202 that accepts the next message: this forwarder forgets a message that the owner
// rejected, and it is lost (issue 50).
#[test]
fn copied_answer_does_not_accept_the_next_offer() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(LocalSet::new().run_until(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(own(stream));
            }
        });
        let peers = Rc::new(PeerConnections::default());
        let (inputs, mut reports) = unbounded_channel();
        for round in 0..3 {
            for (id, is_accepted) in [(format!("a{round}"), true), (format!("r{round}"), false)] {
                let deadline = Instant::now() + ANSWER_TIMEOUT;
                let times = OfferTimes { answer_deadline: deadline, message_deadline: deadline };
                peers.clone().offer(offer(&id, address), times, inputs.clone()).await;
                let Some(Input::OfferEnded { outcome, .. }) = reports.recv().await else {
                    panic!("{id}: no outcome")
                };
                assert_eq!(outcome == OfferOutcome::Accepted, is_accepted, "{id}: {outcome:?}");
            }
        }
    }));
}

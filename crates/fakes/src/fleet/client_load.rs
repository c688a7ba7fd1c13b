//! Clients that submit messages to the fleet until they are stopped, and record the messages that the fleet has
//! accepted.

use super::DESTINATION;
use crate::forwarder::submit_message;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// A test of a fleet needs more accepted messages than this.
const MIN_MESSAGES: usize = 200;
/// How long the clients continue in order to exceed [`MIN_MESSAGES`].
const MIN_MESSAGES_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The load that the clients put on each forwarder.
#[derive(Clone, Copy, Debug)]
pub struct ClientLoad {
    /// The class of their messages.
    pub class: &'static str,
    /// Number of clients for each forwarder.
    pub clients: usize,
    /// Time that a client pauses after each answer.
    pub pause: Duration,
}

impl Default for ClientLoad {
    fn default() -> Self {
        ClientLoad { class: "status", clients: 2, pause: Duration::from_millis(4) }
    }
}

/// The state that the client threads share.
#[derive(Debug, Default)]
struct Shared {
    /// Ids of the messages that were answered 202.
    accepted: Mutex<Vec<String>>,
    stop: AtomicBool,
}

/// The clients of a fleet.
#[derive(Debug, Default)]
pub(super) struct Clients {
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

impl Clients {
    /// Starts the clients for these forwarders.
    pub(super) fn start(&mut self, fleet_name: &str, forwarders: &[SocketAddr], load: ClientLoad) {
        for number in 0..forwarders.len() * load.clients {
            let forwarder = forwarders[number / load.clients];
            let shared = self.shared.clone();
            let prefix = format!("{fleet_name}-{number}");
            self.threads.push(thread::spawn(move || submit_until_stopped(forwarder, &prefix, load, &shared)));
        }
    }

    /// Stops the clients when enough messages have been accepted, and returns the ids of the messages. Panics if too
    /// few are accepted within [`MIN_MESSAGES_TIMEOUT`].
    pub(super) fn stop_with_enough_messages(&mut self) -> Vec<String> {
        let deadline = Instant::now() + MIN_MESSAGES_TIMEOUT;
        while self.accepted().len() <= MIN_MESSAGES && Instant::now() < deadline {
            thread::sleep(POLL_INTERVAL);
        }
        self.shared.stop.store(true, Ordering::Relaxed);
        self.threads.drain(..).for_each(|client| client.join().expect("a client"));
        let accepted = self.accepted();
        assert!(accepted.len() > MIN_MESSAGES, "too few accepted messages: {}", accepted.len());
        accepted
    }

    /// Stops the clients.
    pub(super) fn stop(&mut self) {
        self.shared.stop.store(true, Ordering::Relaxed);
        self.threads.drain(..).for_each(|client| drop(client.join()));
    }

    fn accepted(&self) -> Vec<String> {
        self.shared.accepted.lock().expect("a list").clone()
    }
}

fn submit_until_stopped(forwarder: SocketAddr, prefix: &str, load: ClientLoad, shared: &Shared) {
    let mut number = 0;
    while !shared.stop.load(Ordering::Relaxed) {
        let message_id = format!("{prefix}-{number}");
        number += 1;
        if submit_message(forwarder, load.class, &message_id, DESTINATION) == 202 {
            shared.accepted.lock().expect("a list").push(message_id);
        }
        thread::sleep(load.pause);
    }
}

//! The inputs and effects of the reducer: the messages between the reducer and the rest of the process.

use crate::catalogue::{Catalogue, UpdateSender};
use crate::config::Config;
use crate::connection_pool::EndpointConnectionId;
use crate::console;
use crate::endpoint_call::{EndpointCall, EndpointCallError, EndpointReply};
use crate::ownership::{OfferOutcome, OutgoingOffer, Owners, ReceivedMark};
use bytes::Bytes;
use orchidyoke_core::endpoint_list::WatchEvent;
use orchidyoke_core::interface::{DestinationId, MessageId, Micros};
use orchidyoke_journal::{FinalAnswer, Generation, RecordsWithBodies};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::mpsc::UnboundedSender;

/// Identifies one request of a client, or one call of an operator, that waits for its answer.
pub type RequestId = u64;
/// Identifies one append to the journal.
pub type AppendId = u64;
/// Identifies one watch on the endpoint list. Each new watch gets a new id.
pub type WatchId = u64;

/// Name of the header with a message's idempotency key, in requests from clients and to endpoints.
pub const IDEMPOTENCY_KEY: &str = "Idempotency-Key";

/// Whether the fleet's policy is in force in this process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PolicyStatus {
    /// Why the process is not ready because the policy is not in force. The console's `ready` answers this text. `None`
    /// if the policy does not prevent readiness.
    pub unready_reason: Option<String>,
    /// Lines to append to the metrics.
    pub metrics: String,
}

/// The changes to another process's journal file since the last update; see [`Input::OtherProcessesUpdated`].
#[derive(Debug)]
pub struct OtherProcessUpdate {
    /// Generation of its file.
    pub generation: Generation,
    /// Whether the file was compacted. If `true`, `records` start from the beginning of the new file.
    pub rewritten: bool,
    /// The records added since the last update.
    pub records: RecordsWithBodies,
    /// Size of the file, in bytes.
    pub size: usize,
    /// Whether the process has ended, so that this process is to take over its file.
    pub ended: bool,
}

/// Returns the sender for one watch. Its updates arrive as [`Input::WatchEvent`] with the id of the watch, and are
/// ignored once there is a newer watch.
pub fn update_sender(watch: WatchId, inputs: UnboundedSender<Input>) -> UpdateSender {
    UpdateSender::new(move |event| {
        // Sending fails only when the forwarder ends and the receiver is dropped.
        let _ = inputs.send(Input::WatchEvent { watch, event });
    })
}

/// A message as a client submitted it.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Its id.
    pub id: String,
    /// Name of its class.
    pub class: String,
    /// Its tenant; `None` if the request names none.
    pub tenant: Option<String>,
    /// Its idempotency key, exactly as received; `None` if the request has none.
    pub idempotency_key: Option<String>,
    /// Its destination.
    pub destination: DestinationId,
    /// Time left until its deadline, in microseconds.
    pub time_left: Micros,
    /// Whether the client marked it as submitted again.
    pub is_retry: bool,
    /// Its handover mark, which is present if another forwarder hands it over.
    pub handover_mark: ReceivedMark,
    /// Its body.
    pub body: Bytes,
}

/// The answer to a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmitAnswer {
    /// Accepted: its record is in the journal.
    Accepted,
    /// Rejected. The client may safely submit it again after this time, in microseconds.
    Rejected(Micros),
    /// Rejected, because another message has the same id. The client may safely submit it again under another id.
    IdInUse,
    /// Failed: the forwarder makes no further attempt to deliver the message.
    Failed,
    /// The request lacks something that the settings require, or cannot be read. Holds the text of the answer.
    Incomplete(&'static str),
    /// The settings have no class of this name.
    UnknownClass,
    /// No endpoint list has ever named this destination.
    UnknownDestination,
}

/// An event for the reducer to process.
#[derive(Debug)]
pub enum Input {
    /// A message was submitted.
    Submitted {
        /// The request that waits for the answer.
        request: RequestId,
        /// The message.
        message: Submission,
    },
    /// A client closed its connection before its request was answered.
    Withdrawn {
        /// The request that waited.
        request: RequestId,
    },
    /// A client has connected or disconnected.
    ClientConnection {
        /// `true` if it connected, `false` if it disconnected.
        connected: bool,
    },
    /// A connected client has been sent everything that it is owed, and no further request of it is read. Each connection
    /// reports this once, before it disconnects.
    ClientServed,
    /// The listener for clients is closed, and all connections that waited in its queue have been reported.
    ListenerClosed,
    /// No message may be accepted now, because it cannot be found out what other processes on the folder have accepted.
    AdmissionBlocked,
    /// The process now accepts connections of clients.
    AcceptingClients,
    /// The journal files of other processes on the folder have changed. One input holds all changes found at one time.
    OtherProcessesUpdated {
        /// The changed files.
        updates: Vec<OtherProcessUpdate>,
        /// Generations of the files that no longer exist.
        removed: Vec<Generation>,
    },
    /// An operator made a call on the console.
    Operator {
        /// The call that waits for the reply.
        request: RequestId,
        /// The command.
        call: console::Command,
    },
    /// An append to the journal has been carried out or has failed.
    Appended {
        /// The append.
        append: AppendId,
        /// Whether the append is in the file.
        stored: bool,
        /// Size of the file now, in bytes.
        size: usize,
    },
    /// A connection to an endpoint has been established.
    ConnectionUp {
        /// The connection.
        connection: EndpointConnectionId,
    },
    /// A call's last byte has been written.
    CallWritten {
        /// The connection of the call.
        connection: EndpointConnectionId,
    },
    /// The connection got a call after the time by which the call had to be sent, and wrote nothing of it. The
    /// connection can carry another call.
    CallExpired {
        /// The connection of the call.
        connection: EndpointConnectionId,
    },
    /// An endpoint has answered a call.
    CallAnswered {
        /// The connection of the call.
        connection: EndpointConnectionId,
        /// The reply.
        reply: EndpointReply,
        /// Whether the connection can carry another call.
        reusable: bool,
    },
    /// A connection to an endpoint is closed.
    ConnectionClosed {
        /// The connection.
        connection: EndpointConnectionId,
        /// Why it closed, and how much of its call was written if it had one.
        error: EndpointCallError,
    },
    /// A watch on the endpoint list has an event.
    WatchEvent {
        /// The watch.
        watch: WatchId,
        /// The event.
        event: WatchEvent,
    },
    /// A watch on the endpoint list has ended.
    WatchEnded {
        /// The watch.
        watch: WatchId,
        /// The reason, for the log.
        reason: String,
        /// Its Retry-After, in milliseconds; 0 if discovery sent none.
        retry_after_ms: u64,
        /// Time since its last complete event, or since its start if there was none, in microseconds. Discovery may
        /// have had changes during this time.
        silence: Micros,
    },
    /// A post of notifications has ended.
    NotificationsPosted {
        /// Whether the platform answered 204.
        accepted: bool,
    },
    /// The status of the fleet's policy in this process has changed.
    PolicyStatus(PolicyStatus),
    /// Destinations have these owners from now on. `orchidyoke serve` does not send this input, because there the
    /// owners change with the configuration ([`Input::ConfigReloaded`]).
    OwnersChanged(Rc<dyn Owners>),
    /// An offer of a message to its owner has ended.
    OfferEnded {
        /// The message.
        id: MessageId,
        /// The outcome.
        outcome: OfferOutcome,
    },
    /// The configuration was read again and is valid.
    ConfigReloaded(Box<Config>),
    /// The process was asked to shut down.
    Shutdown,
    /// A timer is due; see [`Reducer::wake_at`](crate::reducer::Reducer::wake_at).
    TimerDue,
}

/// What a watch follows, and from which state on.
#[derive(Clone, Debug)]
pub enum WatchSource {
    /// Follows discovery from a version on.
    Discovery {
        /// Address of discovery.
        address: SocketAddr,
        /// Version of the list in force; 0 requests the whole list.
        since: u64,
    },
    /// Follows a catalogue. Its events are changes to the list in force.
    Catalogue {
        /// The catalogue.
        catalogue: Rc<dyn Catalogue>,
        /// The list in force, from any source.
        list: WatchEvent,
    },
}

impl PartialEq for WatchSource {
    fn eq(&self, other: &Self) -> bool {
        match (self, other) {
            (
                WatchSource::Discovery { address, since },
                WatchSource::Discovery { address: other_address, since: other_since },
            ) => (address, since) == (other_address, other_since),
            (
                WatchSource::Catalogue { catalogue, list },
                WatchSource::Catalogue { catalogue: other_catalogue, list: other_list },
            ) => catalogue.id() == other_catalogue.id() && list == other_list,
            _ => false,
        }
    }
}

/// An action that the reducer requests.
#[derive(Debug, PartialEq)]
pub enum Effect {
    /// Answer a request of a client.
    Answer {
        /// The request.
        request: RequestId,
        /// The answer.
        answer: SubmitAnswer,
    },
    /// Reply to a call of an operator.
    Reply {
        /// The call.
        request: RequestId,
        /// The reply.
        reply: console::ConsoleReply,
    },
    /// Append to the journal and report the result.
    Append {
        /// Id for the report.
        append: AppendId,
        /// The bytes to append.
        bytes: Bytes,
    },
    /// Report that this append was not made because the folder has no room for it.
    ReportJournalFull {
        /// Id for the report.
        append: AppendId,
    },
    /// Replace the whole journal with these bytes.
    CompactJournal {
        /// A snapshot of the state that is still needed.
        bytes: Bytes,
    },
    /// Open a connection to an endpoint and report when it is established.
    Connect {
        /// The id of the new connection.
        connection: EndpointConnectionId,
        /// Address of the endpoint.
        address: SocketAddr,
        /// When the attempt fails if the connection is not established.
        until: Micros,
    },
    /// Write a call to an established connection and report the result.
    SendCall {
        /// The connection.
        connection: EndpointConnectionId,
        /// The call.
        call: EndpointCall,
    },
    /// Close a connection, which ends the call on it if there is one.
    CloseConnection {
        /// The connection.
        connection: EndpointConnectionId,
    },
    /// Offer a message to the forwarder that owns its destination and report the outcome.
    Offer(Box<OutgoingOffer>),
    /// Post these notifications and report the result.
    PostNotifications {
        /// Address of discovery, which receives the notifications.
        address: SocketAddr,
        /// The id of each message with its final answer.
        notifications: Vec<(String, FinalAnswer)>,
    },
    /// Start a watch on the endpoint list and end the previous one.
    StartWatch {
        /// Id of the watch.
        watch: WatchId,
        /// What the watch follows.
        source: WatchSource,
    },
    /// Read the configuration again, as at SIGHUP.
    ReloadConfig,
    /// Write a line to the log.
    Log {
        /// The line.
        line: String,
    },
    /// Remove the journal file of a process that has ended, because this process's file now holds its content.
    RemoveJournal {
        /// Generation of the file.
        generation: Generation,
    },
    /// Hand the clients off to the successor: accept no new connections, take over no more files, and end each client connection with its next answer.
    HandOffClients,
    /// Accept no new connections, and close each client connection once its requests are answered.
    StopAccepting,
    /// Read no more from clients. Answer each request that has arrived whole, and refuse those that have arrived in part.
    StopReading,
    /// End the process.
    Exit,
}

//! What happens to the forwarder and what it is to do: the messages between the reducer and its surroundings.

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

/// One request of a client, or one call of an operator, that waits for its answer.
pub type RequestId = u64;
/// One append to the journal.
pub type AppendId = u64;
/// One watch on the list; the next has another number.
pub type WatchId = u64;

/// The header of a message's idempotency key, from clients and to endpoints.
pub const IDEMPOTENCY_KEY: &str = "Idempotency-Key";

/// Whether this process has the policy of its fleet in force.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PolicyStatus {
    /// Why it is not ready for want of that, if so: the console's `ready` answers it in the place of yes.
    pub unready_reason: Option<String>,
    /// Lines for the figures.
    pub metrics: String,
}

/// What is new in another process's file; see [`Input::OtherProcessesUpdated`].
#[derive(Debug)]
pub struct OtherProcessUpdate {
    /// Number of its file.
    pub generation: Generation,
    /// The file was compacted: the records begin anew.
    pub rewritten: bool,
    /// What has come since the last update.
    pub records: RecordsWithBodies,
    /// Bytes in the file.
    pub size: usize,
    /// The process has ended, and its file is this process's to take up.
    pub ended: bool,
}

/// The sender of one watch: its updates come in under the number of the watch, and are ignored once there is another.
pub fn update_sender(watch: WatchId, inputs: UnboundedSender<Input>) -> UpdateSender {
    UpdateSender::new(move |event| {
        // The receiver is gone only when the forwarder ends.
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
    /// Its tenant, where it names one.
    pub tenant: Option<String>,
    /// Its idempotency key, as it came.
    pub idempotency_key: Option<String>,
    /// Its destination.
    pub destination: DestinationId,
    /// How long it may still be delivered, in microseconds.
    pub time_left: Micros,
    /// Marked as submitted again.
    pub is_retry: bool,
    /// Marked as handed over by another forwarder.
    pub handover_mark: ReceivedMark,
    /// Its body.
    pub body: Bytes,
}

/// The answer to a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmitAnswer {
    /// Accepted: its record is in the journal.
    Accepted,
    /// Rejected: submitting it again is harmless, after this time in microseconds.
    Rejected(Micros),
    /// Given up.
    Failed,
    /// It lacks what the settings ask of it; in words.
    Incomplete(&'static str),
    /// There is no such class.
    UnknownClass,
    /// No list ever named this destination.
    UnknownDestination,
}

/// What has happened.
#[derive(Debug)]
pub enum Input {
    /// A message was submitted.
    Submitted {
        /// The request that waits.
        request: RequestId,
        /// The message.
        message: Submission,
    },
    /// A client closed its connection before it had its answer.
    Withdrawn {
        /// The request that waited.
        request: RequestId,
    },
    /// A client has connected, or one is gone.
    ClientConnection {
        /// Connected.
        connected: bool,
    },
    /// Clients that connect are accepted from now on.
    AcceptingClients,
    /// The files of other processes on the folder have shown something: all that there is at one moment.
    OtherProcessesUpdated {
        /// What they have shown.
        updates: Vec<OtherProcessUpdate>,
        /// Numbers of those that are gone.
        gone: Vec<Generation>,
    },
    /// An operator asks for something.
    Operator {
        /// The call that waits.
        request: RequestId,
        /// What for.
        call: console::Command,
    },
    /// The journal was asked to append, and did or could not.
    Appended {
        /// Which append.
        append: AppendId,
        /// It is in the file.
        stored: bool,
        /// Bytes in the file now.
        size: usize,
    },
    /// A connection to an endpoint is up.
    ConnectionUp {
        /// Which.
        connection: EndpointConnectionId,
    },
    /// A call's last byte has been written.
    CallWritten {
        /// On this connection.
        connection: EndpointConnectionId,
    },
    /// An endpoint has answered a call.
    CallAnswered {
        /// On this connection.
        connection: EndpointConnectionId,
        /// What it said.
        reply: EndpointReply,
        /// The connection can carry another call.
        reusable: bool,
    },
    /// A connection to an endpoint is closed.
    ConnectionClosed {
        /// Which.
        connection: EndpointConnectionId,
        /// How far its call had come, if it had one.
        error: EndpointCallError,
    },
    /// A watch on the endpoint list has an event.
    WatchEvent {
        /// Which watch.
        watch: WatchId,
        /// What.
        event: WatchEvent,
    },
    /// The watch has ended.
    WatchEnded {
        /// Which watch.
        watch: WatchId,
        /// Why, for the log.
        reason: String,
        /// Its Retry-After; 0 where discovery sent none.
        retry_after_ms: u64,
        /// Time since its last complete event, or since it started, in microseconds: discovery may have had changes since.
        silence: Micros,
    },
    /// The post of notifications was answered.
    NotificationsPosted {
        /// With 204.
        accepted: bool,
    },
    /// The status towards the policy of the fleet has changed.
    PolicyStatus(PolicyStatus),
    /// Destinations have these owners from now on. `orchidyoke serve` does not send it: there, owners change with the
    /// configuration ([`Input::ConfigReloaded`]).
    OwnersChanged(Rc<dyn Owners>),
    /// An offer of a message to its owner has ended.
    OfferEnded {
        /// The message.
        id: MessageId,
        /// How.
        outcome: OfferOutcome,
    },
    /// The configuration was read again and is good.
    ConfigReloaded(Box<Config>),
    /// The process was told to end.
    Shutdown,
    /// Time has come; see [`Reducer::wake_at`](crate::reducer::Reducer::wake_at).
    TimerDue,
}

/// Who a watch follows, and from what on.
#[derive(Clone, Debug)]
pub enum WatchSource {
    /// Discovery at this address, from a version on.
    Discovery {
        /// Where it answers.
        at: SocketAddr,
        /// The version held; 0 asks for the whole list.
        since: u64,
    },
    /// A catalogue, from the list held on: what it tells are changes to that.
    Catalogue {
        /// Which.
        catalogue: Rc<dyn Catalogue>,
        /// The list in force, wherever it came from.
        held: WatchEvent,
    },
}

impl PartialEq for WatchSource {
    fn eq(&self, other: &Self) -> bool {
        match (self, other) {
            (WatchSource::Discovery { at, since }, WatchSource::Discovery { at: other, since: from }) => {
                (at, since) == (other, from)
            }
            (
                WatchSource::Catalogue { catalogue, held },
                WatchSource::Catalogue { catalogue: other, held: with },
            ) => catalogue.id() == other.id() && held == with,
            _ => false,
        }
    }
}

/// What is to be done.
#[derive(Debug, PartialEq)]
pub enum Effect {
    /// Answer a request of a client.
    Answer {
        /// The request.
        request: RequestId,
        /// The answer.
        answer: SubmitAnswer,
    },
    /// Give an operator the reply.
    Reply {
        /// The call.
        request: RequestId,
        /// The reply.
        reply: console::ConsoleReply,
    },
    /// Append to the journal and report.
    Append {
        /// For the report.
        append: AppendId,
        /// What to append.
        bytes: Bytes,
    },
    /// Report that this append is not made: the folder has no room for it.
    ReportJournalFull {
        /// For the report.
        append: AppendId,
    },
    /// Put this in the place of the whole journal.
    CompactJournal {
        /// What still counts.
        bytes: Bytes,
    },
    /// Open a connection to an endpoint and report.
    Connect {
        /// Its number.
        connection: EndpointConnectionId,
        /// Where to.
        address: SocketAddr,
        /// When it has failed if it is not up.
        until: Micros,
    },
    /// Write a call on a connection that is up, and report.
    SendCall {
        /// The connection.
        connection: EndpointConnectionId,
        /// The call.
        call: EndpointCall,
    },
    /// Close a connection; what it carries is given up.
    CloseConnection {
        /// The connection.
        connection: EndpointConnectionId,
    },
    /// Offer a message to the forwarder that owns its destination and report.
    Offer(Box<OutgoingOffer>),
    /// Post these notifications and report.
    PostNotifications {
        /// Where to.
        to: SocketAddr,
        /// The final answers.
        notifications: Vec<(String, FinalAnswer)>,
    },
    /// Follow the list; a watch before it ends.
    StartWatch {
        /// Number of the watch.
        watch: WatchId,
        /// Who is followed.
        from: WatchSource,
    },
    /// Write a line to the log.
    Log {
        /// The line.
        line: String,
    },
    /// What the file of a process that has ended held is kept in this one's: remove it.
    RemoveJournal {
        /// Its number.
        generation: Generation,
    },
    /// Take no new connections, look at no other process's file, and end each of the clients' connections with its next
    /// answer: they are the successor's.
    HandOverClients,
    /// Take no new connections, and close those of clients when what they have asked is answered.
    StopAccepting,
    /// End the process.
    Exit,
}

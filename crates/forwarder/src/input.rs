//! What happens to the forwarder and what it is to do: the messages between the reducer and its surroundings.

use crate::catalogue::{Catalogue, UpdateSender};
use crate::config::Config;
use crate::console;
use crate::hop_call::{Call, HopError, Reply};
use crate::ownership::{Marked, Offer, OfferEnd, Owners};
use crate::pool::LinkId;
use bytes::Bytes;
use orchidyoke_core::interface::{DestinationId, MessageId, Micros};
use orchidyoke_core::transport_map::News;
use orchidyoke_journal::{Entries, Generation, Verdict};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::mpsc::UnboundedSender;

/// One request of the sender side, or one call of an operator, that waits for its answer.
pub type Ticket = u64;
/// One append to the journal.
pub type Receipt = u64;
/// One watch on the list; the next has another number.
pub type WatchId = u64;

/// The header of a key that has repeats dropped, on both sides.
pub const IDEMPOTENCY_KEY: &str = "Idempotency-Key";

/// Whether this process has the policy of its fleet in force.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PolicyStatus {
    /// Why it is not ready for want of that, if so: the console's `ready` answers it in the place of yes.
    pub unready_reason: Option<String>,
    /// Lines for the figures.
    pub figures: String,
}

/// What another process's file has shown; see [`Input::Siblings`].
#[derive(Debug)]
pub struct Shown {
    /// Number of its file.
    pub generation: Generation,
    /// The file was rewritten: the records begin anew.
    pub anew: bool,
    /// What has come since the last look.
    pub records: Entries,
    /// Bytes in the file.
    pub size: usize,
    /// The process has ended, and its file is this process's to take up.
    pub ended: bool,
}

/// The sender of one watch: its updates come in under the number of the watch, and are ignored once there is another.
pub fn update_sender(watch: WatchId, inputs: UnboundedSender<Input>) -> UpdateSender {
    UpdateSender::new(move |news| {
        // The receiver is gone only when the forwarder ends.
        let _ = inputs.send(Input::News { watch, news });
    })
}

/// A message as a client submitted it.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Its id.
    pub txn: String,
    /// Name of its class.
    pub class: String,
    /// Its tenant, where it names one.
    pub org: Option<String>,
    /// Its idempotency key, as it came.
    pub key: Option<String>,
    /// Its destination.
    pub dest: DestinationId,
    /// How long it may still be delivered.
    pub time_left: Micros,
    /// Marked as submitted again.
    pub repeat: bool,
    /// Marked as handed over by another forwarder.
    pub marked: Marked,
    /// Its body.
    pub body: Bytes,
}

/// The answer to a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmitAnswer {
    /// Taken on.
    TakenOn,
    /// Deferred: handing it in again is harmless, after this time.
    Deferred(Micros),
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
        ticket: Ticket,
        /// The message.
        message: Submission,
    },
    /// A client closed its connection before it had its answer.
    Withdrawn {
        /// The request that waited.
        ticket: Ticket,
    },
    /// A client has connected, or one is gone.
    Sender {
        /// Connected.
        joined: bool,
    },
    /// Clients that connect are accepted from now on.
    AcceptingClients,
    /// The files of other processes on the folder have shown something: all that there is at one moment.
    Siblings {
        /// What they have shown.
        shown: Vec<Shown>,
        /// Numbers of those that are gone.
        gone: Vec<Generation>,
    },
    /// An operator asks for something.
    Operator {
        /// The call that waits.
        ticket: Ticket,
        /// What for.
        call: console::Call,
    },
    /// The journal was asked to append, and did or could not.
    Appended {
        /// Which append.
        receipt: Receipt,
        /// It is in the file.
        stored: bool,
        /// Bytes in the file now.
        size: usize,
    },
    /// A connection to a next hop is up.
    LinkUp {
        /// Which.
        link: LinkId,
    },
    /// A call's last byte has been written.
    Written {
        /// On this connection.
        link: LinkId,
    },
    /// A next hop has answered a call.
    Answered {
        /// On this connection.
        link: LinkId,
        /// What it said.
        reply: Reply,
        /// The connection can carry another call.
        reusable: bool,
    },
    /// A connection to a next hop is closed.
    LinkClosed {
        /// Which.
        link: LinkId,
        /// How far its call had come, if it had one.
        error: HopError,
    },
    /// A watch on the list has told something.
    News {
        /// Which watch.
        watch: WatchId,
        /// What.
        news: News,
    },
    /// The watch has ended.
    MapLost {
        /// Which watch.
        watch: WatchId,
        /// Why, for the log.
        why: String,
        /// How long discovery says to wait before it is asked again; 0 where it says nothing.
        wait_ms: u64,
        /// How long ago it last said something whole, or was asked: since then it may have had more to tell.
        unheard: Micros,
    },
    /// The post of notices was answered.
    Posted {
        /// With 204.
        accepted: bool,
    },
    /// The status towards the policy of the fleet has changed.
    PolicyStatus(PolicyStatus),
    /// Destinations have these owners from now on.
    Owners(Rc<dyn Owners>),
    /// An offer of a message to its owner has ended.
    OfferEnded {
        /// The message.
        id: MessageId,
        /// How.
        end: OfferEnd,
    },
    /// The configuration was read again and is good.
    Reconfigured(Box<Config>),
    /// The process was told to end.
    Terminate,
    /// Time has come; see [`Reducer::wake_at`](crate::reducer::Reducer::wake_at).
    Alarm,
}

/// Who a watch follows, and from what on.
#[derive(Clone, Debug)]
pub enum Following {
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
        /// The list held, whoever told it.
        held: News,
    },
}

impl PartialEq for Following {
    fn eq(&self, other: &Self) -> bool {
        match (self, other) {
            (Following::Discovery { at, since }, Following::Discovery { at: other, since: from }) => {
                (at, since) == (other, from)
            }
            (
                Following::Catalogue { catalogue, held },
                Following::Catalogue { catalogue: other, held: with },
            ) => catalogue.id() == other.id() && held == with,
            _ => false,
        }
    }
}

/// What is to be done.
#[derive(Debug, PartialEq)]
pub enum Effect {
    /// Answer a request of the sender side.
    Answer {
        /// The request.
        ticket: Ticket,
        /// The answer.
        answer: SubmitAnswer,
    },
    /// Give an operator the reply.
    Reply {
        /// The call.
        ticket: Ticket,
        /// The reply.
        reply: console::Reply,
    },
    /// Append to the journal and report.
    Append {
        /// For the report.
        receipt: Receipt,
        /// What to append.
        bytes: Bytes,
    },
    /// Report that this append is not made: the folder has no room for it.
    NoRoom {
        /// For the report.
        receipt: Receipt,
    },
    /// Put this in the place of the whole journal.
    Rewrite {
        /// What still counts.
        bytes: Bytes,
    },
    /// Open a connection to a next hop and report.
    Dial {
        /// Its number.
        link: LinkId,
        /// Where to.
        address: SocketAddr,
        /// When it has failed if it is not up.
        until: Micros,
    },
    /// Write a call on a connection that is up, and report.
    Write {
        /// The connection.
        link: LinkId,
        /// The call.
        call: Call,
    },
    /// Close a connection; what it carries is given up.
    Close {
        /// The connection.
        link: LinkId,
    },
    /// Offer a message to the forwarder that owns its destination and report.
    Offer(Box<Offer>),
    /// Post these notices and report.
    Post {
        /// Where to.
        to: SocketAddr,
        /// The final answers.
        notices: Vec<(String, Verdict)>,
    },
    /// Follow the list; a watch before it ends.
    Follow {
        /// Number of the watch.
        watch: WatchId,
        /// Who is followed.
        from: Following,
    },
    /// Write a line to the log.
    Log {
        /// The line.
        line: String,
    },
    /// What the file of a process that has ended held is kept in this one's: remove it.
    Retire {
        /// Its number.
        generation: Generation,
    },
    /// Take no new connections, look at no other process's file, and end each of the clients' connections with its next
    /// answer: they are the successor's.
    HandOver,
    /// Take no new connections, and close those of clients when what they have asked is answered.
    StopAccepting,
    /// End the process.
    Exit,
}

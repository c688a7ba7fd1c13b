//! Faults of the stand-in.

use std::time::Duration;

/// What is wrong with it.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum ConsulFault {
    /// Nothing.
    #[default]
    None,
    /// It takes connections and requests and says nothing; those that it has stay as silent.
    Unresponsive,
    /// Nobody listens, and what was open is closed.
    Down,
    /// Connections close as a request comes.
    CloseOnRequest,
    /// This status, with a text, and perhaps a time to come back in seconds.
    Status(u16, &'static str, Option<u64>),
    /// There is no leader: answers are of the form, with so much of the list, and say so.
    NoLeader {
        /// The whole list, or an empty one.
        complete: bool,
    },
    /// A server that has not heard from its leader for so long: it knows of no instances, and says how old that is.
    Stale(Duration),
    /// Writes of sessions and keys take effect, and their answers are lost.
    LostWriteAnswers,
    /// Writes of sessions and keys take this long.
    SlowWrites(Duration),
    /// Half an answer, and then the end.
    TruncatedBody,
    /// An answer that goes on for ever.
    EndlessBody,
    /// This is not JSON of the form.
    MalformedBody,
    /// Every answer comes at once, with this for an index; nothing leaves the header out.
    FixedIndex(Option<&'static str>),
}

impl ConsulFault {
    /// Those that say nothing of the list, whatever they answer: it has to stay as it was.
    pub fn without_usable_answer() -> Vec<ConsulFault> {
        vec![
            ConsulFault::Unresponsive,
            ConsulFault::Down,
            ConsulFault::CloseOnRequest,
            ConsulFault::Status(500, "No cluster leader", None),
            ConsulFault::Status(403, "Permission denied", None),
            ConsulFault::Status(404, "Invalid path", None),
            ConsulFault::Status(429, "Your IP is issuing too many concurrent connections", Some(1)),
            ConsulFault::NoLeader { complete: false },
            ConsulFault::NoLeader { complete: true },
            ConsulFault::TruncatedBody,
            ConsulFault::EndlessBody,
            ConsulFault::MalformedBody,
        ]
    }
}

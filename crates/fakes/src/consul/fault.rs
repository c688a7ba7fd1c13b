//! Faults of the stand-in.

use std::time::Duration;

/// What is wrong with it.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// It takes connections and requests and says nothing; those that it has stay as silent.
    Silent,
    /// Nobody listens, and what was open is closed.
    Gone,
    /// Connections close as a request comes.
    Vanishing,
    /// This status, with a text, and perhaps a time to come back in seconds.
    Status(u16, &'static str, Option<u64>),
    /// There is no leader: answers are of the form, with so much of the list, and say so.
    NoLeader {
        /// The whole list, or an empty one.
        whole: bool,
    },
    /// A server that has not heard from its leader for so long: it knows of no instances, and says how old that is.
    Behind(Duration),
    /// Writes of sessions and keys take effect, and their answers are lost.
    LostWrites,
    /// Writes of sessions and keys take this long.
    SlowWrites(Duration),
    /// Half an answer, and then the end.
    CutShort,
    /// An answer that goes on for ever.
    Endless,
    /// This is not JSON of the form.
    Garbage,
    /// Every answer comes at once, with this for an index; nothing leaves the header out.
    Index(Option<&'static str>),
}

impl Fault {
    /// Those that say nothing of the list, whatever they answer: it has to stay as it was.
    pub fn that_tell_nothing() -> Vec<Fault> {
        vec![
            Fault::Silent,
            Fault::Gone,
            Fault::Vanishing,
            Fault::Status(500, "No cluster leader", None),
            Fault::Status(403, "Permission denied", None),
            Fault::Status(404, "Invalid path", None),
            Fault::Status(429, "Your IP is issuing too many concurrent connections", Some(1)),
            Fault::NoLeader { whole: false },
            Fault::NoLeader { whole: true },
            Fault::CutShort,
            Fault::Endless,
            Fault::Garbage,
        ]
    }
}

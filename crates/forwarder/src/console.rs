//! The operators' console as words: the calls that a line may hold, and the replies. No socket is here.
//!
//! A connection carries one line and gets one reply, which starts with `200` or `400`.

use std::fmt;

/// Longest line that is taken, its end not counted: a call and the longest id.
pub const LONGEST_LINE: usize = 512;

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Whether this process takes clients.
    Ready,
    /// The figures.
    ShowStat,
    /// Times to delivery.
    ShowLatency,
    /// Leave this endpoint out.
    DisableServer(String),
    /// Put this endpoint back.
    EnableServer(String),
}

/// Why a line is no call; said to the caller behind `400`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// It is empty.
    Empty,
    /// It is longer than any call.
    TooLong,
    /// It is not text.
    NotText,
    /// Something follows the line.
    MoreThanOneLine,
    /// There is no such call.
    UnknownCall,
    /// The call wants the id of one endpoint and nothing more.
    OneId,
    /// The call stands alone.
    NoWords,
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            CallError::Empty => {
                "empty: ready, show-stat, show-latency, disable-server ID or enable-server ID"
            }
            CallError::TooLong => "the line is too long",
            CallError::NotText => "the line is not text",
            CallError::MoreThanOneLine => "one line a connection",
            CallError::UnknownCall => {
                "unknown: ready, show-stat, show-latency, disable-server ID or enable-server ID"
            }
            CallError::OneId => "this call wants the id of one endpoint",
            CallError::NoWords => "nothing may follow this call",
        })
    }
}

/// Reads what has come on a connection so far. None: its line is not whole yet.
pub fn read(came: &[u8]) -> Option<Result<Call, CallError>> {
    let Some(end) = came.iter().position(|byte| *byte == b'\n') else {
        return (came.len() > LONGEST_LINE).then_some(Err(CallError::TooLong));
    };
    Some(if end > LONGEST_LINE {
        Err(CallError::TooLong)
    } else if end + 1 < came.len() {
        Err(CallError::MoreThanOneLine)
    } else {
        parse(&came[..end])
    })
}

fn parse(line: &[u8]) -> Result<Call, CallError> {
    let line = std::str::from_utf8(line).map_err(|_| CallError::NotText)?;
    let line = line.strip_suffix('\r').unwrap_or(line);
    if line.chars().any(char::is_control) {
        return Err(CallError::NotText);
    }
    let mut words = line.split(' ').filter(|word| !word.is_empty());
    let call = words.next().ok_or(CallError::Empty)?;
    let rest: Vec<&str> = words.collect();
    let alone = |call| if rest.is_empty() { Ok(call) } else { Err(CallError::NoWords) };
    let id = || match rest[..] {
        [id] => Ok(id.to_owned()),
        _ => Err(CallError::OneId),
    };
    match call {
        "ready" => alone(Call::Ready),
        "show-stat" => alone(Call::ShowStat),
        "show-latency" => alone(Call::ShowLatency),
        "disable-server" => id().map(Call::DisableServer),
        "enable-server" => id().map(Call::EnableServer),
        _ => Err(CallError::UnknownCall),
    }
}

/// What an operator is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// Yes, or done.
    Yes(&'static str),
    /// No, and why.
    No(String),
    /// The figures, a line each.
    Figures(String),
}

impl fmt::Display for Reply {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Reply::Yes(words) => writeln!(f, "200 {words}"),
            Reply::No(why) => writeln!(f, "400 {why}"),
            Reply::Figures(lines) => write!(f, "200 figures\n{lines}EOF\n"),
        }
    }
}

impl From<CallError> for Reply {
    fn from(error: CallError) -> Self {
        Reply::No(error.to_string())
    }
}

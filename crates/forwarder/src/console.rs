//! The operators' console as words: the calls that a line may hold, and the replies. No socket is here.
//!
//! A connection carries one line and gets one reply, which starts with `200` or `400`.

use std::fmt;

/// Longest line that is taken, its end not counted: a call and the longest id.
pub const MAX_LINE_BYTES: usize = 512;

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
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
pub enum CommandError {
    /// It is empty.
    Empty,
    /// It is longer than any call.
    LineTooLong,
    /// It is not text.
    NotText,
    /// Something follows the line.
    TrailingData,
    /// There is no such call.
    UnknownCommand,
    /// The call wants the id of one endpoint and nothing more.
    ExpectedOneId,
    /// The call stands alone.
    UnexpectedArgument,
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            CommandError::Empty => {
                "empty: ready, show-stat, show-latency, disable-server ID or enable-server ID"
            }
            CommandError::LineTooLong => "the line is too long",
            CommandError::NotText => "the line is not text",
            CommandError::TrailingData => "one line a connection",
            CommandError::UnknownCommand => {
                "unknown: ready, show-stat, show-latency, disable-server ID or enable-server ID"
            }
            CommandError::ExpectedOneId => "this call wants the id of one endpoint",
            CommandError::UnexpectedArgument => "nothing may follow this call",
        })
    }
}

/// Reads what has come on a connection so far. None: its line is not whole yet.
pub fn parse_input(came: &[u8]) -> Option<Result<Command, CommandError>> {
    let Some(end) = came.iter().position(|byte| *byte == b'\n') else {
        return (came.len() > MAX_LINE_BYTES).then_some(Err(CommandError::LineTooLong));
    };
    Some(if end > MAX_LINE_BYTES {
        Err(CommandError::LineTooLong)
    } else if end + 1 < came.len() {
        Err(CommandError::TrailingData)
    } else {
        parse(&came[..end])
    })
}

fn parse(line: &[u8]) -> Result<Command, CommandError> {
    let line = std::str::from_utf8(line).map_err(|_| CommandError::NotText)?;
    let line = line.strip_suffix('\r').unwrap_or(line);
    if line.chars().any(char::is_control) {
        return Err(CommandError::NotText);
    }
    let mut words = line.split(' ').filter(|word| !word.is_empty());
    let call = words.next().ok_or(CommandError::Empty)?;
    let rest: Vec<&str> = words.collect();
    let alone = |call| if rest.is_empty() { Ok(call) } else { Err(CommandError::UnexpectedArgument) };
    let id = || match rest[..] {
        [id] => Ok(id.to_owned()),
        _ => Err(CommandError::ExpectedOneId),
    };
    match call {
        "ready" => alone(Command::Ready),
        "show-stat" => alone(Command::ShowStat),
        "show-latency" => alone(Command::ShowLatency),
        "disable-server" => id().map(Command::DisableServer),
        "enable-server" => id().map(Command::EnableServer),
        _ => Err(CommandError::UnknownCommand),
    }
}

/// What an operator is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConsoleReply {
    /// Yes, or done.
    Done(&'static str),
    /// No, and why.
    Rejected(String),
    /// The figures, a line each.
    Metrics(String),
}

impl fmt::Display for ConsoleReply {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConsoleReply::Done(words) => writeln!(f, "200 {words}"),
            ConsoleReply::Rejected(why) => writeln!(f, "400 {why}"),
            ConsoleReply::Metrics(lines) => write!(f, "200 figures\n{lines}EOF\n"),
        }
    }
}

impl From<CommandError> for ConsoleReply {
    fn from(error: CommandError) -> Self {
        ConsoleReply::Rejected(error.to_string())
    }
}

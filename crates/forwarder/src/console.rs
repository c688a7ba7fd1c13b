//! The commands and replies of the operators' console, without sockets.
//!
//! A connection carries one line and gets one reply, which starts with `200` or `400`. The words of both are part of the
//! interface: see `docs/operate/on-call.md`.

use std::fmt;

/// Longest line, without its end: a command and the longest id.
pub const MAX_LINE_BYTES: usize = 512;

/// What an operator asks for; the word on the line is in backquotes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// `ready`: whether this process accepts clients.
    Ready,
    /// `show-stat`: the counters and gauges.
    ShowStat,
    /// `show-latency`: histograms of the time to delivery.
    ShowLatency,
    /// `disable-server ID`: eject this endpoint until it is enabled.
    DisableServer(String),
    /// `enable-server ID`: undo `disable-server`.
    EnableServer(String),
}

/// Why a line is no command. The text follows `400` in the reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandError {
    /// It is empty.
    Empty,
    /// It is longer than [`MAX_LINE_BYTES`].
    LineTooLong,
    /// It is not UTF-8, or holds control characters.
    NotText,
    /// Something follows the line.
    TrailingData,
    /// There is no such command.
    UnknownCommand,
    /// The command wants the id of one endpoint and nothing more.
    ExpectedOneId,
    /// The command takes no argument.
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

/// Reads what has come on a connection so far. None while its line is incomplete.
pub fn parse_input(input: &[u8]) -> Option<Result<Command, CommandError>> {
    let Some(line_end) = input.iter().position(|byte| *byte == b'\n') else {
        return (input.len() > MAX_LINE_BYTES).then_some(Err(CommandError::LineTooLong));
    };
    Some(if line_end > MAX_LINE_BYTES {
        Err(CommandError::LineTooLong)
    } else if line_end + 1 < input.len() {
        Err(CommandError::TrailingData)
    } else {
        parse_line(&input[..line_end])
    })
}

fn parse_line(line: &[u8]) -> Result<Command, CommandError> {
    let line = std::str::from_utf8(line).map_err(|_| CommandError::NotText)?;
    let line = line.strip_suffix('\r').unwrap_or(line);
    if line.chars().any(char::is_control) {
        return Err(CommandError::NotText);
    }
    let mut words = line.split(' ').filter(|word| !word.is_empty());
    let name = words.next().ok_or(CommandError::Empty)?;
    let arguments: Vec<&str> = words.collect();
    match name {
        "ready" => without_argument(Command::Ready, &arguments),
        "show-stat" => without_argument(Command::ShowStat, &arguments),
        "show-latency" => without_argument(Command::ShowLatency, &arguments),
        "disable-server" => endpoint_id(&arguments).map(Command::DisableServer),
        "enable-server" => endpoint_id(&arguments).map(Command::EnableServer),
        _ => Err(CommandError::UnknownCommand),
    }
}

fn without_argument(command: Command, arguments: &[&str]) -> Result<Command, CommandError> {
    if arguments.is_empty() { Ok(command) } else { Err(CommandError::UnexpectedArgument) }
}

fn endpoint_id(arguments: &[&str]) -> Result<String, CommandError> {
    match arguments {
        [id] => Ok((*id).to_owned()),
        _ => Err(CommandError::ExpectedOneId),
    }
}

/// The reply to a command; its text form ends with a line end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConsoleReply {
    /// `200`: yes, or done.
    Done(&'static str),
    /// `400`: no, and why, in one line.
    Rejected(String),
    /// `200`: metrics, a line each, each with its line end; `EOF` follows.
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

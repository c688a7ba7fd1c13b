//! The commands and replies of the operators' console, without sockets.
//!
//! A connection carries one line and gets one reply, which starts with `200` or `400`. The texts of commands and
//! replies are part of the interface; `docs/operate/on-call.md` describes them.

use std::fmt;

/// Longest line, in bytes without the line end. A command with the longest id fits in.
pub const MAX_LINE_BYTES: usize = 512;

/// A command of an operator; its text on the line is in backquotes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// `ready`: reports whether this process accepts clients.
    Ready,
    /// `show-stat`: reports the counters and gauges.
    ShowStat,
    /// `show-latency`: reports histograms of the time to delivery.
    ShowLatency,
    /// `disable-server ID`: ejects this endpoint until `enable-server`.
    DisableServer(String),
    /// `enable-server ID`: reverts `disable-server`.
    EnableServer(String),
}

/// The reason why a line is not a command. Its text follows `400` in the reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandError {
    /// The line is empty.
    Empty,
    /// The line is longer than [`MAX_LINE_BYTES`].
    LineTooLong,
    /// The line is not UTF-8, or contains control characters.
    NotText,
    /// More bytes follow the line.
    TrailingData,
    /// No command has this name.
    UnknownCommand,
    /// The command takes exactly one argument, the id of an endpoint.
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

/// Parses the bytes that a connection has received so far. Returns `None` while its line is incomplete.
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

/// The reply to a command. Its text ends with a line end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConsoleReply {
    /// `200`: the answer is yes, or the command is done.
    Done(&'static str),
    /// `400`: the answer is no; the text gives the reason in one line.
    Rejected(String),
    /// `200`: one metric per line, each with its line end; `EOF` follows.
    Metrics(String),
}

impl fmt::Display for ConsoleReply {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConsoleReply::Done(text) => writeln!(f, "200 {text}"),
            ConsoleReply::Rejected(reason) => writeln!(f, "400 {reason}"),
            ConsoleReply::Metrics(lines) => write!(f, "200 figures\n{lines}EOF\n"),
        }
    }
}

impl From<CommandError> for ConsoleReply {
    fn from(error: CommandError) -> Self {
        ConsoleReply::Rejected(error.to_string())
    }
}

//! Tests of [`orchidyoke_forwarder::console`].

use orchidyoke_forwarder::console::*;
use quickcheck::{Gen, QuickCheck};

// Guards against a line that is read only in part, and against a line that is read as a different command.
#[test]
fn line_is_one_command_or_names_its_error() {
    let id = || "s-5be2a07c".to_owned();
    for (line, expected) in [
        (&b"ready\n"[..], Ok(Command::Ready)),
        (b"ready\r\n", Ok(Command::Ready)),
        (b" show-stat \n", Ok(Command::ShowStat)),
        (b"show-latency\n", Ok(Command::ShowLatency)),
        (b"show-latency orders\n", Err(CommandError::UnexpectedArgument)),
        (b"disable-server s-5be2a07c\n", Ok(Command::DisableServer(id()))),
        (b"enable-server  s-5be2a07c\r\n", Ok(Command::EnableServer(id()))),
        (b"\n", Err(CommandError::Empty)),
        (b"  \r\n", Err(CommandError::Empty)),
        (b"READY\n", Err(CommandError::UnknownCommand)),
        (b"ready now\n", Err(CommandError::UnexpectedArgument)),
        (b"disable-server\n", Err(CommandError::ExpectedOneId)),
        (b"disable-server a b\n", Err(CommandError::ExpectedOneId)),
        (b"ready\nready\n", Err(CommandError::TrailingData)),
        (b"disable-server \xff\xfe\n", Err(CommandError::NotText)),
        (b"disable-server a\0b\n", Err(CommandError::NotText)),
        (b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n", Err(CommandError::TrailingData)),
    ] {
        assert_eq!(parse_input(line), Some(expected), "{:?}", String::from_utf8_lossy(line));
    }
    let long = [b'x'; MAX_LINE_BYTES + 1];
    assert_eq!(parse_input(&long[..MAX_LINE_BYTES]), None);
    assert_eq!(parse_input(&long), Some(Err(CommandError::LineTooLong)), "a line without an end is rejected");
}

// Guards against a line that is read differently when it arrives in pieces, and against a panic on arbitrary bytes.
#[test]
fn line_in_pieces_parses_as_the_whole_line() {
    fn parses_as_whole(bytes: Vec<u8>) -> bool {
        let line = [&b"disable-server "[..], &bytes, b"\n"].concat();
        let line_end = line.iter().position(|byte| *byte == b'\n').expect("the line has an end");
        (0..line_end).all(|prefix_length| {
            parse_input(&line[..prefix_length]).is_none_or(|result| result == Err(CommandError::LineTooLong))
        }) && parse_input(&line[..=line_end]).is_some()
    }
    let seeded = Gen::from_size_and_seed(700, 5);
    QuickCheck::new().tests(300).rng(seeded).quickcheck(parses_as_whole as fn(Vec<u8>) -> bool);
}

//! Tests of [`orchidyoke_forwarder::console`].

use orchidyoke_forwarder::console::*;
use quickcheck::{Gen, QuickCheck};

// Guards against a call that is half understood, or that answers what nobody asked.
#[test]
fn a_line_is_one_call_or_says_why_not() {
    let id = || "s-5be2a07c".to_owned();
    for (line, expected) in [
        (&b"ready\n"[..], Ok(Call::Ready)),
        (b"ready\r\n", Ok(Call::Ready)),
        (b" show-stat \n", Ok(Call::ShowStat)),
        (b"show-latency\n", Ok(Call::ShowLatency)),
        (b"show-latency orders\n", Err(CallError::NoWords)),
        (b"disable-server s-5be2a07c\n", Ok(Call::DisableServer(id()))),
        (b"enable-server  s-5be2a07c\r\n", Ok(Call::EnableServer(id()))),
        (b"\n", Err(CallError::Empty)),
        (b"  \r\n", Err(CallError::Empty)),
        (b"READY\n", Err(CallError::UnknownCall)),
        (b"ready now\n", Err(CallError::NoWords)),
        (b"disable-server\n", Err(CallError::OneId)),
        (b"disable-server a b\n", Err(CallError::OneId)),
        (b"ready\nready\n", Err(CallError::MoreThanOneLine)),
        (b"disable-server \xff\xfe\n", Err(CallError::NotText)),
        (b"disable-server a\0b\n", Err(CallError::NotText)),
        (b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n", Err(CallError::MoreThanOneLine)),
    ] {
        assert_eq!(read(line), Some(expected), "{:?}", String::from_utf8_lossy(line));
    }
    let long = [b'x'; LONGEST_LINE + 1];
    assert_eq!(read(&long[..LONGEST_LINE]), None);
    assert_eq!(read(&long), Some(Err(CallError::TooLong)), "an endless line ends here");
}

// Guards against a line that means something else when it comes in pieces, and against a panic on any bytes.
#[test]
fn a_line_in_pieces_is_the_same_line() {
    fn same(bytes: Vec<u8>) -> bool {
        let line = [&b"disable-server "[..], &bytes, b"\n"].concat();
        let first = line.iter().position(|byte| *byte == b'\n').expect("there is one");
        (0..first).all(|cut| read(&line[..cut]).is_none_or(|told| told == Err(CallError::TooLong)))
            && read(&line[..=first]).is_some()
    }
    let chance = Gen::from_size_and_seed(700, 5);
    QuickCheck::new().tests(300).rng(chance).quickcheck(same as fn(Vec<u8>) -> bool);
}

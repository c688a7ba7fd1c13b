//! Golden files: what a program on the other side reads, as the forwarder wrote it when the file was made. They are compared
//! byte for byte, and no test writes one.

#![allow(dead_code)]

use std::path::Path;

/// Compares a text with the golden file of this name in the package's `tests/fixtures/wire`.
#[track_caller]
pub fn assert_golden(name: &str, text: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/wire").join(name);
    let golden = std::fs::read_to_string(&path).unwrap_or_default();
    if golden != text {
        let seen = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::write(&seen, text).expect("written");
        let line = golden.lines().zip(text.lines()).position(|(before, now)| before != now);
        let line = line.unwrap_or_else(|| golden.lines().count().min(text.lines().count()));
        panic!(
            "{} differs from line {} on: {:?} was {:?}; all of it is in {}",
            path.display(),
            line + 1,
            text.lines().nth(line).unwrap_or_default(),
            golden.lines().nth(line).unwrap_or_default(),
            seen.display()
        );
    }
}

/// Bytes of one side of a conversation as lines behind a mark, with what differs from run to run left out: the port
/// numbers of loopback and the date.
pub fn side(mark: &str, bytes: &[u8]) -> String {
    let text = String::from_utf8_lossy(bytes).replace("\r\n", "\n");
    let mut lines = String::new();
    for line in text.lines() {
        let line = match line.split_once(": ") {
            Some((name, _)) if name.eq_ignore_ascii_case("date") => format!("{name}: DATE"),
            Some((name, at)) if at.starts_with("127.0.0.1:") => format!("{name}: 127.0.0.1:PORT"),
            _ => line.to_owned(),
        };
        lines += &format!("{mark}{line}\n");
    }
    lines
}

/// How many bytes a request or an answer has, once its head is whole: the head, and a body by its `Content-Length`.
pub fn whole_length(bytes: &[u8], has_body: bool) -> Option<usize> {
    let head = bytes.windows(4).position(|four| four == b"\r\n\r\n")? + 4;
    let text = String::from_utf8_lossy(&bytes[..head]).to_ascii_lowercase();
    let length = text.lines().find_map(|line| line.strip_prefix("content-length: "));
    let body = length.and_then(|length| length.parse().ok()).unwrap_or(0);
    Some(if has_body { head + body } else { head })
}

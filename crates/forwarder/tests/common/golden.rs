//! Golden files: texts that another program reads, as the forwarder wrote them when the file was made. The comparison
//! is byte for byte, and no test writes a golden file.

#![allow(dead_code)]

use std::path::Path;

/// Compares a text with the golden file of this name in the package's `tests/fixtures/wire`.
#[track_caller]
pub fn assert_golden(name: &str, text: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/wire").join(name);
    let golden = std::fs::read_to_string(&path).unwrap_or_default();
    if golden != text {
        let actual_path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::write(&actual_path, text).expect("the write succeeds");
        let line = golden.lines().zip(text.lines()).position(|(before, now)| before != now);
        let line = line.unwrap_or_else(|| golden.lines().count().min(text.lines().count()));
        panic!(
            "{} differs from line {} on: actual {:?}, expected {:?}; the whole actual text is in {}",
            path.display(),
            line + 1,
            text.lines().nth(line).unwrap_or_default(),
            golden.lines().nth(line).unwrap_or_default(),
            actual_path.display()
        );
    }
}

/// Renders the bytes of one side of a conversation as lines that start with `mark`. Replaces what differs between
/// runs: the port numbers of loopback addresses and the date.
pub fn side(mark: &str, bytes: &[u8]) -> String {
    let text = String::from_utf8_lossy(bytes).replace("\r\n", "\n");
    let mut lines = String::new();
    for line in text.lines() {
        let line = match line.split_once(": ") {
            Some((name, _)) if name.eq_ignore_ascii_case("date") => format!("{name}: DATE"),
            Some((name, value)) if value.starts_with("127.0.0.1:") => format!("{name}: 127.0.0.1:PORT"),
            _ => line.to_owned(),
        };
        lines += &format!("{mark}{line}\n");
    }
    lines
}

/// Returns the length of a request or an answer in bytes: its head and, with `has_body`, the body by its
/// `Content-Length`. Returns `None` while the head is incomplete.
pub fn whole_length(bytes: &[u8], has_body: bool) -> Option<usize> {
    let head = bytes.windows(4).position(|window| window == b"\r\n\r\n")? + 4;
    let text = String::from_utf8_lossy(&bytes[..head]).to_ascii_lowercase();
    let length = text.lines().find_map(|line| line.strip_prefix("content-length: "));
    let body = length.and_then(|length| length.parse().ok()).unwrap_or(0);
    Some(if has_body { head + body } else { head })
}

//! Reading endpoint lists of 100,000 entries from frames: which lists are passed on, which are not, and the work
//! needed.

use orchidyoke_core::endpoint_list::{EndpointState, ListError, MAX_ENTRIES, MAX_LIST_BYTES, WatchEvent};
use orchidyoke_forwarder::list_reader::ListReader;
use std::fmt::Write;

const ENTRIES: usize = 100_000;
/// Size of a frame as a socket delivers it.
const FRAME_BYTES: usize = 64 << 10;

fn entry(number: usize) -> String {
    format!(
        "{{\"uid\":\"s-{number:08x}\",\"endpoint\":\"127.0.0.1:8000\",\"az\":\"a\",\"model\":\"one\",\
         \"pod_group\":{number},\"state\":\"in_service\",\"capacity_hint\":20.0,\"boot_ms\":0}}"
    )
}

/// Returns a list with this number of entries and with `end` in place of its closing brackets.
fn list_with_end(entries: usize, end: &str) -> String {
    let mut text = "{\"rev\":1,\"all\":true,\"targets\":[".to_owned();
    for number in 0..entries {
        let comma = if number == 0 { "" } else { "," };
        write!(text, "{comma}{}", entry(number)).expect("writing to a string succeeds");
    }
    text + end
}

fn list(entries: usize) -> String {
    list_with_end(entries, "]}\n")
}

/// Reads a text in frames of this size. Returns the lists that were passed on, and the error that ended the reading.
fn read(reader: &mut ListReader, text: &[u8], frame_bytes: usize) -> (Vec<WatchEvent>, Option<ListError>) {
    let mut lists = Vec::new();
    for part in text.chunks(frame_bytes) {
        if let Err(error) = reader.read_frame(part, |event| lists.push(event)) {
            return (lists, Some(error));
        }
    }
    (lists, None)
}

// Guards against parsing a list again from its beginning with each frame, and against reading a large list differently.
#[test]
fn list_of_100_000_entries_is_parsed_once_however_it_is_chunked() {
    let text = list(ENTRIES);
    for frame_bytes in [1_000, FRAME_BYTES, text.len()] {
        let mut reader = ListReader::default();
        let (lists, error) = read(&mut reader, text.as_bytes(), frame_bytes);
        assert!(error.is_none(), "frames of {frame_bytes}: {error:?}");
        assert_eq!((lists.len(), lists[0].endpoints.len()), (1, ENTRIES), "frames of {frame_bytes}");
        assert_eq!(lists[0].endpoints[ENTRIES - 1].uid, format!("s-{:08x}", ENTRIES - 1));
        assert!(reader.parsed_bytes() <= text.len(), "{} of {}", reader.parsed_bytes(), text.len());
        assert_eq!(reader.unfinished_bytes(), 0);
    }
}

// Guards against reading brackets, quotes and backslashes in names as those of the list, and against blank lines that
// are not distinguished from a part of a list.
#[test]
fn names_may_contain_list_delimiters_and_blank_lines_are_reported() {
    let first = list(2).replace("s-00000001", r#"}]\"{\\"#);
    let text = format!("\r\n \n{first}\n\n{}\n", list(1));
    for frame_bytes in [1, 2, 3, 50, text.len()] {
        let (lists, error) = read(&mut ListReader::default(), text.as_bytes(), frame_bytes);
        assert!(error.is_none(), "{error:?}");
        assert_eq!(lists.iter().map(|event| event.endpoints.len()).collect::<Vec<_>>(), [2, 1]);
        assert_eq!(lists[0].endpoints[1].uid, r#"}]"{\"#);
    }
    let mut reader = ListReader::default();
    let mut is_complete = |bytes: &[u8]| reader.read_frame(bytes, |_| {}).expect("the frame is valid");
    assert!(is_complete(b"\n"), "a blank line counts as complete");
    assert!(!is_complete(b"{"), "the beginning of a list does not count as complete");
    assert!(!is_complete(b" \n "), "blanks within a list do not count as complete");
}

// Guards against passing on part of a list that is cut off, malformed in its last entry, or beyond the limits. Also
// guards against buffering more of a list than the limit allows.
#[test]
fn malformed_list_yields_no_event() {
    let cut_off = list_with_end(ENTRIES, "");
    let mut reader = ListReader::default();
    let (lists, error) = read(&mut reader, cut_off.as_bytes(), FRAME_BYTES);
    assert!(lists.is_empty() && error.is_none(), "{error:?}");
    assert_eq!(reader.unfinished_bytes(), cut_off.len());

    let malformed = list_with_end(ENTRIES, ",{\"uid\":\"s-x\"}]}\n");
    let too_many = list(MAX_ENTRIES + 1);
    let too_large =
        format!("{{\"rev\":1,\"all\":true,\"targets\":[],\"origin\":\"{}\"}}", "x".repeat(MAX_LIST_BYTES));
    for (case, text) in [("malformed", malformed), ("too many", too_many), ("too large", too_large)] {
        let mut reader = ListReader::default();
        let (lists, error) = read(&mut reader, text.as_bytes(), FRAME_BYTES);
        let error = error.unwrap_or_else(|| panic!("{case} is an error"));
        let expected = match case {
            "malformed" => matches!(error, ListError::Malformed(_)),
            "too many" => matches!(error, ListError::TooManyEntries),
            _ => matches!(error, ListError::TooLarge),
        };
        assert!(expected, "{case}: {error:?}");
        assert!(lists.is_empty(), "{case}");
        assert_eq!(error.to_string().lines().count(), 1, "{case}: one line");
        assert!(reader.unfinished_bytes() <= MAX_LIST_BYTES, "{case}");
    }
}

// Guards against checking a limit only at the end of a list, so that a list without an end would fill the memory.
#[test]
fn list_beyond_the_limits_fails_before_its_end() {
    let too_many = list_with_end(MAX_ENTRIES + 1, "");
    let too_large = format!("{{\"origin\":\"{}", "x".repeat(MAX_LIST_BYTES));
    let (_, error) = read(&mut ListReader::default(), too_many.as_bytes(), FRAME_BYTES);
    assert!(matches!(error, Some(ListError::TooManyEntries)), "{error:?}");
    let (_, error) = read(&mut ListReader::default(), too_large.as_bytes(), FRAME_BYTES);
    assert!(matches!(error, Some(ListError::TooLarge)), "{error:?}");
}

// Guards against a limit that rejects a list of the largest allowed size, which is twice the size that the forwarder is
// designed for.
#[test]
fn largest_allowed_list_is_read() {
    let text = list(MAX_ENTRIES);
    assert!(text.len() <= MAX_LIST_BYTES, "{} bytes", text.len());
    let (lists, error) = read(&mut ListReader::default(), text.as_bytes(), FRAME_BYTES);
    assert!(error.is_none(), "{error:?}");
    assert_eq!(lists[0].endpoints.len(), MAX_ENTRIES);
    assert!(lists[0].endpoints.iter().all(|endpoint| endpoint.state == EndpointState::Active));
}

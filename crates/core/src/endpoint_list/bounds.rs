//! Bounds of an endpoint list, and parsing within them, so that a list from outside cannot exhaust the memory.

use super::{EndpointEntry, WatchEvent};
use serde::Deserialize;
use serde::de::{Deserializer, Error, SeqAccess, Visitor};
use std::fmt;

/// Maximum number of entries in a list: twice the 100,000 for which the forwarder is designed.
pub const MAX_ENTRIES: usize = 200_000;
/// Maximum size of a list in bytes: 251 bytes for each entry, where an ordinary entry takes about 170.
pub const MAX_LIST_BYTES: usize = 48 << 20;

/// The reason why a text is not accepted as a list.
#[derive(Debug)]
pub enum ListError {
    /// The text is longer than [`MAX_LIST_BYTES`].
    TooLarge,
    /// The list has more entries than [`MAX_ENTRIES`].
    TooManyEntries,
    /// The text is not a complete list.
    Malformed(serde_json::Error),
}

impl fmt::Display for ListError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ListError::TooLarge => write!(f, "a list of more than {} MiB", MAX_LIST_BYTES >> 20),
            ListError::TooManyEntries => write!(f, "a list of more than {MAX_ENTRIES} entries"),
            ListError::Malformed(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for ListError {}

/// Parses one list. A text that is too large is not parsed, and parsing stops at the first entry that exceeds
/// [`MAX_ENTRIES`].
///
/// # Errors
///
/// Returns an error if the text is not a list or exceeds the bounds.
pub fn parse_list(text: &[u8]) -> Result<WatchEvent, ListError> {
    if text.len() > MAX_LIST_BYTES {
        return Err(ListError::TooLarge);
    }
    let mut deserializer = serde_json::Deserializer::from_slice(text);
    let event = bounded_watch_event(&mut deserializer).map_err(ListError::Malformed)?;
    deserializer.end().map_err(ListError::Malformed)?;
    Ok(event)
}

/// Parses a list that is part of another text; for `deserialize_with`.
///
/// # Errors
///
/// Returns an error if the value is not a list or has more entries than [`MAX_ENTRIES`].
pub fn bounded_watch_event<'de, D: Deserializer<'de>>(deserializer: D) -> Result<WatchEvent, D::Error> {
    /// The fields of [`WatchEvent`]; the entries are counted while they are read.
    #[derive(Deserialize)]
    struct Bounded {
        rev: u64,
        all: bool,
        #[serde(deserialize_with = "bounded_entries")]
        targets: Vec<EndpointEntry>,
        #[serde(default)]
        origin: String,
    }
    let Bounded { rev, all, targets, origin } = Bounded::deserialize(deserializer)?;
    Ok(WatchEvent { version: rev, is_snapshot: all, endpoints: targets, origin })
}

fn bounded_entries<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<EndpointEntry>, D::Error> {
    struct EntriesVisitor;

    impl<'de> Visitor<'de> for EntriesVisitor {
        type Value = Vec<EndpointEntry>;

        fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
            f.write_str("a list of targets")
        }

        fn visit_seq<A: SeqAccess<'de>>(self, mut sequence: A) -> Result<Vec<EndpointEntry>, A::Error> {
            let mut entries = Vec::new();
            while let Some(entry) = sequence.next_element()? {
                if entries.len() == MAX_ENTRIES {
                    return Err(A::Error::custom(ListError::TooManyEntries));
                }
                entries.push(entry);
            }
            Ok(entries)
        }
    }

    deserializer.deserialize_seq(EntriesVisitor)
}

//! How large a list may be, and reading one within these bounds.

use super::{EndpointEntry, WatchEvent};
use serde::Deserialize;
use serde::de::{Deserializer, Error, SeqAccess, Visitor};
use std::fmt;

/// Entries of a list at most: twice the 100,000 for which the forwarder is built.
pub const MAX_ENTRIES: usize = 200_000;
/// Bytes of a list at most: 251 for each entry, where an ordinary one takes about 170.
pub const MAX_LIST_BYTES: usize = 48 << 20;

/// Why a text is not taken as a list, in one line.
#[derive(Debug)]
pub enum ListError {
    /// It is longer than [`MAX_LIST_BYTES`].
    TooLarge,
    /// It has more entries than [`MAX_ENTRIES`].
    TooManyEntries,
    /// It is no list, or not a whole one.
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

/// Reads one list. A text that is too large is not parsed, and parsing ends with the first entry that is too many.
///
/// # Errors
///
/// The text is no list, or one beyond the bounds.
pub fn parse_list(text: &[u8]) -> Result<WatchEvent, ListError> {
    if text.len() > MAX_LIST_BYTES {
        return Err(ListError::TooLarge);
    }
    let mut deserializer = serde_json::Deserializer::from_slice(text);
    let news = bounded_watch_event(&mut deserializer).map_err(ListError::Malformed)?;
    deserializer.end().map_err(ListError::Malformed)?;
    Ok(news)
}

/// Reads a list as a part of another text; to be named in `deserialize_with`.
///
/// # Errors
///
/// It is no list, or has more entries than [`MAX_ENTRIES`].
pub fn bounded_watch_event<'de, D: Deserializer<'de>>(deserializer: D) -> Result<WatchEvent, D::Error> {
    /// The form of [`WatchEvent`], its entries counted as they are read.
    #[derive(Deserialize)]
    struct Bounded {
        rev: u64,
        all: bool,
        #[serde(deserialize_with = "bounded_targets")]
        targets: Vec<EndpointEntry>,
        #[serde(default)]
        origin: String,
    }
    let Bounded { rev, all, targets, origin } = Bounded::deserialize(deserializer)?;
    Ok(WatchEvent { version: rev, is_snapshot: all, endpoints: targets, origin })
}

fn bounded_targets<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<EndpointEntry>, D::Error> {
    struct Targets;

    impl<'de> Visitor<'de> for Targets {
        type Value = Vec<EndpointEntry>;

        fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
            f.write_str("a list of targets")
        }

        fn visit_seq<A: SeqAccess<'de>>(self, mut entries: A) -> Result<Vec<EndpointEntry>, A::Error> {
            let mut targets = Vec::new();
            while let Some(target) = entries.next_element()? {
                if targets.len() == MAX_ENTRIES {
                    return Err(A::Error::custom(ListError::TooManyEntries));
                }
                targets.push(target);
            }
            Ok(targets)
        }
    }

    deserializer.deserialize_seq(Targets)
}

//! How large a list may be, and reading one within these bounds.

use super::{News, Target};
use serde::Deserialize;
use serde::de::{Deserializer, Error, SeqAccess, Visitor};
use std::fmt;

/// Entries of a list at most: twice the 100,000 for which the forwarder is built.
pub const MOST_ENTRIES: usize = 200_000;
/// Bytes of a list at most: 251 for each entry, where an ordinary one takes about 170.
pub const LARGEST_LIST: usize = 48 << 20;

/// Why a text is not taken as a list, in one line.
#[derive(Debug)]
pub enum ListError {
    /// It is longer than [`LARGEST_LIST`].
    TooLarge,
    /// It has more entries than [`MOST_ENTRIES`].
    TooManyEntries,
    /// It is no list, or not a whole one.
    Malformed(serde_json::Error),
}

impl fmt::Display for ListError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ListError::TooLarge => write!(f, "a list of more than {} MiB", LARGEST_LIST >> 20),
            ListError::TooManyEntries => write!(f, "a list of more than {MOST_ENTRIES} entries"),
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
pub fn read_list(text: &[u8]) -> Result<News, ListError> {
    if text.len() > LARGEST_LIST {
        return Err(ListError::TooLarge);
    }
    let mut deserializer = serde_json::Deserializer::from_slice(text);
    let news = bounded_news(&mut deserializer).map_err(ListError::Malformed)?;
    deserializer.end().map_err(ListError::Malformed)?;
    Ok(news)
}

/// Reads a list as a part of another text; to be named in `deserialize_with`.
///
/// # Errors
///
/// It is no list, or has more entries than [`MOST_ENTRIES`].
pub fn bounded_news<'de, D: Deserializer<'de>>(deserializer: D) -> Result<News, D::Error> {
    /// The form of [`News`], its entries counted as they are read.
    #[derive(Deserialize)]
    struct Bounded {
        rev: u64,
        all: bool,
        #[serde(deserialize_with = "bounded_targets")]
        targets: Vec<Target>,
        #[serde(default)]
        origin: String,
    }
    let Bounded { rev, all, targets, origin } = Bounded::deserialize(deserializer)?;
    Ok(News { rev, all, targets, origin })
}

fn bounded_targets<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<Target>, D::Error> {
    struct Targets;

    impl<'de> Visitor<'de> for Targets {
        type Value = Vec<Target>;

        fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
            f.write_str("a list of targets")
        }

        fn visit_seq<A: SeqAccess<'de>>(self, mut entries: A) -> Result<Vec<Target>, A::Error> {
            let mut targets = Vec::new();
            while let Some(target) = entries.next_element()? {
                if targets.len() == MOST_ENTRIES {
                    return Err(A::Error::custom(ListError::TooManyEntries));
                }
                targets.push(target);
            }
            Ok(targets)
        }
    }

    deserializer.deserialize_seq(Targets)
}

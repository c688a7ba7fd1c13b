//! Defines the forms that hold the arguments of a script's functions, and checks each form by itself.
//!
//! A form holds its fields as the script writes them. It is converted into settings if all of its fields can be used.
//! Errors are texts of the form `FIELD: REASON` for the author of the script; [`builtins`](crate::builtins) puts the
//! name of the function in front of the text, and the evaluator puts the location in front of that.

mod consul;
mod fields;
mod policy;
mod tls;

pub(crate) use consul::{ConsulForm, ServiceForm};
pub(crate) use policy::PolicyForm;
pub(crate) use tls::TlsForm;

use serde::{Deserialize, Serialize};
use std::path::Path;

/// A form that holds the arguments of one of the script's functions.
pub(crate) trait Form: for<'de> Deserialize<'de> + Serialize {
    /// Names of its fields. One of them is suggested if the script misspells a name.
    const FIELDS: &'static [&'static str];

    /// Checks that each field can be used, and resolves relative paths against the script's folder.
    fn check(&mut self, folder: &Path) -> Result<(), String>;
}

/// Returns the message for an unknown name. The message suggests the nearest known name, or lists all known names if
/// none of them is close.
pub(crate) fn unknown<'a>(what: &str, name: &str, known: impl Iterator<Item = &'a str>) -> String {
    let known: Vec<&str> = known.collect();
    let by_distance = known.iter().map(|other| (strsim::damerau_levenshtein(name, other), *other));
    // A misspelt name may have one edit, and one more for every four bytes.
    let max_distance = 1 + name.len() / 4;
    match by_distance.min().filter(|(distance, _)| *distance <= max_distance) {
        Some((_, nearest)) => format!("there is no {what} {name:?}: is {nearest:?} meant?"),
        None => format!("there is no {what} {name:?}; known are {}", known.join(", ")),
    }
}

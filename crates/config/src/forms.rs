//! The forms that the functions of a script fill in, and what is checked of each form by itself.
//!
//! A form has the fields of the script, as the script writes them; it becomes settings once all of them can be used. Errors
//! are text for whoever writes the script, as `FIELD: REASON`; [`builtins`](crate::builtins) puts the function before it and
//! the evaluator the location.

mod consul;
mod fields;
mod policy;
mod tls;

pub(crate) use consul::{ConsulForm, ServiceForm};
pub(crate) use policy::PolicyForm;
pub(crate) use tls::TlsForm;

use serde::{Deserialize, Serialize};
use std::path::Path;

/// A form that a function of the script fills in.
pub(crate) trait Form: for<'de> Deserialize<'de> + Serialize {
    /// Its fields, to suggest one where a name is misspelt.
    const FIELDS: &'static [&'static str];

    /// Checks that each field can be used, and makes relative paths start from the script's folder.
    fn check(&mut self, folder: &Path) -> Result<(), String>;
}

/// Says that a name is unknown, and suggests the nearest known one if there is one.
pub(crate) fn unknown<'a>(what: &str, name: &str, known: impl Iterator<Item = &'a str>) -> String {
    let known: Vec<&str> = known.collect();
    let by_distance = known.iter().map(|other| (strsim::damerau_levenshtein(name, other), *other));
    // One edit for every four letters, and one more.
    let max_distance = 1 + name.len() / 4;
    match by_distance.min().filter(|(distance, _)| *distance <= max_distance) {
        Some((_, nearest)) => format!("there is no {what} {name:?}: is {nearest:?} meant?"),
        None => format!("there is no {what} {name:?}; known are {}", known.join(", ")),
    }
}

//! Reads, parses and evaluates settings scripts within limits on steps, memory and call depth.
//!
//! This code runs in a separate process ([`subprocess`](crate::subprocess)); tests call it directly. The functions of a
//! script store checked forms. When the script has ended, the forms are converted into an [`Installation`].

use crate::Installation;
use crate::builtins::{CONSUL, FOLDER_KEY, OWNERSHIP, POLICY, Requests, builtins};
use crate::forms::{ConsulForm, PolicyForm};
use crate::ownership::OwnershipForm;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use starlark::codemap::FileSpan;
use starlark::environment::{GlobalsBuilder, LibraryExtension, Module};
use starlark::eval::Evaluator;
use starlark::syntax::{AstModule, Dialect};
use std::collections::BTreeMap;
use std::fmt;
use std::path::{Path, PathBuf};

/// Largest size of a script.
const SCRIPT_MAX_BYTES: u64 = 1 << 20;

/// Limits on the evaluation of one script.
#[derive(Clone, Copy, Debug)]
pub struct EvaluationLimits {
    /// Limit on the evaluator's steps, which are calls and iterations of loops.
    pub max_ticks: u64,
    /// Limit on the memory for values, in bytes.
    pub max_heap_bytes: usize,
    /// Limit on nested calls.
    pub max_call_depth: usize,
}

impl Default for EvaluationLimits {
    fn default() -> Self {
        EvaluationLimits { max_ticks: 2_000_000, max_heap_bytes: 64 << 20, max_call_depth: 100 }
    }
}

/// A location in a script. It is serialized as a pair of line and column.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(usize, usize)", into = "(usize, usize)")]
pub struct Location {
    /// Line, counted from 1.
    pub line: usize,
    /// Column, counted from 1.
    pub column: usize,
}

impl From<(usize, usize)> for Location {
    fn from((line, column): (usize, usize)) -> Self {
        Location { line, column }
    }
}

impl From<Location> for (usize, usize) {
    fn from(location: Location) -> Self {
        (location.line, location.column)
    }
}

impl From<FileSpan> for Location {
    fn from(span: FileSpan) -> Self {
        let begin = span.resolve_span().begin;
        Location { line: begin.line + 1, column: begin.column + 1 }
    }
}

/// The reason why a script cannot be used, in one line. The evaluating process, which may be of another version, sends
/// it to the forwarder as JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScriptError {
    /// Path of the script.
    pub file: PathBuf,
    /// Location of the error; `None` if the error concerns the whole file.
    #[serde(rename = "place")]
    pub location: Option<Location>,
    /// The error, and what to write instead.
    #[serde(rename = "why")]
    pub reason: String,
}

impl ScriptError {
    /// Returns an error that concerns the whole file.
    pub(crate) fn of_file(file: &Path, reason: impl fmt::Display) -> ScriptError {
        ScriptError { file: file.to_owned(), location: None, reason: reason.to_string() }
    }

    fn from_starlark(file: &Path, error: &starlark::Error) -> ScriptError {
        let text = error.without_diagnostic().to_string();
        let lines: Vec<&str> = text.lines().map(str::trim).filter(|line| !line.is_empty()).collect();
        let location = error.span().cloned().map(Location::from);
        ScriptError { file: file.to_owned(), location, reason: lines.join(" ") }
    }
}

impl fmt::Display for ScriptError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file.display())?;
        if let Some(Location { line, column }) = self.location {
            write!(f, ":{line}:{column}")?;
        }
        write!(f, ": {}", self.reason)
    }
}

impl std::error::Error for ScriptError {}

/// Reads a script and evaluates it in this process, within the default limits.
///
/// # Errors
///
/// Returns an error if the script cannot be read, is larger than 1 MiB, or fails as in [`evaluate`].
pub fn evaluate_file(path: &Path) -> Result<Installation, ScriptError> {
    let unreadable = |error: std::io::Error| ScriptError::of_file(path, error);
    let size = std::fs::metadata(path).map_err(unreadable)?.len();
    if size > SCRIPT_MAX_BYTES {
        let reason = format!("the script has {size} bytes, the limit is {SCRIPT_MAX_BYTES}");
        return Err(ScriptError::of_file(path, reason));
    }
    let text = std::fs::read_to_string(path).map_err(unreadable)?;
    evaluate(path, text, EvaluationLimits::default())
}

/// Evaluates the text of a script. Error messages name the script by `path`, and relative paths in the script are
/// resolved against the folder of `path`.
///
/// # Errors
///
/// Returns an error if the script is not valid or exceeds a limit, or if a function rejects its arguments.
pub fn evaluate(path: &Path, text: String, limits: EvaluationLimits) -> Result<Installation, ScriptError> {
    let folder = path.parent().map(|folder| folder.display().to_string()).unwrap_or_default();
    let requests = Requests::new(BTreeMap::from([(FOLDER_KEY.to_owned(), folder)]));
    run(path, text, limits, &requests)?;
    let failed = |reason: String| ScriptError::of_file(path, reason);
    Ok(Installation {
        consul: requested(&requests, CONSUL, ConsulForm::settings).map_err(failed)?,
        policy: requested(&requests, POLICY, PolicyForm::settings).map_err(failed)?,
        ownership: requested(&requests, OWNERSHIP, OwnershipForm::settings).map_err(failed)?,
    })
}

/// Runs a script. Its functions store their forms in `requests`.
fn run(path: &Path, text: String, limits: EvaluationLimits, requests: &Requests) -> Result<(), ScriptError> {
    let failed = |error: starlark::Error| ScriptError::from_starlark(path, &error);
    let dialect = Dialect { enable_f_strings: true, enable_top_level_stmt: true, ..Dialect::Standard };
    let ast = AstModule::parse(&path.display().to_string(), text, &dialect).map_err(failed)?;
    let globals = GlobalsBuilder::extended_by(&[LibraryExtension::StructType]).with(builtins).build();
    Module::with_temp_heap(|module| {
        let mut evaluator = Evaluator::new(&module);
        evaluator.extra = Some(requests);
        let limited = evaluator
            .set_max_tick_count(limits.max_ticks)
            .and_then(|()| evaluator.set_max_heap_size(limits.max_heap_bytes))
            .and_then(|()| evaluator.set_max_callstack_size(limits.max_call_depth));
        limited.map_err(|error| ScriptError::of_file(path, error))?;
        evaluator.eval_module(ast, &globals).map(drop).map_err(failed)
    })
}

/// Returns the settings that the script has requested by `function`, or `None` if it has not called that function.
fn requested<F: DeserializeOwned, S>(
    requests: &Requests,
    function: &str,
    settings: impl Fn(&F) -> Result<S, String>,
) -> Result<Option<S>, String> {
    let from_json = |text: &String| {
        let form: F = serde_json::from_str(text).map_err(|error| error.to_string())?;
        settings(&form)
    };
    requests.borrow().get(function).map(from_json).transpose()
}

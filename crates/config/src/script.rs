//! Scripts: read, parsed and evaluated within bounds.

use crate::Installation;
use crate::builtins::{FOLDER_KEY, Requests, builtins};
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

/// The largest script that is read, in bytes.
const SCRIPT_MAX_BYTES: u64 = 1 << 20;

/// How much a script may use up.
#[derive(Clone, Copy, Debug)]
pub struct EvaluationLimits {
    /// Steps of the evaluator: calls and turns of loops.
    pub max_ticks: u64,
    /// Bytes of values.
    pub max_heap_bytes: usize,
    /// Calls inside each other.
    pub max_call_depth: usize,
}

impl Default for EvaluationLimits {
    fn default() -> Self {
        EvaluationLimits { max_ticks: 2_000_000, max_heap_bytes: 64 << 20, max_call_depth: 100 }
    }
}

/// Why a script cannot be used: the place, as far as there is one, and one line that says what is wrong.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScriptError {
    /// The file.
    pub file: PathBuf,
    /// Line and column, from 1.
    #[serde(rename = "place")]
    pub location: Option<(usize, usize)>,
    /// What is wrong, and what to write instead.
    #[serde(rename = "why")]
    pub reason: String,
}

impl fmt::Display for ScriptError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file.display())?;
        if let Some((line, column)) = self.location {
            write!(f, ":{line}:{column}")?;
        }
        write!(f, ": {}", self.reason)
    }
}

impl std::error::Error for ScriptError {}

fn place(span: &FileSpan) -> (usize, usize) {
    let begin = span.resolve_span().begin;
    (begin.line + 1, begin.column + 1)
}

fn fault(file: &Path, error: &starlark::Error) -> ScriptError {
    let why = error.without_diagnostic().to_string();
    let why = why.lines().map(str::trim).filter(|line| !line.is_empty()).collect::<Vec<_>>().join(" ");
    ScriptError { file: file.to_owned(), location: error.span().map(place), reason: why }
}

/// Reads a file and evaluates it in this process.
pub fn evaluate_file(path: &Path) -> Result<Installation, ScriptError> {
    let fault = |why: String| ScriptError { file: path.to_owned(), location: None, reason: why };
    let size = std::fs::metadata(path).map_err(|error| fault(error.to_string()))?.len();
    if size > SCRIPT_MAX_BYTES {
        return Err(fault(format!("{size} bytes are too many: a script has at most {SCRIPT_MAX_BYTES}")));
    }
    let text = std::fs::read_to_string(path).map_err(|error| fault(error.to_string()))?;
    evaluate(path, text, EvaluationLimits::default())
}

/// Evaluates the text of a script; `path` is its name, and relative paths in it are taken from that folder.
pub fn evaluate(path: &Path, text: String, bounds: EvaluationLimits) -> Result<Installation, ScriptError> {
    let failed = |error: &starlark::Error| fault(path, error);
    let dialect = Dialect { enable_f_strings: true, enable_top_level_stmt: true, ..Dialect::Standard };
    let ast = AstModule::parse(&path.display().to_string(), text, &dialect).map_err(|e| failed(&e))?;
    let globals = GlobalsBuilder::extended_by(&[LibraryExtension::StructType]).with(builtins).build();
    let folder = path.parent().map(|folder| folder.display().to_string()).unwrap_or_default();
    let requests = Requests::new(BTreeMap::from([(FOLDER_KEY.to_owned(), folder)]));
    Module::with_temp_heap(|module| {
        let mut eval = Evaluator::new(&module);
        eval.extra = Some(&requests);
        let limits = eval
            .set_max_tick_count(bounds.max_ticks)
            .and_then(|()| eval.set_max_heap_size(bounds.max_heap_bytes))
            .and_then(|()| eval.set_max_callstack_size(bounds.max_call_depth));
        limits.map_err(|error| ScriptError {
            file: path.to_owned(),
            location: None,
            reason: error.to_string(),
        })?;
        eval.eval_module(ast, &globals).map(drop).map_err(|error| failed(&error))
    })?;
    let fault = |why: String| ScriptError { file: path.to_owned(), location: None, reason: why };
    let consul = requested(&requests, "consul", ConsulForm::settings).map_err(fault)?;
    let policy = requested(&requests, "policy", PolicyForm::settings).map_err(fault)?;
    let ownership = requested(&requests, "ownership", OwnershipForm::settings).map_err(fault)?;
    Ok(Installation { consul, policy, ownership })
}

/// The settings that a word has asked for, if it stands in the script.
fn requested<F: DeserializeOwned, S>(
    requests: &Requests,
    word: &str,
    settings: impl Fn(&F) -> Result<S, String>,
) -> Result<Option<S>, String> {
    let read = |text: &String| {
        let form: F = serde_json::from_str(text).map_err(|error| error.to_string())?;
        settings(&form)
    };
    requests.borrow().get(word).map(read).transpose()
}

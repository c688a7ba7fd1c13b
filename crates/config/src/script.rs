//! Scripts: read, parsed and evaluated within bounds.

use crate::Installation;
use crate::builtins::{FOLDER, Requests, builtins};
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
const LARGEST: u64 = 1 << 20;

/// How much a script may use up.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Steps of the evaluator: calls and turns of loops.
    pub ticks: u64,
    /// Bytes of values.
    pub heap: usize,
    /// Calls inside each other.
    pub depth: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds { ticks: 2_000_000, heap: 64 << 20, depth: 100 }
    }
}

/// Why a script cannot be used: the place, as far as there is one, and one line that says what is wrong.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// The file.
    pub file: PathBuf,
    /// Line and column, from 1.
    pub place: Option<(usize, usize)>,
    /// What is wrong, and what to write instead.
    pub why: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file.display())?;
        if let Some((line, column)) = self.place {
            write!(f, ":{line}:{column}")?;
        }
        write!(f, ": {}", self.why)
    }
}

impl std::error::Error for Fault {}

fn place(span: &FileSpan) -> (usize, usize) {
    let begin = span.resolve_span().begin;
    (begin.line + 1, begin.column + 1)
}

fn fault(file: &Path, error: &starlark::Error) -> Fault {
    let why = error.without_diagnostic().to_string();
    let why = why.lines().map(str::trim).filter(|line| !line.is_empty()).collect::<Vec<_>>().join(" ");
    Fault { file: file.to_owned(), place: error.span().map(place), why }
}

/// Reads a file and evaluates it in this process.
pub fn read(path: &Path) -> Result<Installation, Fault> {
    let fault = |why: String| Fault { file: path.to_owned(), place: None, why };
    let size = std::fs::metadata(path).map_err(|error| fault(error.to_string()))?.len();
    if size > LARGEST {
        return Err(fault(format!("{size} bytes are too many: a script has at most {LARGEST}")));
    }
    let text = std::fs::read_to_string(path).map_err(|error| fault(error.to_string()))?;
    evaluate(path, text, Bounds::default())
}

/// Evaluates the text of a script; `path` is its name, and relative paths in it are taken from that folder.
pub fn evaluate(path: &Path, text: String, bounds: Bounds) -> Result<Installation, Fault> {
    let failed = |error: &starlark::Error| fault(path, error);
    let dialect = Dialect { enable_f_strings: true, enable_top_level_stmt: true, ..Dialect::Standard };
    let ast = AstModule::parse(&path.display().to_string(), text, &dialect).map_err(|e| failed(&e))?;
    let globals = GlobalsBuilder::extended_by(&[LibraryExtension::StructType]).with(builtins).build();
    let folder = path.parent().map(|folder| folder.display().to_string()).unwrap_or_default();
    let requests = Requests::new(BTreeMap::from([(FOLDER.to_owned(), folder)]));
    Module::with_temp_heap(|module| {
        let mut eval = Evaluator::new(&module);
        eval.extra = Some(&requests);
        let limits = eval
            .set_max_tick_count(bounds.ticks)
            .and_then(|()| eval.set_max_heap_size(bounds.heap))
            .and_then(|()| eval.set_max_callstack_size(bounds.depth));
        limits.map_err(|error| Fault { file: path.to_owned(), place: None, why: error.to_string() })?;
        eval.eval_module(ast, &globals).map(drop).map_err(|error| failed(&error))
    })?;
    let fault = |why: String| Fault { file: path.to_owned(), place: None, why };
    let consul = wanted(&requests, "consul", ConsulForm::settings).map_err(fault)?;
    let policy = wanted(&requests, "policy", PolicyForm::settings).map_err(fault)?;
    let ownership = wanted(&requests, "ownership", OwnershipForm::settings).map_err(fault)?;
    Ok(Installation { consul, policy, ownership })
}

/// The settings that a word has asked for, if it stands in the script.
fn wanted<F: DeserializeOwned, S>(
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

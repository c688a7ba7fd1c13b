//! How an experiment is run: the options of `run`.

use crate::error::ExperimentError;
use clap::Args;
use std::path::PathBuf;

/// How an experiment is run.
#[derive(Args, Clone, Debug)]
#[group(id = "options")]
pub struct RunOptions {
    /// Where all chance comes from.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Where the table (CSV and Markdown) and the chart (SVG) go.
    #[arg(long, value_name = "FOLDER")]
    pub out: Option<PathBuf>,
    /// The forwarder; the one beside this program where it is left out.
    #[arg(long, value_name = "FILE")]
    pub program: Option<PathBuf>,
    /// Seeds run beside each other, from `seed` on (consul-cold, fleet-limit); one after another (rollout-stop).
    #[arg(long, default_value_t = 20)]
    pub seeds: u64,
    /// Take away what the experiment is to prove: the run must fail.
    #[arg(long, alias = "unrestrained")]
    pub sabotage: bool,
    /// Smaller sizes, in seconds (capacity-forwarder, capacity-control).
    #[arg(long)]
    pub quick: bool,
    /// Memory that the experiment may use, in MB, where half of the machine's is too much (capacity-forwarder).
    #[arg(long, value_name = "MB")]
    pub memory_mb: Option<u64>,
}

impl RunOptions {
    /// The forwarder's program.
    pub fn program(&self) -> Result<PathBuf, ExperimentError> {
        let beside = || std::env::current_exe().ok().map(|path| path.with_file_name("orchidyoke"));
        let program = self.program.clone().or_else(beside);
        program.filter(|path| path.is_file()).ok_or(ExperimentError::NoProgram)
    }
}

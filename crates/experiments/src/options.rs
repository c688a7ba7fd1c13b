//! Options of the command `run`.

use crate::error::ExperimentError;
use clap::Args;
use std::path::PathBuf;

/// Options of an experiment's run.
#[derive(Args, Clone, Debug)]
#[group(id = "options")]
pub struct RunOptions {
    /// Seed of all random choices.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Folder for the table (CSV and Markdown) and the chart (SVG).
    #[arg(long, value_name = "FOLDER")]
    pub out: Option<PathBuf>,
    /// Program of the forwarder; by default `orchidyoke` in the folder of this program.
    #[arg(long, value_name = "FILE")]
    pub program: Option<PathBuf>,
    /// Number of seeds, from `seed` on. They run in parallel (consul-cold, fleet-limit) or one after another
    /// (rollout-stop).
    #[arg(long, default_value_t = 20)]
    pub seeds: u64,
    /// Break what the experiment proves, so that the run must fail.
    #[arg(long, alias = "unrestrained")]
    pub sabotage: bool,
    /// Run smaller sizes, which takes seconds (capacity-forwarder, capacity-control).
    #[arg(long)]
    pub quick: bool,
    /// Maximum memory of the experiment in MB, if half of the machine's is too much (capacity-forwarder).
    #[arg(long, value_name = "MB")]
    pub memory_mb: Option<u64>,
}

impl RunOptions {
    /// Returns the forwarder's program: the one from `--program`, or else `orchidyoke` beside this program.
    pub fn program(&self) -> Result<PathBuf, ExperimentError> {
        let beside = || std::env::current_exe().ok().map(|path| path.with_file_name("orchidyoke"));
        let program = self.program.clone().or_else(beside);
        program.filter(|path| path.is_file()).ok_or(ExperimentError::NoProgram)
    }
}

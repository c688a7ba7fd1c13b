//! The progress file, `rollout.jsonl` in the state folder. It has one JSON record per line. A record that announces an
//! operation is on disk before the operation begins.

use crate::progress::ProgressRecord;
use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::{Path, PathBuf};

/// An error of reading or writing the progress file.
#[derive(Debug, thiserror::Error)]
#[error("cannot {operation} the progress record {}: {source}", .path.display())]
pub struct ProgressFileError {
    operation: &'static str,
    path: PathBuf,
    source: std::io::Error,
}

/// The open progress file, to which records are appended.
#[derive(Debug)]
pub struct ProgressFile {
    path: PathBuf,
    file: File,
}

impl ProgressFile {
    /// Opens the file in this folder and reads its records. Creates the folder and the file if they are missing.
    /// Removes an incomplete last line, which a kill may leave.
    ///
    /// # Errors
    ///
    /// The file cannot be read or written, or a complete line of it is not a record.
    pub fn open(folder: &Path) -> Result<(ProgressFile, Vec<ProgressRecord>), ProgressFileError> {
        let path = folder.join("rollout.jsonl");
        std::fs::create_dir_all(folder).map_err(failure("create the folder of", &path))?;
        let text = read_if_present(&path).map_err(failure("read", &path))?;
        let mut records = Vec::new();
        let mut complete_bytes = 0;
        for line in text.split_inclusive('\n') {
            let Some(record) = line.strip_suffix('\n') else { break };
            let record = serde_json::from_str(record).map_err(std::io::Error::from);
            records.push(record.map_err(failure("parse", &path))?);
            complete_bytes += line.len() as u64;
        }
        let file =
            OpenOptions::new().create(true).append(true).open(&path).map_err(failure("open", &path))?;
        file.set_len(complete_bytes).map_err(failure("truncate", &path))?;
        Ok((ProgressFile { path, file }, records))
    }

    /// Returns the path of the file.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Appends a record and waits until it is on disk.
    ///
    /// # Errors
    ///
    /// The record cannot be written. Part of its line may be in the file.
    pub fn append(&mut self, record: &ProgressRecord) -> Result<(), ProgressFileError> {
        let failed = failure("write", &self.path);
        let mut line = serde_json::to_string(record).map_err(std::io::Error::from).map_err(&failed)?;
        line.push('\n');
        self.file.write_all(line.as_bytes()).map_err(&failed)?;
        self.file.sync_data().map_err(&failed)
    }
}

fn failure(operation: &'static str, path: &Path) -> impl Fn(std::io::Error) -> ProgressFileError {
    let path = path.to_owned();
    move |source| ProgressFileError { operation, path: path.clone(), source }
}

fn read_if_present(path: &Path) -> std::io::Result<String> {
    match std::fs::read_to_string(path) {
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => Ok(String::new()),
        result => result,
    }
}

//! Reads and replaces files of the rollout and of the forwarders. Files are replaced by renaming, so that a kill leaves
//! either the old or the new file complete.

use crate::error::ForwarderError;
use std::fs::File;
use std::io::Write;
use std::path::Path;

/// Reads a file.
pub fn read(path: &Path) -> Result<Vec<u8>, ForwarderError> {
    std::fs::read(path).map_err(failure("read", path))
}

/// Reads a file. Returns `None` if the file does not exist.
pub fn read_if_present(path: &Path) -> Result<Option<Vec<u8>>, ForwarderError> {
    match std::fs::read(path) {
        Ok(text) => Ok(Some(text)),
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => Ok(None),
        Err(error) => Err(failure("read", path)(error)),
    }
}

/// Replaces a file. The new content is on disk when this function returns.
pub fn replace(path: &Path, text: &[u8]) -> Result<(), ForwarderError> {
    let failed = failure("write", path);
    let temporary = path.with_extension("rollout-new");
    let mut file = File::create(&temporary).map_err(&failed)?;
    file.write_all(text).map_err(&failed)?;
    file.sync_all().map_err(&failed)?;
    std::fs::rename(&temporary, path).map_err(&failed)?;
    if let Some(folder) = path.parent().filter(|folder| !folder.as_os_str().is_empty()) {
        // The rename is durable only once the folder is synced.
        File::open(folder).and_then(|folder| folder.sync_all()).map_err(&failed)?;
    }
    Ok(())
}

fn failure(operation: &'static str, path: &Path) -> impl Fn(std::io::Error) -> ForwarderError {
    let path = path.to_owned();
    move |source| ForwarderError::File { operation, path: path.clone(), source }
}

//! The files of a folder: this process's own, and those of the others that share it.

use crate::record::RecordsWithBodies;
use crate::recovery::{Reading, read};
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};

/// The file of this process. The system holds its lock until the process has ended, in whatever way.
#[derive(Debug)]
pub struct Journal {
    generation: Generation,
    path: PathBuf,
    file: File,
    size: usize,
}

/// A folder as a process finds it at its start.
#[derive(Debug)]
pub struct Opened {
    /// The process's own file: the newest whose process has ended, or a new one.
    pub journal: Journal,
    /// What is in it.
    pub records: RecordsWithBodies,
    /// The files of all others, those of processes that have ended too.
    pub others: Vec<Other>,
}

impl Journal {
    /// Opens the journal of a folder, cuts off a torn tail, and gives what is in it and which others there are.
    ///
    /// # Errors
    ///
    /// The folder or a file in it cannot be read or written, or holds a record of a later version: that stays as it is.
    pub fn open(folder: &Path) -> io::Result<Opened> {
        let generations = generations(folder)?;
        let newest = generations.last().copied();
        let (generation, file) = match newest.map(|g| own(folder, g)).transpose()?.flatten() {
            Some(file) => (newest.unwrap_or_default(), file),
            None => create(folder, newest.map_or(0, |newest| newest + 1), make)?,
        };
        let path = path_of(folder, generation);
        let Reading { records, whole, unknown } = read(fs::read(&path)?.into());
        refuse(&path, unknown)?;
        // A rewrite that a kill cut short: the journal itself is still whole.
        remove(&spare_of(&path))?;
        file.set_len(whole as u64)?;
        let others = generations.into_iter().filter(|other| *other != generation);
        let others = others.map(|other| Other::new(folder, other)).collect();
        Ok(Opened { journal: Journal { generation, path, file, size: whole }, records, others })
    }

    /// Number of the file: that of a process which started later is higher.
    pub fn generation(&self) -> Generation {
        self.generation
    }

    /// Bytes in the file.
    pub fn size(&self) -> usize {
        self.size
    }

    /// Appends bytes; if that fails, what was there stays whole.
    pub fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.file.write_all(bytes).inspect_err(|_| {
            // Half a record would hide all that follow it.
            let _ = self.file.set_len(self.size as u64);
        })?;
        self.size += bytes.len();
        Ok(())
    }

    /// Puts these bytes in the place of all that is there.
    pub fn rewrite(&mut self, bytes: &[u8]) -> io::Result<()> {
        let spare = spare_of(&self.path);
        let written: io::Result<File> = (|| {
            let mut file = OpenOptions::new().create(true).append(true).open(&spare)?;
            file.set_len(0)?;
            // Locked before it has the journal's name: at no moment does the file look as if its process had ended.
            lock(&file)?;
            file.write_all(bytes)?;
            fs::rename(&spare, &self.path)?;
            Ok(file)
        })();
        self.file = written.inspect_err(|_| drop(fs::remove_file(&spare)))?;
        self.size = bytes.len();
        Ok(())
    }
}

/// A record that is whole and cannot be read ends the reading, and nothing is cut off or guessed.
fn refuse(path: &Path, unknown: Option<String>) -> io::Result<()> {
    match unknown {
        None => Ok(()),
        Some(why) => {
            let why = format!("{}: written by a later version, which has to read it: {why}", path.display());
            Err(io::Error::new(io::ErrorKind::InvalidData, why))
        }
    }
}

/// Number of a file in the folder: 0 is `journal`, 7 is `journal.7`.
pub type Generation = u64;

const NAME: &str = "journal";

fn path_of(folder: &Path, generation: Generation) -> PathBuf {
    folder.join(if generation == 0 { NAME.to_owned() } else { format!("{NAME}.{generation}") })
}

fn spare_of(path: &Path) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(".new");
    name.into()
}

fn remove(path: &Path) -> io::Result<()> {
    match fs::remove_file(path) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
        _ => Ok(()),
    }
}

/// The files in a folder, the oldest first.
fn generations(folder: &Path) -> io::Result<Vec<Generation>> {
    let mut found = Vec::new();
    for entry in fs::read_dir(folder)? {
        let name = entry?.file_name();
        let rest = name.to_str().and_then(|name| name.strip_prefix(NAME));
        match rest {
            Some("") => found.push(0),
            Some(rest) => found.extend(rest.strip_prefix('.').and_then(|n| n.parse::<Generation>().ok())),
            None => {}
        }
    }
    found.sort_unstable();
    Ok(found)
}

/// Takes the lock of a file; whether nobody else has it.
fn lock(file: &File) -> io::Result<bool> {
    match file.try_lock() {
        Ok(()) => Ok(true),
        Err(TryLockError::WouldBlock) => Ok(false),
        Err(TryLockError::Error(error)) => Err(error),
    }
}

/// Takes over the file of a process that has ended; none where it goes on.
fn own(folder: &Path, generation: Generation) -> io::Result<Option<File>> {
    let path = path_of(folder, generation);
    let file = OpenOptions::new().append(true).open(&path)?;
    Ok((lock(&file)? && is_at(&file, &path)?).then_some(file))
}

/// Whether this is still the file with that name: a rewrite puts another in its place.
fn is_at(file: &File, path: &Path) -> io::Result<bool> {
    Ok(fs::metadata(path).is_ok_and(|there| file.metadata().is_ok_and(|held| held.ino() == there.ino())))
}

/// Makes a file of this generation, or of the next that nobody else makes at the same time or has removed.
fn create(
    folder: &Path,
    first: Generation,
    make: impl Fn(&Path) -> io::Result<File>,
) -> io::Result<(Generation, File)> {
    for generation in first.. {
        let path = path_of(folder, generation);
        match make(&path) {
            // Between its name and its lock another process may have taken it for one that ended, and removed it.
            Ok(file) if lock(&file)? && is_at(&file, &path)? => return Ok((generation, file)),
            Ok(_) => {}
            Err(error) if error.kind() == io::ErrorKind::AlreadyExists => {}
            Err(error) => return Err(error),
        }
    }
    Err(io::Error::other("no generation is left"))
}

fn make(path: &Path) -> io::Result<File> {
    OpenOptions::new().create_new(true).append(true).open(path)
}

/// The file of another process, read as it grows.
#[derive(Debug)]
pub struct Other {
    generation: Generation,
    path: PathBuf,
    inode: u64,
    read: usize,
    /// Its lock, once its process has ended: nobody else takes it up.
    lock: Option<File>,
}

/// What a look at another process's file has shown.
#[derive(Debug)]
pub struct Look {
    /// The file was rewritten: the records begin anew.
    pub anew: bool,
    /// What has come since the last look.
    pub records: RecordsWithBodies,
    /// Bytes in the file.
    pub size: usize,
    /// Its process has ended: nothing more will come, and this process holds the lock.
    pub ended: bool,
}

impl Other {
    fn new(folder: &Path, generation: Generation) -> Self {
        Other { generation, path: path_of(folder, generation), inode: 0, read: 0, lock: None }
    }

    /// Number of the file.
    pub fn generation(&self) -> Generation {
        self.generation
    }

    /// Looks at the file; none where it is gone.
    ///
    /// # Errors
    ///
    /// The file cannot be read.
    pub fn look(&mut self) -> io::Result<Option<Look>> {
        let mut file = match File::open(&self.path) {
            Ok(file) => file,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(error) => return Err(error),
        };
        // First the lock: whoever held it has written its last byte then.
        if self.lock.is_none() {
            let probe = File::open(&self.path)?;
            if lock(&probe)? && is_at(&probe, &self.path)? {
                self.lock = Some(probe);
            }
        }
        let about = file.metadata()?;
        let anew = about.ino() != self.inode || (about.len() as usize) < self.read;
        if anew {
            (self.inode, self.read) = (about.ino(), 0);
        }
        file.seek(SeekFrom::Start(self.read as u64))?;
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes)?;
        let size = self.read + bytes.len();
        let Reading { records, whole, unknown } = read(bytes.into());
        // What a later version writes behind a record of its own kind is not for this one; what came before is told, and
        // the file of one that has ended is left where it is.
        if records.is_empty() || self.lock.is_some() {
            let ended = self.lock.take();
            refuse(&self.path, unknown)?;
            self.lock = ended;
        }
        self.read += whole;
        Ok(Some(Look { anew, records, size, ended: self.lock.is_some() }))
    }

    /// Removes the file of a process that has ended, once what it held is kept elsewhere.
    ///
    /// # Errors
    ///
    /// The file cannot be removed.
    pub fn remove(&self) -> io::Result<()> {
        remove(&spare_of(&self.path))?;
        remove(&self.path)
    }
}

/// The files of processes that are not known yet.
///
/// # Errors
///
/// The folder cannot be read.
pub fn others(folder: &Path, known: impl Fn(Generation) -> bool) -> io::Result<Vec<Other>> {
    let found = generations(folder)?.into_iter().filter(|generation| !known(*generation));
    Ok(found.map(|generation| Other::new(folder, generation)).collect())
}

#[cfg(test)]
mod making_tests;

#[cfg(test)]
mod tests {
    use super::*;
    use crate::record::Record;
    use crate::record::tests::taken;
    use bytes::BytesMut;

    // Guards against a rewrite that loses appends: those after it must go to the new file.
    #[test]
    fn appends_follow_a_rewrite_into_the_new_file() {
        let folder = std::env::temp_dir().join(format!("orchidyoke-journal-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a folder");
        let bytes = |txn: &str| {
            let mut bytes = BytesMut::new();
            taken(txn).encode(b"x", &mut bytes);
            bytes
        };
        let mut journal = Journal::open(&folder).expect("opens").journal;
        journal.append(&bytes("a")).expect("appends");
        journal.rewrite(&bytes("b")).expect("rewrites");
        journal.append(&bytes("c")).expect("appends");
        fs::write(folder.join("journal.new"), b"half").expect("writes");
        let size = journal.size();
        assert_eq!(size, 2 * bytes("b").len());
        drop(journal);
        let Opened { journal, records, .. } = Journal::open(&folder).expect("opens");
        assert_eq!(journal.size(), size);
        assert_eq!(records.iter().map(|r| &r.0).collect::<Vec<_>>(), [&taken("b"), &taken("c")]);
        assert!(!folder.join("journal.new").exists());
        fs::remove_dir_all(&folder).expect("cleans up");
    }

    // Guards against two processes that write one file, against one that is taken for ended while it rewrites its file,
    // and against records read twice or left out where one follows the other's file.
    #[test]
    fn each_process_has_its_file_and_follows_the_others() {
        let folder = std::env::temp_dir().join(format!("orchidyoke-journals-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a folder");
        let bytes = |txn: &str| {
            let mut bytes = BytesMut::new();
            taken(txn).encode(b"x", &mut bytes);
            bytes
        };
        let seen = |look: Look| -> Vec<String> {
            let txn = |record| if let Record::Accepted(taken) = record { taken.id } else { String::new() };
            look.records.into_iter().map(|(record, _)| txn(record)).collect()
        };
        let mut elder = Journal::open(&folder).expect("opens").journal;
        elder.append(&bytes("a")).expect("appends");
        let mut opened = Journal::open(&folder).expect("opens");
        assert_eq!((elder.generation(), opened.journal.generation(), opened.records.len()), (0, 1, 0));
        let other = &mut opened.others[0];
        let look = other.look().expect("read").expect("there");
        assert!(look.anew && !look.ended);
        assert_eq!(seen(look), ["a"]);
        let half = bytes("b");
        elder.file.write_all(&half[..half.len() / 2]).expect("writes");
        assert!(seen(other.look().expect("read").expect("there")).is_empty(), "half a record is none yet");
        elder.file.write_all(&half[half.len() / 2..]).expect("writes");
        let look = other.look().expect("read").expect("there");
        assert!(!look.anew && !look.ended);
        assert_eq!(seen(look), ["b"]);
        elder.rewrite(&bytes("c")).expect("rewrites");
        let look = other.look().expect("read").expect("there");
        assert!(look.anew && !look.ended, "a rewrite is no end");
        assert_eq!(seen(look), ["c"]);
        assert!(others(&folder, |known| known < 2).expect("read").is_empty());
        drop(elder);
        let look = other.look().expect("read").expect("there");
        assert!(look.ended && !look.anew && look.records.is_empty());
        other.remove().expect("removed");
        assert!(other.look().expect("read").is_none());
        drop(opened);
        assert_eq!(Journal::open(&folder).expect("opens").journal.generation(), 1, "the newest goes on");
        fs::remove_dir_all(&folder).expect("cleans up");
    }
}

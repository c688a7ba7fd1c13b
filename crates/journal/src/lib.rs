//! The journal: what must outlast the process. Records and their bytes, the file they are in, and its space.
//!
//! A record is framed by its length and a checksum, so that a tail torn by a kill is told from a whole one.
//! When it has grown, the file is rewritten with what still counts; old and new together keep to the limit.
//!
//! Processes that share a folder, as in an upgrade, have a file each, under a lock that the system releases when the
//! process ends. Each reads those of the others.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use orchidyoke_core::interface::Micros;
use orchidyoke_core::transport_map::News;
use serde::{Deserialize, Serialize};
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::net::SocketAddr;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};

/// Bytes before a record's content: its length and its checksum.
const FRAME: usize = 8;
/// Kept free of the folder's limit: files count in whole blocks, and folders may count too.
const SLACK: usize = 16 << 10;
/// Part of the limit that what still counts may take up, so that a rewritten file has room to grow.
const LIVE_SHARE: f64 = 0.42;

/// How a message ended without delivery.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// Given up, with no promise.
    Failed,
    /// Deferred: it may be handed in again, after so many milliseconds.
    Returned {
        /// When to come back.
        after_ms: i64,
    },
}

/// A delivery attempt that may have run: when it began, and at which endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Trace {
    /// When it began.
    pub at: Micros,
    /// The endpoint's uid.
    pub uid: String,
}

/// A message, as far as what comes later depends on it. Its body stands apart.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Taken {
    /// Its id.
    pub txn: String,
    /// Name of its class.
    pub class: String,
    /// Its tenant.
    pub org: String,
    /// Its destination.
    pub dest: u64,
    /// When its time is up.
    pub deadline: Micros,
    /// Attempts used.
    pub attempts: u32,
    /// The first attempt that may have run.
    pub ran: Option<Trace>,
    /// The attempt that is out.
    pub out: Option<Trace>,
}

/// What the journal holds. Times are Unix time in microseconds.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "is", rename_all = "snake_case")]
pub enum Record {
    /// A message was taken on.
    Taken(Taken),
    /// A call is about to be written.
    Begun {
        /// The messages in it.
        txns: Vec<String>,
        /// When and where.
        trace: Trace,
    },
    /// The attempt that was out has ended and may have run.
    Ran {
        /// The message.
        txn: String,
    },
    /// The attempt that was out never ran.
    Unseen {
        /// The message.
        txn: String,
    },
    /// An attempt was used up with nothing written.
    Missed {
        /// The message.
        txn: String,
    },
    /// The final answer is decided, and its notice still owed.
    Owed {
        /// The message.
        txn: String,
        /// When.
        at: Micros,
        /// The answer.
        verdict: Verdict,
    },
    /// Nothing more is owed.
    Over {
        /// The message.
        txn: String,
        /// When.
        at: Micros,
    },
    /// News of the transport map.
    Map(News),
    /// A reload has put the file's discovery in the place of this address, which was given apart from it.
    Superseded {
        /// The address given.
        discovery: SocketAddr,
    },
    /// An operator has taken an endpoint out, or put it back.
    ByHand {
        /// The endpoint.
        uid: String,
        /// When.
        at: Micros,
        /// Out, or back.
        out: bool,
    },
    /// A destination told to wait.
    Wait {
        /// The destination.
        dest: u64,
        /// Until when.
        until: Micros,
    },
    /// How far this process is: in the order of a life, each once.
    Stage {
        /// From here on.
        stage: Stage,
    },
    /// The destinations in trouble, all of them.
    Troubled {
        /// Their numbers.
        dests: Vec<u64>,
    },
}

/// How far a process is, for those that share its folder.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// It has started.
    #[default]
    Started,
    /// It takes clients.
    Ready,
    /// It was told to end beside a successor: it begins no more attempts, and what it holds and has not out is the
    /// successor's, as is each message whose attempt ends without delivery from here on.
    Yielded,
}

/// Records with the bodies of those that have one, in the order of the file.
pub type Entries = Vec<(Record, Bytes)>;

impl Record {
    /// The framed bytes of this record; only [`Record::Taken`] has a body.
    pub fn encode(&self, body: &[u8], into: &mut BytesMut) {
        let start = into.len();
        into.put_bytes(0, FRAME + 4);
        let Ok(()) = serde_json::to_writer(into.writer(), self) else {
            unreachable!("records hold nothing that JSON cannot")
        };
        let head = into.len() - start - FRAME - 4;
        into.extend_from_slice(body);
        let content = into.len() - start - FRAME;
        into[start + FRAME..start + FRAME + 4].copy_from_slice(&(head as u32).to_le_bytes());
        let sum = crc32fast::hash(&into[start + FRAME..]);
        into[start..start + 4].copy_from_slice(&(content as u32).to_le_bytes());
        into[start + 4..start + 8].copy_from_slice(&sum.to_le_bytes());
    }

    /// Reads a record in two passes, its kind first: an enum tagged from within would be read by way of a buffer,
    /// which loses numbers where some other crate has JSON numbers kept as text.
    fn read(text: &[u8]) -> serde_json::Result<Record> {
        #[derive(Deserialize)]
        struct Kind<'a> {
            is: &'a str,
        }
        #[derive(Deserialize)]
        struct Begun {
            txns: Vec<String>,
            trace: Trace,
        }
        #[derive(Deserialize)]
        struct Txn {
            txn: String,
        }
        #[derive(Deserialize)]
        struct Owed {
            txn: String,
            at: Micros,
            verdict: Verdict,
        }
        #[derive(Deserialize)]
        struct Over {
            txn: String,
            at: Micros,
        }
        #[derive(Deserialize)]
        struct Superseded {
            discovery: SocketAddr,
        }
        #[derive(Deserialize)]
        struct ByHand {
            uid: String,
            at: Micros,
            out: bool,
        }
        #[derive(Deserialize)]
        struct Wait {
            dest: u64,
            until: Micros,
        }
        #[derive(Deserialize)]
        struct StageOf {
            stage: Stage,
        }
        #[derive(Deserialize)]
        struct Troubled {
            dests: Vec<u64>,
        }
        fn txn(text: &[u8]) -> serde_json::Result<String> {
            serde_json::from_slice::<Txn>(text).map(|record| record.txn)
        }
        let kind: Kind<'_> = serde_json::from_slice(text)?;
        Ok(match kind.is {
            "taken" => Record::Taken(serde_json::from_slice(text)?),
            "begun" => {
                let Begun { txns, trace } = serde_json::from_slice(text)?;
                Record::Begun { txns, trace }
            }
            "ran" => Record::Ran { txn: txn(text)? },
            "unseen" => Record::Unseen { txn: txn(text)? },
            "missed" => Record::Missed { txn: txn(text)? },
            "owed" => {
                let Owed { txn, at, verdict } = serde_json::from_slice(text)?;
                Record::Owed { txn, at, verdict }
            }
            "over" => {
                let Over { txn, at } = serde_json::from_slice(text)?;
                Record::Over { txn, at }
            }
            "map" => Record::Map(serde_json::from_slice(text)?),
            "superseded" => {
                let Superseded { discovery } = serde_json::from_slice(text)?;
                Record::Superseded { discovery }
            }
            "by_hand" => {
                let ByHand { uid, at, out } = serde_json::from_slice(text)?;
                Record::ByHand { uid, at, out }
            }
            "wait" => {
                let Wait { dest, until } = serde_json::from_slice(text)?;
                Record::Wait { dest, until }
            }
            "stage" => {
                let StageOf { stage } = serde_json::from_slice(text)?;
                Record::Stage { stage }
            }
            "troubled" => {
                let Troubled { dests } = serde_json::from_slice(text)?;
                Record::Troubled { dests }
            }
            other => return Err(serde::de::Error::custom(format!("no kind of record: {other}"))),
        })
    }

    fn decode(mut content: Bytes) -> Option<(Record, Bytes)> {
        let head = content.try_get_u32_le().ok()? as usize;
        if head > content.len() {
            return None;
        }
        let text = content.split_to(head);
        Some((Record::read(&text).ok()?, content))
    }
}

/// The records of a file up to the first that is not whole, and the bytes that they take up.
pub fn replay(mut file: Bytes) -> (Entries, usize) {
    let (mut records, whole) = (Vec::new(), file.len());
    loop {
        let left = file.len();
        let mut rest = file.clone();
        let (Ok(length), Ok(sum)) = (rest.try_get_u32_le(), rest.try_get_u32_le()) else {
            return (records, whole - left);
        };
        if length as usize > rest.len() {
            return (records, whole - left);
        }
        let content = rest.split_to(length as usize);
        let Some(record) = (crc32fast::hash(&content) == sum).then(|| Record::decode(content)).flatten()
        else {
            return (records, whole - left);
        };
        records.push(record);
        file = rest;
    }
}

/// What the folder may hold and what is in it. It decides; [`Journal`] writes.
#[derive(Debug)]
pub struct Space {
    limit: usize,
    file: usize,
}

impl Space {
    /// A folder of so many bytes, with a journal of `file` bytes in it.
    pub fn new(limit: usize, file: usize) -> Self {
        Space { limit, file }
    }

    /// Whether a message whose record takes up `cost` may still be taken on beside what counts already.
    pub fn admits(&self, live: usize, cost: usize) -> bool {
        ((live + cost) as f64) < self.limit as f64 * LIVE_SHARE
    }

    /// Whether the file has to be rewritten before `more` bytes go in: later there would be no room for both.
    pub fn is_short(&self, live: usize, more: usize) -> bool {
        self.file + more + live + more + SLACK > self.limit
    }

    /// Whether the file can be rewritten as it is now, the old and the new beside each other.
    pub fn fits(&self, live: usize) -> bool {
        self.file + live + SLACK / 2 <= self.limit
    }

    /// Whether so many bytes may go in that need not: the rest of the slack is for what has to.
    pub fn takes(&self, more: usize) -> bool {
        self.file + more + SLACK / 2 <= self.limit
    }

    /// The folder may hold so many bytes from now on.
    pub fn limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// So many bytes went in.
    pub fn grew(&mut self, by: usize) {
        self.file += by;
    }

    /// So many bytes are in the file.
    pub fn holds(&mut self, size: usize) {
        self.file = size;
    }
}

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
    pub records: Entries,
    /// The files of all others, those of processes that have ended too.
    pub others: Vec<Other>,
}

impl Journal {
    /// Opens the journal of a folder, cuts off a torn tail, and gives what is in it and which others there are.
    ///
    /// # Errors
    ///
    /// The folder or a file in it cannot be read or written.
    pub fn open(folder: &Path) -> io::Result<Opened> {
        let generations = generations(folder)?;
        let newest = generations.last().copied();
        let (generation, file) = match newest.map(|g| own(folder, g)).transpose()?.flatten() {
            Some(file) => (newest.unwrap_or_default(), file),
            None => create(folder, newest.map_or(0, |newest| newest + 1))?,
        };
        let path = path_of(folder, generation);
        // A rewrite that a kill cut short: the journal itself is still whole.
        remove(&spare_of(&path))?;
        let (records, whole) = replay(fs::read(&path)?.into());
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

/// Makes a file of this generation, or of the next that nobody else makes at the same time.
fn create(folder: &Path, first: Generation) -> io::Result<(Generation, File)> {
    for generation in first.. {
        let made = OpenOptions::new().create_new(true).append(true).open(path_of(folder, generation));
        match made {
            Ok(file) if lock(&file)? => return Ok((generation, file)),
            Ok(_) => {}
            Err(error) if error.kind() == io::ErrorKind::AlreadyExists => {}
            Err(error) => return Err(error),
        }
    }
    Err(io::Error::other("no generation is left"))
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
    pub records: Entries,
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
        let (records, whole) = replay(bytes.into());
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
mod tests {
    use super::*;

    fn taken(txn: &str) -> Record {
        let (class, org) = ("status".to_owned(), "acme".to_owned());
        let trace = Some(Trace { at: 5, uid: "s".to_owned() });
        Record::Taken(Taken {
            txn: txn.to_owned(),
            class,
            org,
            dest: 3,
            deadline: 9,
            attempts: 2,
            ran: None,
            out: trace,
        })
    }

    // Guards against a kill in the middle of a write: what was whole before it must be read, the rest not.
    #[test]
    fn a_torn_tail_hides_nothing_before_it() {
        let mut bytes = BytesMut::new();
        taken("a").encode(b"\0any\xffbytes", &mut bytes);
        let first = bytes.len();
        Record::Over { txn: "a".to_owned(), at: 7 }.encode(b"", &mut bytes);
        for cut in 0..bytes.len() {
            let (records, whole) = replay(Bytes::copy_from_slice(&bytes[..cut]));
            assert_eq!((records.len(), whole), if cut < first { (0, 0) } else { (1, first) }, "cut at {cut}");
        }
        let (records, _) = replay(bytes.clone().freeze());
        assert_eq!(records[0], (taken("a"), Bytes::from_static(b"\0any\xffbytes")));
        bytes[first + FRAME + 6] ^= 1;
        assert_eq!(replay(bytes.freeze()).0.len(), 1, "a damaged record is not believed");
    }

    // Guards against a kind of record that is written and not read.
    #[test]
    fn every_kind_of_record_is_read_as_it_was_written() {
        let (txn, trace) = ("a\"b".to_owned(), Trace { at: i64::MAX, uid: "s".to_owned() });
        let news = News { rev: 3, all: true, targets: Vec::new(), origin: "consul:1".to_owned() };
        let records = [
            taken("a"),
            Record::Begun { txns: vec![txn.clone(), String::new()], trace },
            Record::Ran { txn: txn.clone() },
            Record::Unseen { txn: txn.clone() },
            Record::Missed { txn: txn.clone() },
            Record::Owed { txn: txn.clone(), at: -5, verdict: Verdict::Failed },
            Record::Owed { txn: txn.clone(), at: 5, verdict: Verdict::Returned { after_ms: 7 } },
            Record::Over { txn, at: 0 },
            Record::Map(news),
            Record::Superseded { discovery: "127.0.0.1:5".parse().expect("an address") },
            Record::ByHand { uid: "s".to_owned(), at: 6, out: true },
            Record::Wait { dest: 3, until: i64::MAX },
            Record::Stage { stage: Stage::Yielded },
            Record::Troubled { dests: vec![0, u64::MAX] },
        ];
        let mut bytes = BytesMut::new();
        records.iter().for_each(|record| record.encode(b"", &mut bytes));
        let (read, _) = replay(bytes.freeze());
        assert_eq!(read.into_iter().map(|(record, _)| record).collect::<Vec<_>>(), records);
    }

    // Guards against a folder over its limit: at no time may old file and new one together pass it.
    #[test]
    fn old_and_new_file_together_keep_to_the_limit() {
        let limit = 1 << 20;
        let mut space = Space::new(limit, 0);
        let mut sizes = Vec::new();
        for turn in 0..2000usize {
            let cost = 100 + turn * 7919 % 60_000;
            let live: usize = sizes.iter().sum();
            if space.admits(live, cost) {
                if space.is_short(live, cost) {
                    assert!(space.file + live + SLACK <= limit, "turn {turn}");
                    space.holds(live);
                }
                space.grew(cost);
                sizes.push(cost);
            } else {
                sizes.remove(turn % sizes.len());
            }
            assert!(space.file + SLACK <= limit, "turn {turn}");
        }
    }

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
            let txn = |record| if let Record::Taken(taken) = record { taken.txn } else { String::new() };
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

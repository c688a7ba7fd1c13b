//! The journal: what must outlast the process. Records and their bytes, the file they are in, and its space.
//!
//! A record is framed by its length and a checksum, so that a tail torn by a kill is told from a whole one.
//! When it has grown, the file is rewritten with what still counts; old and new together keep to the limit.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use orchidyoke_core::interface::Micros;
use orchidyoke_core::transport_map::News;
use serde::{Deserialize, Serialize};
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::net::SocketAddr;
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
    /// The destinations in trouble, all of them.
    Troubled {
        /// Their numbers.
        dests: Vec<u64>,
    },
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

/// The file itself.
pub struct Journal {
    path: PathBuf,
    spare: PathBuf,
    file: File,
    size: usize,
}

impl Journal {
    /// Opens the journal of a folder, cuts off a torn tail, and gives what is in it.
    pub fn open(folder: &Path) -> io::Result<(Self, Entries, usize)> {
        let (path, spare) = (folder.join("journal"), folder.join("journal.new"));
        // A rewrite that a kill cut short: the journal itself is still whole.
        match fs::remove_file(&spare) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error),
            _ => {}
        }
        let file = OpenOptions::new().create(true).append(true).open(&path)?;
        let (records, whole) = replay(fs::read(&path)?.into());
        file.set_len(whole as u64)?;
        Ok((Journal { path, spare, file, size: whole }, records, whole))
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
        let written = fs::write(&self.spare, bytes).and_then(|()| fs::rename(&self.spare, &self.path));
        written.inspect_err(|_| {
            let _ = fs::remove_file(&self.spare);
        })?;
        self.file = OpenOptions::new().append(true).open(&self.path)?;
        self.size = bytes.len();
        Ok(())
    }
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
        let (mut journal, _, _) = Journal::open(&folder).expect("opens");
        journal.append(&bytes("a")).expect("appends");
        journal.rewrite(&bytes("b")).expect("rewrites");
        journal.append(&bytes("c")).expect("appends");
        fs::write(folder.join("journal.new"), b"half").expect("writes");
        assert_eq!(journal.size(), 2 * bytes("b").len());
        let (_, records, whole) = Journal::open(&folder).expect("opens");
        assert_eq!(whole, journal.size());
        assert_eq!(records.iter().map(|r| &r.0).collect::<Vec<_>>(), [&taken("b"), &taken("c")]);
        assert!(!folder.join("journal.new").exists());
        fs::remove_dir_all(&folder).expect("cleans up");
    }
}

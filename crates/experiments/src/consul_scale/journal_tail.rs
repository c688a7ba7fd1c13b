//! Reads updates of the endpoint list from a forwarder's journal while it grows and is compacted.

use orchidyoke_core::endpoint_list::{EndpointList, EndpointState};
use orchidyoke_journal::{Record, replay};
use std::fs::File;
use std::io::Read;
use std::os::unix::fs::MetadataExt;
use std::path::PathBuf;

/// An update of an endpoint.
pub struct EndpointUpdate {
    /// Uid of the endpoint.
    pub uid: String,
    /// New state of the endpoint.
    pub state: EndpointState,
}

/// The open journal file. A compaction replaces the file under the journal's name by another one.
struct OpenFile {
    inode: u64,
    file: File,
}

/// A reader that follows a journal.
pub struct JournalTail {
    path: PathBuf,
    open: Option<OpenFile>,
    /// Bytes of an incomplete record at the end.
    rest: Vec<u8>,
    /// The list after all updates so far.
    pub list: EndpointList,
}

impl JournalTail {
    /// Creates a reader for the journal at this path. The file need not exist yet.
    pub fn new(path: PathBuf) -> Self {
        JournalTail { path, open: None, rest: Vec::new(), list: EndpointList::default() }
    }

    /// Reads the records written since the last call, applies their updates to the list and returns the updates.
    /// Returns no updates if the file cannot be read. A later call reads what this call cannot read.
    pub fn read_new(&mut self) -> Vec<EndpointUpdate> {
        self.reopen_if_replaced();
        let Some(open) = &mut self.open else { return Vec::new() };
        let mut new = Vec::new();
        if open.file.read_to_end(&mut new).is_err() {
            return Vec::new();
        }
        self.rest.append(&mut new);
        let (records, complete) = replay(self.rest.clone().into());
        self.rest.drain(..complete);
        let mut updates = Vec::new();
        for (record, _) in records {
            if let Record::EndpointList(update) = record {
                let endpoints = update.endpoints.iter();
                updates.extend(
                    endpoints.map(|listed| EndpointUpdate { uid: listed.uid.clone(), state: listed.state }),
                );
                self.list.apply(&update);
            }
        }
        updates
    }

    fn reopen_if_replaced(&mut self) {
        let inode = std::fs::metadata(&self.path).map(|metadata| metadata.ino()).ok();
        if self.open.as_ref().map(|open| open.inode) == inode {
            return;
        }
        self.open = inode.and_then(|inode| Some(OpenFile { inode, file: File::open(&self.path).ok()? }));
        self.rest.clear();
    }
}

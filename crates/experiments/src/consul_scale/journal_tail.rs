//! Follows a forwarder's journal as it grows and is compacted, for the updates of the endpoint list in it.

use orchidyoke_core::endpoint_list::{EndpointList, EndpointState};
use orchidyoke_journal::{Record, replay};
use std::fs::File;
use std::io::Read;
use std::os::unix::fs::MetadataExt;
use std::path::PathBuf;

/// An update of an endpoint.
pub struct EndpointUpdate {
    /// Its uid.
    pub uid: String,
    /// Its new state.
    pub state: EndpointState,
}

/// The file under the journal's name when it was opened; a compaction puts another one in its place.
struct OpenFile {
    inode: u64,
    file: File,
}

/// A journal that is followed.
pub struct JournalTail {
    path: PathBuf,
    open: Option<OpenFile>,
    /// The beginning of a record that is not complete.
    rest: Vec<u8>,
    /// The list after all updates so far.
    pub list: EndpointList,
}

impl JournalTail {
    /// Follows the journal at this path, which need not exist yet.
    pub fn new(path: PathBuf) -> Self {
        JournalTail { path, open: None, rest: Vec::new(), list: EndpointList::default() }
    }

    /// Reads what was written since the last call, and applies it to the list; gives the updates in it. What cannot be
    /// read now is read by a later call.
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

//! The order of requests that name the same message id while they are being read.
//!
//! A client may use the id of another client's request that is still arriving. The request whose head came first has the
//! id until it is submitted or gone. A later one waits for that, but only for as long as its client waits too.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Mutex, OwnedMutexGuard};
use tokio::time::{error::Elapsed, timeout};

/// Longest time for which a whole request waits for an earlier one with its id. It leaves time to answer the request
/// before its client gives up, 400 ms after it has sent it.
const MAX_WAIT: Duration = Duration::from_millis(250);

/// The ids in the requests that are being read, each with the lock that the first of its requests holds.
#[derive(Debug, Default)]
pub(super) struct ReadingOrder {
    locks: RefCell<HashMap<String, Arc<Mutex<()>>>>,
}

impl ReadingOrder {
    /// Registers a request whose head has been read. The request is registered until the result is dropped.
    pub fn register(self: &Rc<Self>, id: &str) -> Turn {
        let lock = self.locks.borrow_mut().entry(id.to_owned()).or_default().clone();
        let held = lock.clone().try_lock_owned().ok();
        Turn { order: self.clone(), id: id.to_owned(), lock, held }
    }
}

/// The place of one request among those with its id.
#[derive(Debug)]
pub(super) struct Turn {
    order: Rc<ReadingOrder>,
    id: String,
    lock: Arc<Mutex<()>>,
    /// The lock, if no earlier request with this id is being read.
    held: Option<OwnedMutexGuard<()>>,
}

impl Turn {
    /// Waits until the earlier requests with the same id are submitted or gone.
    ///
    /// # Errors
    ///
    /// An earlier request is still being read after [`MAX_WAIT`].
    pub async fn wait(&mut self) -> Result<(), Elapsed> {
        if self.held.is_none() {
            self.held = Some(timeout(MAX_WAIT, self.lock.clone().lock_owned()).await?);
        }
        Ok(())
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        self.held = None;
        let mut locks = self.order.locks.borrow_mut();
        // The table and this turn hold one reference each. Any other belongs to another request with this id.
        if Arc::strong_count(&self.lock) == 2 {
            locks.remove(&self.id);
        }
    }
}

#[cfg(test)]
mod tests;

//! The order of requests that name the same message id while they are being read.
//!
//! A client may use the id of another client's request that is still arriving. The request whose head came first has the
//! id until it is submitted or gone. A later one waits for that, but only for as long as its client waits too.
//!
//! Other processes on the folder read requests as well during an upgrade. So the first request of this process also
//! reserves its id among the processes, until it is answered. A request that arrives at once while no other process is
//! known needs no reservation: whichever process appends its message first has the id.

use crate::log;
use orchidyoke_journal::{IdReservation, IdReservations};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Mutex, OwnedMutexGuard};
use tokio::time::{error::Elapsed, sleep, timeout};

/// Longest time for which a whole request waits for an earlier one with its id. It leaves time to answer the request
/// before its client gives up, 400 ms after it has sent it.
const MAX_WAIT: Duration = Duration::from_millis(250);
/// Interval of trying to reserve an id that another process has reserved.
const RESERVE_INTERVAL: Duration = Duration::from_millis(5);

/// The ids in the requests that are being read, each with the lock that the first of its requests holds.
#[derive(Debug, Default)]
pub(super) struct ReadingOrder {
    locks: RefCell<HashMap<String, Arc<Mutex<()>>>>,
    /// The ids reserved among the processes of the folder; `None` if no other process can read requests.
    reservations: Option<Rc<IdReservations>>,
    /// Whether an error of a reservation was logged. Only the first one is.
    has_logged_error: Cell<bool>,
}

impl ReadingOrder {
    /// Returns the order of requests in a process that shares its folder's reservations with others.
    pub fn shared(reservations: Option<Rc<IdReservations>>) -> Self {
        ReadingOrder { reservations, ..ReadingOrder::default() }
    }

    /// Registers a request whose head has been read. The request is registered until the result is dropped.
    pub fn register(self: &Rc<Self>, id: &str) -> Turn {
        let lock = self.locks.borrow_mut().entry(id.to_owned()).or_default().clone();
        let held = lock.clone().try_lock_owned().ok();
        Turn { order: self.clone(), id: id.to_owned(), lock, held, reservation: None }
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
    reservation: Option<IdReservation>,
}

impl Turn {
    /// Waits until the earlier requests with the same id are submitted or gone.
    ///
    /// # Errors
    ///
    /// An earlier request is still being read after [`MAX_WAIT`].
    pub async fn wait(&mut self) -> Result<(), Elapsed> {
        if self.held.is_some() && (!self.has_other_processes() || self.reserve()) {
            return Ok(());
        }
        timeout(MAX_WAIT, self.acquire()).await
    }

    /// Reserves the id for a request whose body is still arriving, if it is the first with this id.
    pub fn reserve_while_arriving(&mut self) {
        if self.held.is_some() {
            self.reserve();
        }
    }

    fn has_other_processes(&self) -> bool {
        self.order.reservations.as_ref().is_some_and(|reservations| reservations.has_other_processes())
    }

    /// Takes the reservation of the id among the processes, to be dropped when the request is answered.
    pub fn take_reservation(&mut self) -> Option<IdReservation> {
        self.reservation.take()
    }

    async fn acquire(&mut self) {
        if self.held.is_none() {
            self.held = Some(self.lock.clone().lock_owned().await);
        }
        while self.has_other_processes() && !self.reserve() {
            sleep(RESERVE_INTERVAL).await;
        }
    }

    /// Reserves the id among the processes. Returns `false` if another process has reserved it.
    fn reserve(&mut self) -> bool {
        let Some(reservations) = self.order.reservations.as_ref().filter(|_| self.reservation.is_none())
        else {
            return true;
        };
        match reservations.reserve(&self.id) {
            Ok(reservation) => self.reservation = reservation,
            Err(error) => {
                // No two processes accept the id, but which of them does is left to chance.
                if !self.order.has_logged_error.replace(true) {
                    log!("cannot reserve an id among the processes: error={error}");
                }
                return true;
            }
        }
        self.reservation.is_some()
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

//! The memory for clients' requests: a number of bytes that requests reserve before they are read.
//!
//! Reservations are granted in the order in which they were asked for. A reservation has one owner and ends when it is
//! dropped, whatever ends its request.

use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// The bytes that requests may hold together.
pub struct RequestMemory {
    available: Arc<Semaphore>,
    limit_bytes: Cell<usize>,
    counts: Rc<Counts>,
}

/// Numbers of bytes, which the reservations keep up to date.
#[derive(Debug, Default)]
struct Counts {
    reserved: Cell<usize>,
    /// Bytes that requests wait for.
    awaited: Cell<usize>,
    /// Bytes that are to be taken out of use when they are given back, because the limit was lowered.
    surplus: Cell<usize>,
}

impl RequestMemory {
    /// Returns a memory of `limit_bytes`.
    pub fn new(limit_bytes: usize) -> Self {
        let limit_bytes = limit_bytes.min(Semaphore::MAX_PERMITS);
        RequestMemory {
            available: Arc::new(Semaphore::new(limit_bytes)),
            limit_bytes: Cell::new(limit_bytes),
            counts: Rc::default(),
        }
    }

    /// Returns a memory without a limit.
    pub fn unlimited() -> Self {
        RequestMemory::new(usize::MAX)
    }

    /// Changes the limit, in bytes. Bytes that are reserved stay so; a lower limit takes effect as they are given back.
    pub fn set_limit(&self, limit_bytes: usize) {
        let limit_bytes = limit_bytes.min(Semaphore::MAX_PERMITS);
        let former = self.limit_bytes.replace(limit_bytes);
        let surplus = &self.counts.surplus;
        if limit_bytes >= former {
            let added = limit_bytes - former;
            let kept = added.min(surplus.get());
            surplus.set(surplus.get() - kept);
            self.available.add_permits(added - kept);
        } else {
            let removed = former - limit_bytes;
            let forgotten = self.available.forget_permits(removed);
            surplus.set(surplus.get() + removed - forgotten);
        }
    }

    /// Returns the bytes that are reserved.
    pub fn reserved_bytes(&self) -> usize {
        self.counts.reserved.get()
    }

    /// Returns the bytes that have to be given back until no request waits.
    pub fn missing_bytes(&self) -> usize {
        let awaited = self.counts.awaited.get();
        if awaited == 0 {
            return 0;
        }
        (self.reserved_bytes() + awaited).saturating_sub(self.limit_bytes.get())
    }

    /// Reserves bytes if they are available and no earlier request waits.
    pub fn try_reserve(&self, bytes: usize) -> Option<MemoryPermit> {
        if self.counts.awaited.get() > 0 {
            return None;
        }
        let permit = self.available.clone().try_acquire_many_owned(to_permits(bytes)).ok()?;
        Some(MemoryPermit::new(permit, self.counts.clone()))
    }

    /// Waits until bytes are available and reserves them.
    pub fn reserve(&self, bytes: usize) -> impl Future<Output = MemoryPermit> + use<> {
        let waiting = Waiting::new(self.counts.clone(), bytes);
        let available = self.available.clone();
        async move {
            let permit = available.acquire_many_owned(to_permits(bytes)).await;
            let permit = permit.expect("the semaphore is never closed");
            MemoryPermit::new(permit, waiting.counts.clone())
        }
    }
}

fn to_permits(bytes: usize) -> u32 {
    u32::try_from(bytes).unwrap_or(u32::MAX)
}

/// Bytes that a request waits for. They count as awaited until this value is dropped.
struct Waiting {
    counts: Rc<Counts>,
    bytes: usize,
}

impl Waiting {
    fn new(counts: Rc<Counts>, bytes: usize) -> Self {
        counts.awaited.set(counts.awaited.get() + bytes);
        Waiting { counts, bytes }
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.counts.awaited.set(self.counts.awaited.get() - self.bytes);
    }
}

/// Reserved bytes. They are given back when this value is dropped.
#[derive(Debug)]
pub struct MemoryPermit {
    permit: OwnedSemaphorePermit,
    counts: Rc<Counts>,
}

impl MemoryPermit {
    fn new(permit: OwnedSemaphorePermit, counts: Rc<Counts>) -> Self {
        counts.reserved.set(counts.reserved.get() + permit.num_permits());
        MemoryPermit { permit, counts }
    }

    /// Returns the number of bytes.
    pub fn bytes(&self) -> usize {
        self.permit.num_permits()
    }
}

impl Drop for MemoryPermit {
    fn drop(&mut self) {
        let bytes = self.bytes();
        self.counts.reserved.set(self.counts.reserved.get() - bytes);
        let surplus = self.counts.surplus.get().min(bytes);
        if let Some(surplus_permit) = self.permit.split(surplus) {
            self.counts.surplus.set(self.counts.surplus.get() - surplus);
            surplus_permit.forget();
        }
    }
}

#[cfg(test)]
mod tests;

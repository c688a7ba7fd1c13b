//! Periodic duties shared among forwarders, one owner each, over the sessions and locks of a store such as Consul's.
//!
//! These modules have no I/O and no clock: [`placement`] says who should have which duty, by the hashing of [`rendezvous`],
//! [`state_machine`] who has it and until when, and [`fencing`] which of two owners' results counts. [`manager`] carries that out on Consul. `docs/leases.md` has the protocol and what it rests on.

pub mod fencing;
pub mod manager;
pub mod state_machine;
pub mod placement;
pub mod rendezvous;

/// A duty, by its place in the settings' list.
pub type Duty = u32;

/// Where a lock stands in the order of all writes to the store. A later owner's is higher: it is the store's own index
/// at the write that took the lock, which nothing takes back, the removal of the key included.
pub type Token = u64;

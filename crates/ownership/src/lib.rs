//! Which forwarder of a region delivers a destination's messages: its owner.
//!
//! Nothing here opens a connection, reads a clock or starts a thread. [`member`] is one forwarder as its region's
//! registry has it, [`view`] the members of a region at one version with the owner of each destination, and
//! [`partition`] the same owners for a list of destinations, kept from one view to the next.
//! `docs/ownership.md` has the protocol, its bounds, and what it was compared with.

pub mod member;
pub mod partition;
pub mod view;

pub use member::{EntryError, Member, Region};
pub use partition::Partition;
pub use view::{View, ViewError};

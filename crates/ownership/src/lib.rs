//! Which forwarder of a region delivers a destination's messages: its owner.
//!
//! Nothing here opens a connection, reads a clock or starts a thread. [`member`] is one forwarder as its region's
//! registry has it, [`view`] the members of a region at one version with the owner of each destination, [`ownership_table`] the
//! same owners for a list of destinations, kept from one view to the next, and [`member_state`] what a forwarder does by all that
//! with a message: deliver it, at which rate, or hand it over.
//! `docs/ownership.md` has the protocol, its bounds, and what it was compared with.

pub mod member;
pub mod ownership_table;
pub mod member_state;
pub mod view;

pub use member::{EntryError, Member, Region};
pub use ownership_table::{Move, Partition};
pub use member_state::{ColdReason, Rate, Role, Roles, Terms};
pub use view::{StaleView, View, ViewError};

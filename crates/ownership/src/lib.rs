//! Which forwarder of a region delivers a destination's messages: its owner.
//!
//! No I/O, no clock, no threads. [`member`] is one forwarder as its region's registry has it; [`view`] the members at one
//! version, with the owner of each destination; [`ownership_table`] the owners of a list of destinations, updated from
//! view to view; [`member_state`] decides for one forwarder whether it delivers a message, at which rate ([`delivery`]),
//! or hands it over. `docs/ownership.md` has the protocol and its bounds.

#![deny(missing_docs)]

pub mod config;
pub mod delivery;
pub mod member;
pub mod member_state;
pub mod ownership_table;
pub mod view;

pub use config::{OwnershipConfig, OwnershipConfigError};
pub use delivery::{DeliveryDecision, Rate, SlowStartReason};
pub use member::{EntryError, Member, Region};
pub use member_state::MemberState;
pub use ownership_table::{OwnershipChange, OwnershipTable};
pub use view::{StaleView, View, ViewError, ViewVersion};

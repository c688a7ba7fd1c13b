//! Determines which forwarder of a region delivers a destination's messages. That forwarder is the destination's owner.
//!
//! The crate has no I/O, no clock and no threads. [`member`] describes one forwarder as stored in its region's
//! registry. [`view`] has the members at one version, and computes the owner of each destination. [`ownership_table`]
//! keeps the owners of a list of destinations and updates them from view to view. [`member_state`] decides for one
//! forwarder whether it delivers a message, at which rate ([`delivery`]), or hands the message over.
//! `docs/ownership.md` describes the protocol and its bounds.

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

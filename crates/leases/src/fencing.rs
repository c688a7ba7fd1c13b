//! Rejects results of earlier lease holders by their fencing tokens.
//!
//! A holder that was suspended in the middle of an action completes the action after its lease has passed to another
//! holder. A component that stores or uses the results of actions keeps a [`FencingGuard`] and calls
//! [`FencingGuard::accept`] before it uses each result.

use crate::{FencingToken, LeaseId};
use std::collections::BTreeMap;

/// The highest fencing token seen of each lease.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct FencingGuard {
    highest: BTreeMap<LeaseId, FencingToken>,
}

impl FencingGuard {
    /// Returns whether a result under this token is accepted. After a token was accepted, all lower tokens of its lease
    /// are rejected.
    pub fn accept(&mut self, lease: LeaseId, token: FencingToken) -> bool {
        let highest = self.highest.entry(lease).or_insert(token);
        let accepted = token >= *highest;
        *highest = token.max(*highest);
        accepted
    }

    /// Returns the highest token seen of a lease, or `None` if no token of it was seen.
    pub fn highest(&self, lease: LeaseId) -> Option<FencingToken> {
        self.highest.get(&lease).copied()
    }
}

#[cfg(test)]
mod tests;

//! Rejects results of earlier lease holders, by their fencing tokens.
//!
//! A holder that was suspended in the middle of an action finishes it after its lease has passed to another. Whoever
//! stores or uses results of actions keeps a [`FencingGuard`] and asks it before each.

use crate::{FencingToken, LeaseId};
use std::collections::BTreeMap;

/// The highest fencing token seen of each lease.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct FencingGuard {
    highest: BTreeMap<LeaseId, FencingToken>,
}

impl FencingGuard {
    /// Whether a result under this token is accepted. An accepted token bars all lower ones of its lease.
    pub fn accept(&mut self, lease: LeaseId, token: FencingToken) -> bool {
        let highest = self.highest.entry(lease).or_insert(token);
        let accepted = token >= *highest;
        *highest = token.max(*highest);
        accepted
    }

    /// The highest token seen of a lease, if any was.
    pub fn highest(&self, lease: LeaseId) -> Option<FencingToken> {
        self.highest.get(&lease).copied()
    }
}

#[cfg(test)]
mod tests;

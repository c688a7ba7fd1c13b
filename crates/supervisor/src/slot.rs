//! The two places for a process, so that a successor can start beside the forwarder that it replaces.

use std::ops::{Index, IndexMut};

/// A place for one process, with a console of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Slot {
    /// Slot 0, that of the first forwarder.
    First,
    /// Slot 1.
    Second,
}

impl Slot {
    /// Both.
    pub const ALL: [Slot; 2] = [Slot::First, Slot::Second];

    /// Its number: 0 or 1.
    pub fn index(self) -> usize {
        match self {
            Slot::First => 0,
            Slot::Second => 1,
        }
    }

    /// The other one.
    pub fn other(self) -> Slot {
        match self {
            Slot::First => Slot::Second,
            Slot::Second => Slot::First,
        }
    }
}

/// One value for each slot.
#[derive(Debug, Default)]
pub struct PerSlot<T>([T; 2]);

impl<T> PerSlot<T> {
    /// The values, first slot first.
    pub fn iter(&self) -> std::slice::Iter<'_, T> {
        self.0.iter()
    }
}

impl<T> Index<Slot> for PerSlot<T> {
    type Output = T;

    fn index(&self, slot: Slot) -> &T {
        &self.0[slot.index()]
    }
}

impl<T> IndexMut<Slot> for PerSlot<T> {
    fn index_mut(&mut self, slot: Slot) -> &mut T {
        &mut self.0[slot.index()]
    }
}

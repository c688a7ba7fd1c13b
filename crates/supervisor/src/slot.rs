//! The two slots for a process. There are two so that a successor can start beside the forwarder that it replaces.

use std::ops::{Index, IndexMut};

/// A slot for one process. Each slot has its own console address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Slot {
    /// Slot 0, in which the first forwarder starts.
    First,
    /// Slot 1.
    Second,
}

impl Slot {
    /// Both slots, in the order of their numbers.
    pub const ALL: [Slot; 2] = [Slot::First, Slot::Second];

    /// Returns the number of the slot, 0 or 1.
    pub fn index(self) -> usize {
        match self {
            Slot::First => 0,
            Slot::Second => 1,
        }
    }

    /// Returns the other slot.
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
    /// Returns an iterator over the values, that of the first slot first.
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

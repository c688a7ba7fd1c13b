//! Experiments that measure how a cost grows with a size: what they share, and one module for each.

pub mod budget;
pub mod control;
pub mod fit;
pub mod process;

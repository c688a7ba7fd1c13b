//! The decision module as it was when each step walked all destinations, and random events to compare with it.
#![allow(dead_code)]

pub mod control;
pub mod world;

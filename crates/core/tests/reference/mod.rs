//! A reference implementation of the controller, which examines all destinations in each step, and random events to
//! compare it with the controller.
#![allow(dead_code)]

pub mod control;
pub mod world;

//! The cases that are scripts.

pub mod slow_readers;
pub mod unregistered;

//! The cases that are scripts.

pub mod busy_stop;
pub mod idle_readers;
pub mod large_prompts;
pub mod restored_store;
pub mod sized_streams;
pub mod slow_readers;
pub mod torn_entry;
pub mod unregistered;

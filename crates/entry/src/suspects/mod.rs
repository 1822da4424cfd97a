//! Suspects: requests that were running when an engine died.
//!
//! Runner processes report engine deaths on every link. The records are also written to an object
//! in the platform's store, so that a daemon that started later or has no link to the runner
//! learns of them.

mod records;
mod store;

pub use records::Suspects;
pub use store::run;

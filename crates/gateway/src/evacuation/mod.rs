//! Availability zones whose servers get nothing new.
//!
//! The operator evacuates a zone by an object in the store, and takes that back by removing it.
//! Every daemon follows these objects as it does the other [kinds](crate::freshness::Kind) and
//! applies them by itself: [`Table`] holds the zones of its copy. A process that did not run for a
//! while may have missed an evacuation, so [`Hold`] keeps its requests back for a moment until the
//! copy has been confirmed.

mod difference;
mod hold;
mod table;

pub use difference::Difference;
pub use hold::Hold;
pub use hold::MAX_HOLD;
pub use table::Table;

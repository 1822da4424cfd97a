//! Differences between two configurations.
//!
//! A [`Difference`] is for operators, a [`Delta`] for processes that hold the older version.

mod change;
mod delta;
mod difference;

pub use change::Change;
pub use change::Field;
pub use change::Kind;
pub use delta::Delta;
pub use delta::Mismatch;
pub use difference::Difference;

//! Differences between two configurations.
//!
//! A [`Difference`] describes the changes for operators; a [`Delta`] is applied by processes to an
//! older version.

mod change;
mod delta;
mod difference;

pub use change::Change;
pub use change::Field;
pub use change::Kind;
pub use delta::Delta;
pub use delta::Mismatch;
pub use difference::Difference;

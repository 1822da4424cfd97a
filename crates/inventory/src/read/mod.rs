//! Parsing of register and rules files.
//!
//! A [`Source`] keeps the text of a file together with its name, so that a problem that
//! [`check`](crate::check) finds after parsing can still be reported with its line.

mod error;
mod locate;
mod source;

pub use error::Error;
pub use source::Position;
pub use source::Source;

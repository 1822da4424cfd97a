//! Reading register and rules files.
//!
//! A [`Source`] keeps the text of a file together with its name, so that a problem found later by
//! the whole check still names the line that it stands on.

mod error;
mod locate;
mod source;

pub use error::Error;
pub use source::Position;
pub use source::Source;

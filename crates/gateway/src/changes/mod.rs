//! Changes of objects in the store, as a daemon applies them and passes them on.
//!
//! An [`Update`] comes from the store or from a peer and is applied to the daemon's copy. A
//! [`History`] keeps the last changes of a kind, so that a peer whose copy is only a little older
//! gets the changes and not the whole copy.

mod change;
mod history;
mod update;

pub use change::Change;
pub use history::History;
pub use update::Content;
pub use update::Update;

//! Attempts of a request, with the life cycle in the type.
//!
//! An [`Attempt`] begins as [`Unsent`]. Sending it turns it into [`Sent`], from where only the
//! runner's own word leads to [`Refused`]. Only `Unsent` and `Refused` yield a
//! [`NotStarted`] proof, and only that proof makes an outcome of "not run".

mod number;
mod proof;
mod state;

pub use number::Number;
pub use proof::NotStarted;
pub use state::Attempt;
pub use state::Refused;
pub use state::Sent;
pub use state::Unsent;

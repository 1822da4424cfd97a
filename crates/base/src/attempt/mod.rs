//! Attempts to run a request, with the state of an attempt as a type parameter.
//!
//! An [`Attempt`] begins as [`Unsent`] and becomes [`Sent`] when it is sent. It becomes [`Refused`]
//! only when the runner itself reports the refusal. Only `Unsent` and `Refused` attempts yield a
//! [`NotStarted`] proof, which is required to create the outcome "not run".

mod number;
mod proof;
mod state;

pub use number::Number;
pub use proof::NotStarted;
pub use state::Attempt;
pub use state::Refused;
pub use state::Sent;
pub use state::Unsent;

//! Runs an admitted request until it has its terminal outcome.
//!
//! A [`Driver`] claims the idempotency key of a non-idempotent request, chooses runners, retries
//! attempts that were refused or lost, and sends the answer as [`Output`] to the HTTP handler.
//! A prompt that does not fit into one engine is computed on several runners.

mod driver;
mod long;
mod output;
mod permit;
mod repeat;
mod run;

pub use driver::Driver;
pub use output::Chunk;
pub use output::End;
pub use output::Output;
pub use output::Position;

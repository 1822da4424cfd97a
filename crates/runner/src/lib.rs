//! The process beside each backend server.
//!
//! It is the only one that talks to its engine or plain service, and so enforces the promises
//! about it: admission against memory, refusal while leaving, one start for each attempt,
//! cancellation, and release of what a stream holds.
//!
//! The way of a request: a [`link`] session reads a start and its body, asks the [`gate`] for
//! a place and [`admission`] for memory, and creates a [`job`]. The job's [`work`] calls the backend server and appends the
//! answer to the job's buffer. Each subscription copies the buffer to one link from an offset on,
//! so a second entry daemon can continue a stream whose first entry daemon died.

pub mod admission;
pub mod gate;
pub mod http;
pub mod job;
pub mod link;
pub mod process;
pub mod reconcile;
pub mod settings;
pub mod suspects;
pub mod work;

pub use process::Process;
pub use settings::Settings;

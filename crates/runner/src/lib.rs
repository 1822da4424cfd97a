//! The runner process, which runs beside each backend server.
//!
//! No other process talks to its engine or plain service. The runner can therefore guarantee that
//! requests fit into the engine's memory, that none is accepted while the process drains, that
//! each attempt starts at most once, that a cancelled request stops, and that the memory of an
//! ended stream is freed.
//!
//! A [`link`] session reads a `Start` frame and its body, obtains a permit from the [`gate`] and
//! memory from the [`memory`] pool, and creates a [`job`]. The job's [`work`] calls the backend
//! server and appends the answer to the job's buffer. Each subscription copies the buffer to one
//! link, starting at a given offset, so a second entry daemon can resume a stream after the first
//! one died.

pub mod gate;
pub mod http;
pub mod job;
pub mod link;
pub mod memory;
pub mod orders;
pub mod process;
pub mod reconcile;
pub mod settings;
pub mod suspects;
pub mod work;

pub use process::Process;
pub use settings::Settings;

//! Isolation of requests that may crash engines.
//!
//! A request that was running when an engine died is a suspect. The [`Monitor`] of a runner process
//! tracks the requests on its engine: it runs at most one suspect at a time and, when the engine
//! dies, creates a [`Death`] that lists them. If an engine dies while it runs a suspect, the death
//! confirms that suspect as its cause, and the request is refused until its record expires; the other requests
//! on the engine only become suspects. A suspect that receives its complete response is cleared of
//! the deaths recorded so far.
//!
//! Each entry daemon keeps a [`Registry`], which merges the reports of runner processes, other
//! daemons and the store.

pub mod death;
mod document;
mod monitor;
mod registry;

pub use death::Death;
pub use death::Involved;
pub use document::Document;
pub use monitor::End;
pub use monitor::Monitor;
pub use registry::RETENTION;
pub use registry::Record;
pub use registry::Registry;
pub use registry::Standing;

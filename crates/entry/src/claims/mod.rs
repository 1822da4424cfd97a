//! Claims of non-idempotent requests at the edge: the store, the clocks and the waiting calls.
//!
//! The decisions are those of [`kumquattiller_claims::Writer`]; this module feeds it.

mod calls;
mod service;
mod store;

pub use calls::Claims;
pub use calls::Inbox;
pub use service::run;

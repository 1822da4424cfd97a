//! Claims on the idempotency keys of non-idempotent requests.
//!
//! [`Claims`] is the interface for requests; [`run`] is the task behind it. The task passes
//! claims, clock readings and answers of the store to a [`kumquattiller_claims::Writer`], which
//! makes the decisions, and executes the actions that the writer returns.

mod calls;
mod service;
mod store;

pub use calls::Claims;
pub use calls::Inbox;
pub use service::run;

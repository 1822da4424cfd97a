//! Observability of a process: logs, metrics, traces and the reasons of its decisions.
//!
//! - [`logs`] sets up `env_logger`. Log records carry key-value pairs, such as the request id.
//! - [`metrics`] defines all metric families and encodes them for `/metrics`.
//! - [`traces`] opens a span for each hop of a request. The context is propagated in the W3C
//!   format: in the header `traceparent` over HTTP, in the start frame over links.
//! - [`explain`] stores the decisions about recent requests, so that an operator can find out why
//!   a request was handled as it was.
//!
//! The tasks of a process share its metrics and decisions through a [`Recorder`].

pub mod explain;
pub mod logs;
pub mod metrics;
mod recorder;
pub mod traces;

pub use recorder::Recorder;

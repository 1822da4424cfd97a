//! What a process tells of itself: logs, metrics, traces and the reasons of its decisions.
//!
//! - [`logs`] sets up `env_logger`; records carry key-values, among them the request id.
//! - [`metrics`] is the one list of metric families, encoded for `/metrics`.
//! - [`traces`] opens a span for each hop. The context travels in the W3C form: over HTTP in
//!   the header `traceparent`, over links in the start frame.
//! - [`explain`] keeps the decisions about recent requests, so that an operator can ask why
//!   something happened to one of them.
//!
//! [`Recorder`] holds the metrics and the decisions of a process for all its tasks.

pub mod explain;
pub mod logs;
pub mod metrics;
mod recorder;
pub mod traces;

pub use recorder::Recorder;

//! Distributed traces, with one span for each hop of a request.
//!
//! `fastrace` records nothing until [`export`] is called, so spans cost very little without an
//! exporter.

mod context;
mod exporter;

pub use context::Context;
pub use context::HEADER;
pub use exporter::Error;
pub use exporter::export;
pub use exporter::flush;

//! Metrics that a process exposes at `/metrics`.

mod family;
mod label;

pub use family::Metrics;
pub use label::LinkKind;
pub use label::OutcomeKind;

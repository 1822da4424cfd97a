//! Metrics for `/metrics`.

mod family;
mod label;

pub use family::Metrics;
pub use label::LinkKind;
pub use label::OutcomeKind;

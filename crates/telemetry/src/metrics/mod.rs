//! Metrics for `/metrics`.

mod band;
mod family;
mod label;

pub use band::Band;
pub use family::Metrics;
pub use label::LinkKind;
pub use label::OutcomeKind;

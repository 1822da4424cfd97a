//! Carries out orders beside an engine.

mod machine;
mod number;
mod order;
mod refusal;
mod report;

pub use machine::Executor;
pub use number::Number;
pub use order::Order;
pub use refusal::Refusal;
pub use report::Report;

//! Execution of orders on one engine.
//!
//! An [`Executor`] runs in the runner process of the engine. It compares the engine's state with
//! the last accepted [`Order`] and returns the commands that bring the engine to its target.

mod machine;
mod number;
mod order;
mod reconciliation;
mod refusal;

pub use machine::Executor;
pub use number::Number;
pub use order::Order;
pub use reconciliation::Reconciliation;
pub use refusal::Refusal;

//! Orders that bring engines to the desired state, issued by the holder of a lease.
//!
//! Operators configure as rules which models and adapters engines are to have loaded. At any time
//! one entry daemon, the holder of a [`lease`] in the platform's store, turns the rules into
//! orders: [`plan::targets`] computes a [`plan::Target`] for each runner, and
//! [`plan::Plan::advance`] orders a few runners at a time to change, within the rate limit of the
//! weight store and so that enough runners of each service stay available. Each plan carries the
//! [`Fencing`] token of the lease and is written to the store by a conditional update before it is
//! sent.
//!
//! The [`executor::Executor`] of each engine rejects orders older than the newest one it accepted,
//! sends commands to the engine one at a time, and reverts manual changes to the engine.
//!
//! Nothing in this crate performs I/O or reads a clock.

pub mod executor;
mod fencing;
pub mod lease;
pub mod plan;

pub use fencing::Fencing;

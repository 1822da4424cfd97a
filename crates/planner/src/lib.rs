//! Desired engine state, the store lease and fenced orders.
//!
//! Operators say in the rules what engines are to have loaded. One entry daemon at a time, the
//! holder of a [`lease`] in the platform's store, turns that into orders: [`plan::targets`]
//! computes a [`plan::Target`] for each runner, and [`plan::Plan::advance`] moves a few runners
//! at a time towards it, within the pace of the weight store and with capacity kept. Each plan
//! carries the lease's [`Fencing`] number and is committed by conditional update before it is
//! sent. Beside each engine an [`executor::Executor`] refuses what is older than what it has
//! carried out, sends commands to the engine one at a time, and puts back what was changed by
//! hand.
//!
//! Nothing here does I/O or reads a clock.

pub mod executor;
mod fencing;
pub mod lease;
pub mod plan;

pub use fencing::Fencing;

//! Prompts that do not fit into one engine.
//!
//! Memory is reserved on several engines, all or nothing ([`Allocation`]). The prompt is cut into
//! segments; all but the last are computed one after the other, each with the KV cache of those
//! before it, and the engine with the most free memory computes the last one and the answer.
//! Dropping the [`Allocation`] releases all memory, however the attempt ended.

mod allocation;
mod prefill;
mod reserve;

pub use allocation::Allocation;

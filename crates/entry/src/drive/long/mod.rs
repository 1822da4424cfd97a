//! Prompts that are larger than an engine.
//!
//! Memory is set aside on several engines, all or nothing ([`Holding`]). The prompt is cut into
//! segments; all but the last are computed one after the other, each with the KV of those
//! before it, and the engine with the most room computes the last one and the answer. Whatever
//! happens, everything is given back when the [`Holding`] is dropped.

mod holding;
mod prefill;
mod reserve;

pub use holding::Holding;

//! Admission control in the runner process, which owns the memory of one engine.
//!
//! An entry daemon routes by a stale view, so the [`Gate`] has the final decision. It starts a
//! request when the engine's memory has room and the bound on long prefill allows it. Otherwise it
//! queues the request if it can still finish before its deadline, or else refuses it at once with
//! an error kind and an estimated retry delay.
//!
//! Short prompts go first. To let long ones start in time too, a waiting request ages: once it has
//! used up a fraction of its slack, memory that other requests release is kept for it.

mod action;
mod estimate;
mod gate;
mod item;
mod limits;
pub(crate) mod order;

pub use action::Action;
pub use action::Refusal;
pub use action::Verdict;
pub use gate::Gate;
pub use item::Item;
pub use limits::Limits;

//! Admission in the runner process, the owner of one engine's memory.
//!
//! An entry daemon's view is late and only proposes; the [`Gate`] decides. It starts a request
//! when the engine's memory holds it and the bound on long prefill permits, holds it while it can
//! still end before its deadline, and otherwise refuses it at once with a typed kind and an honest
//! time to try again.
//!
//! Short prompts go first. A waiting request ages: once a share of its slack is used up, memory
//! that others give back is kept for it, so that long ones start in time too.

mod action;
mod estimate;
mod gate;
mod item;
mod limits;
mod order;

pub use action::Action;
pub use action::Refusal;
pub use action::Verdict;
pub use gate::Gate;
pub use item::Item;
pub use limits::Limits;

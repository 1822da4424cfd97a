//! Prompts larger than one engine.
//!
//! The entry daemon reserves memory on several engines of one availability zone, all or nothing. It
//! requests the parts one after the other in the order of the runner ids. The order is the same in
//! every daemon, so reservations that need the same engines cannot form a cycle and deadlock. Each
//! attempt has a time limit. When it passes, or an engine refuses or fails, everything is released
//! and the next attempt starts after a backoff. Once all parts are granted, the engines compute the
//! prompt in segments, and each passes its KV cache on to the next.

mod plan;
mod reservation;
mod segment;

pub use plan::Part;
pub use plan::TooLarge;
pub use plan::plan;
pub use plan::usable_memory;
pub use reservation::Action;
pub use reservation::Event;
pub use reservation::Reservation;
pub use segment::Segment;
pub use segment::split_prompt;

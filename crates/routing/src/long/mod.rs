//! Prompts larger than one engine.
//!
//! The entry daemon reserves memory on several engines of one availability zone, all or nothing.
//! It asks them one after the other in the order of their ids, which is the same for every daemon:
//! two reservations that want the same engines wait for each other in one direction only, so they
//! cannot deadlock. Each try has a time limit; when it passes, or an engine refuses or dies,
//! everything is released and the next try begins after a back-off. With all parts granted the
//! prompt is computed in segments, the KV of which passes from engine to engine.

mod plan;
mod reservation;
mod segment;

pub use plan::Part;
pub use plan::TooLarge;
pub use plan::plan;
pub use plan::usable;
pub use reservation::Action;
pub use reservation::Event;
pub use reservation::Reservation;
pub use segment::Segment;
pub use segment::cut;

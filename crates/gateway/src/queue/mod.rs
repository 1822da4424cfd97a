//! Waiting of prompts that the servers have no room for.
//!
//! The decisions are those of [`kumquattiller_routing::queue`]. This module connects them to the
//! gateway: a [`Ticket`] is the place of one request, and [`Shared`] wakes those that wait when a
//! request ends, a server joins or a peer reports room. Only prompts that exceed the memory of one
//! engine enter the queue, since the placement declines no others.

mod shared;
mod ticket;

pub use shared::InFlight;
pub use shared::Shared;
pub use ticket::Ticket;

/// Fraction of its target latency for which a request waits for room on the servers. The rest is
/// for its prefill, which takes longer on busy servers.
pub const WAIT_FRACTION: f64 = 0.35;

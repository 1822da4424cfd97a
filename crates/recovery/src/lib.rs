//! Retries, stream resumption and requests that crash backend servers.
//!
//! What an entry daemon does after an attempt went wrong:
//!
//! - [`retry`] decides whether an idempotent request gets another attempt, and when. Attempts that
//!   may have started draw on a budget that successes fill, so that retries cannot multiply the
//!   load of a fleet in trouble.
//! - [`stream`] accepts the frames of one attempt in order, asks for a resumption after a gap, and
//!   calls an answer complete only when its total agrees.
//! - [`suspect`] remembers by fingerprint which requests ran when an engine died, runs such
//!   requests apart from each other, and refuses them after the second death.
//!
//! All are pure: events, a [`Moment`](kumquattiller_base::time::Moment) and a seeded generator go
//! in, decisions come out.

pub mod retry;
pub mod stream;
pub mod suspect;

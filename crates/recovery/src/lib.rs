//! Retries, stream resumption and isolation of requests that crash backend servers.
//!
//! An entry daemon uses these modules when an attempt fails:
//!
//! - [`retry`] decides whether and when an idempotent request is attempted again. Retries of
//!   attempts that may have started are limited by a budget that grows with successful requests,
//!   so that retries cannot multiply the load of an overloaded fleet.
//! - [`stream`] accepts the frames of one attempt in order, requests resumption after a gap, and
//!   reports a response as complete only when its total length matches what was delivered.
//! - [`suspect`] records by fingerprint which requests were running when an engine died, never
//!   runs two of them on the same engine, and refuses a request after it was involved in a second
//!   death.
//!
//! The modules perform no I/O and read no clock: callers pass in events, the current
//! [`Moment`](kumquattiller_base::time::Moment) and a random number generator.

pub mod retry;
pub mod stream;
pub mod suspect;

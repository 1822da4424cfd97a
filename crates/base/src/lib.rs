//! Ids, sizes, times, outcomes and the closed list of error kinds.
//!
//! Every other package speaks in these types. They do no I/O and read no clock: a process passes
//! the present [`time::Moment`] into each decision, so that tests drive the same code with a
//! paused clock.
//!
//! A type carries a single noun and its module gives the rest: [`request::Id`],
//! [`runner::Incarnation`], [`size::Tokens`].

pub mod account;
pub mod attempt;
pub mod daemon;
pub mod deadline;
pub mod error;
pub mod fingerprint;
mod newtype;
pub mod outcome;
pub mod place;
pub mod rate;
pub mod request;
pub mod runner;
pub mod service;
pub mod size;
pub mod time;

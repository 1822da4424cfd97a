//! Ids, sizes, times, outcomes and the complete list of error kinds.
//!
//! These are the types that all other packages share. They perform no I/O and read no clock: a
//! process passes the current [`time::Moment`] into each decision, so that tests can run the same
//! code with a paused clock.
//!
//! A type's name is a single noun and its module gives the context: [`request::Id`],
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
pub mod rendezvous;
pub mod request;
pub mod runner;
pub mod service;
pub mod size;
pub mod time;

//! Versions of the accepted configuration and how they spread.
//!
//! A [`commit::Commit`] carries an operator's files into the platform's store; the conditional
//! update of one manifest decides which of several operators wins. A [`holder::Holder`] keeps
//! what one process has accepted: its version only rises, and it knows since when a source has
//! confirmed that there is nothing newer. A [`spread::Node`] joins the two over links: a few
//! daemons of each availability zone watch the store, announce what they learn to a few others,
//! and everybody compares versions on heartbeats.
//!
//! Nothing here does I/O or reads a clock. The edge feeds events in and carries actions out.

pub mod commit;
pub mod holder;
pub mod spread;

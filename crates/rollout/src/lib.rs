//! Commits of the accepted configuration and its distribution to all processes.
//!
//! A [`commit::Commit`] writes an operator's configuration to the platform's store; the
//! conditional update of a single manifest decides which of several concurrent operators wins. A
//! [`replica::Replica`] is the copy of the accepted configuration in one process: its version only
//! increases, and it records when a source last confirmed that there is no newer version. A
//! [`spread::Node`] distributes versions from the store to these copies over links: a few daemons
//! of each availability zone watch the store and send new versions to a few peers, and all
//! processes compare versions on heartbeats.
//!
//! Nothing here does I/O or reads a clock. The caller passes events in and executes the returned
//! actions.

pub mod commit;
pub mod replica;
pub mod spread;

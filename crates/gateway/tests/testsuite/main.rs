//! The gateway's decisions, without a network.

mod config;
mod decisions;
mod events;
mod fleet;
mod joint;
mod load;
mod peers;
mod placement;
mod support;

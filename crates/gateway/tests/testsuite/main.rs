//! Tests of the gateway's decisions, without network I/O.

mod backoff;
mod changes;
mod config;
mod decisions;
mod events;
mod fleet;
mod freshness;
mod joint;
mod load;
mod pause;
mod peers;
mod placement;
mod rate_limit;
mod rate_shares;
mod support;
mod suspects;
mod unread;

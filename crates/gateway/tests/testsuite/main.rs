//! Tests of the gateway's decisions, without network I/O.

mod backoff;
mod changes;
mod cold;
mod cold_shares;
mod config;
mod decisions;
mod evacuation;
mod events;
mod fleet;
mod freshness;
mod joint;
mod load;
mod pace;
mod pause;
mod peers;
mod placement;
mod prefixes;
mod queue;
mod rate_limit;
mod rate_shares;
mod regions;
mod replay;
mod shapes;
mod support;
mod suspects;
mod uneven;

//! Membership of entry daemons by heartbeats with incarnations.

//! Desired engine state, store leases and fenced orders.

//! Experiments with the routing decisions under a paused clock.

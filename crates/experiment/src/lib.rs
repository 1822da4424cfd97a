//! Experiments with the routing decisions under a paused clock.
//!
//! A run drives the same [`Router`](kumquattiller_routing::router::Router) and
//! [`Gate`](kumquattiller_routing::admission::Gate) as the daemons, with small fakes at their
//! interfaces: an [`engine::Engine`] per runner after the time model of [`model`], and an entry
//! daemon per availability zone that sees late reports. Time is virtual and every random number
//! comes from the seed, so that a run repeats to the digit.
//!
//! [`suite`] runs deployments, policies, loads and seeds side by side; [`report`] draws them.

pub mod deployment;
pub mod engine;
pub mod figures;
pub mod model;
pub mod options;
pub mod report;
pub mod sensitivity;
pub mod suite;
pub mod summary;
pub mod workload;
pub mod world;

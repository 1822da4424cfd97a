//! A simulation that compares routing policies.
//!
//! A run drives the same [`Router`](kumquattiller_routing::router::Router) and
//! [`Gate`](kumquattiller_routing::admission::Gate) as the daemons, and simulates everything else:
//! an [`engine::Engine`] per runner, which follows the time model of [`model`], and an entry daemon
//! per availability zone, which receives reports with a delay. Time is virtual and every random
//! number is derived from the seed, so that runs with the same seed give identical results.
//!
//! [`suite`] runs all combinations of deployments, policies, loads and seeds in parallel;
//! [`report`] plots the results.

pub mod deployment;
pub mod engine;
pub mod metrics;
pub mod model;
pub mod options;
pub mod report;
pub mod sensitivity;
pub mod suite;
pub mod summary;
pub mod workload;
pub mod world;

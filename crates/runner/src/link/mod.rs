//! Links from entry daemons.

mod frames;
mod incoming;
mod listener;
mod session;
mod subscription;
mod subscriptions;

pub use listener::run;

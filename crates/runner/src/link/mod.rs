//! Links from entry daemons.

mod frames;
mod held;
mod incoming;
mod listener;
mod session;
mod subscription;
mod subscriptions;

pub use listener::run;

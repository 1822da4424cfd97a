//! Links from entry daemons.

mod frames;
mod held;
mod incoming;
mod listener;
mod segments;
mod session;
mod starts;
mod subscription;
mod subscriptions;

pub use listener::run;

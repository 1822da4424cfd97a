//! Links from entry daemons.

mod accept;
mod frames;
mod incoming;
mod listener;
mod session;
mod subscription;

pub use listener::run;

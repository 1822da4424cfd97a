//! Links that operators and other entry daemons open to this daemon.

mod listener;
mod session;

pub use listener::run;

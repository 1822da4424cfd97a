//! Links that others open to this daemon: operators and other entry daemons.

mod listener;
mod session;

pub use listener::run;

//! Links from entry daemons.
//!
//! The listener accepts links and runs one session for each. A session handles the frames of its
//! link: it collects the bodies of starts and prefills, keeps the starts that wait for a permit,
//! and holds the subscriptions that copy answers to the link.

mod frames;
mod incoming;
mod listener;
mod pending;
mod segments;
mod session;
mod starts;
mod subscription;
mod subscriptions;

pub use listener::run;

//! How an accepted version reaches every process.
//!
//! Each availability zone has a few watchers, chosen by rendezvous hashing over the members that
//! a daemon believes alive. The choice needs no agreement: when views differ there are a few
//! watchers more or fewer for a while. Whoever adopts a version sends it to a few others of its
//! zone, and all compare versions with random peers on heartbeats, so that a lost message costs
//! a heartbeat and no more. Runner processes take part without ever watching; their peers are
//! the entry daemons that are linked to them.

mod event;
mod node;
mod watcher;

pub use event::Action;
pub use event::Message;
pub use node::NONCE_MARK;
pub use node::Node;
pub use node::PROBE_INTERVAL;
pub use watcher::WATCHERS_PER_ZONE;
pub use watcher::is_watcher;

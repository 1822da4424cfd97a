//! Distribution of accepted versions to all processes.
//!
//! Each availability zone has a few watchers: daemons that watch the platform's store. Every
//! daemon determines them on its own by rendezvous hashing over the members that it considers
//! alive. This needs no agreement: while the views of the members differ, a zone has a few
//! watchers more or fewer. A process that adopts a version sends it to a few of its peers. All
//! processes also compare versions with random peers on heartbeats, so that a lost message delays
//! a version by about one heartbeat interval. Runner processes take part but never watch the
//! store; their peers are the entry daemons that are linked to them.

mod event;
mod node;
mod watcher;

pub use event::Action;
pub use event::Message;
pub use node::Node;
pub use node::PROBE_INTERVAL;
pub use node::PROBE_NONCE_BIT;
pub use watcher::WATCHERS_PER_ZONE;
pub use watcher::is_watcher;

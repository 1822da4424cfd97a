use std::sync::Arc;

use kumquattiller_inventory::Version;
use kumquattiller_inventory::diff::Delta;

/// Message about the configuration between two processes.
#[derive(Debug, Clone, PartialEq)]
pub enum Message {
    /// Tells the version of the sender and asks for that of the receiver; sent as a heartbeat.
    Probe {
        /// Number that the reply repeats.
        nonce: u64,
        /// Current version of the sender.
        version: Version,
    },
    /// The reply to a probe.
    Reply {
        /// Nonce of the probe.
        nonce: u64,
        /// Current version of the sender.
        version: Version,
        /// Whether the sender is ready, see [`State::is_ready`](crate::replica::State::is_ready).
        ready: bool,
    },
    /// Asks for the delta from version `have` to the current one of the receiver.
    Fetch {
        /// Current version of the sender; [`Version::NONE`] asks for the full version.
        have: Version,
    },
    /// A version, in full or as a delta from an earlier one.
    Update(Arc<Delta>),
}

/// Operation that a node asks its caller to execute.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a message to a peer.
    Send {
        /// The peer's id.
        to: String,
        /// The message.
        message: Message,
    },
    /// Apply the node's current version in this process.
    Adopt,
    /// Read the full version from the store.
    ReadStore,
}

use std::sync::Arc;

use kumquattiller_inventory::Version;
use kumquattiller_inventory::diff::Delta;

/// What processes say to each other about configuration.
#[derive(Debug, Clone, PartialEq)]
pub enum Message {
    /// A question on a heartbeat: the sender holds `version`.
    Probe {
        /// Echoed in the reply.
        nonce: u64,
        /// What the sender holds.
        version: Version,
    },
    /// The reply to a probe.
    Reply {
        /// The probe's.
        nonce: u64,
        /// What the sender holds.
        version: Version,
        /// Whether a source confirmed it to the sender lately.
        ready: bool,
    },
    /// Asks for what leads from version `have` to the present one; 0 for the whole.
    Fetch {
        /// What the sender holds.
        have: Version,
    },
    /// A version, whole or from the one before.
    Update(Arc<Delta>),
}

/// What a node asks of the edge.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a message to a peer.
    Send {
        /// The peer's id.
        to: String,
        /// The message.
        message: Message,
    },
    /// Put the held version in force in this process.
    Adopt,
    /// Read the whole version from the store.
    ReadStore,
}

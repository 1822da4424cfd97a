//! TCP connections: their options, and how a dead peer is told from one that reads slowly.
//!
//! A peer that is dead and a peer that does not read look the same to the writer: nothing more can be
//! sent. The system ends a connection on which sent data stays unacknowledged for [`DEAD_AFTER`],
//! and does so as well if a live peer keeps its receive window closed for that long. A peer with a closed
//! window, however, acknowledges each probe of the system. [`Table`] looks at the connections at an
//! interval, and while a probe has been acknowledged recently, [`Stall`] extends the time that the
//! system grants. When the acknowledgements end, so do the extensions, and the system ends the connection.
//!
//! So a peer is dead [`DEAD_AFTER`] after its last acknowledgement if its window was open, and
//! [`DEAD_WHILE_STALLED`] after it if it was closed. A live peer may pause for as long as it likes;
//! what the daemon holds for it is bounded by [`crate::unread`].

mod dial;
mod report;
mod stall;
mod stream;
mod table;

pub use dial::DEAD_AFTER;
pub use dial::dial;
pub use dial::set_socket_options;
pub use report::Report;
pub use stall::DEAD_WHILE_STALLED;
pub use stall::Stall;
pub use stream::Stream;
pub use table::Table;

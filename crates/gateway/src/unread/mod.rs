//! Parts of responses that callers have not read yet.
//!
//! A server cuts off a response that stays unread for some seconds. The daemon therefore reads on
//! when a caller does not keep up, and holds what is unread. All callers share one budget, a part of
//! the memory of the daemon's VM. It is a bound and not an allocation. When it is exceeded, the
//! response with the most unread bytes is cut off, so that one slow caller costs the others nothing.
//!
//! Callers that fall behind for a moment therefore lose nothing, and the memory stays bounded
//! however many callers stop reading.

mod body;
mod key;
mod memory;
mod queue;
mod table;
mod writer;

pub use body::Body;
pub use key::Key;
pub use memory::Memory;
pub use table::Table;
pub use writer::Writer;

/// Largest piece of a response, in bytes. The HTTP connection takes whole pieces.
pub const PIECE_BYTES: usize = 16 * 1024;

//! Relays streams of server-sent events from a server to the caller.
//!
//! Only whole events are forwarded. If a server fails, the stream is resumed at another server,
//! after the last whole event.

mod broken;
mod dispatch;
mod source;
mod stream;

pub use broken::Broken;
pub use dispatch::Dispatch;
pub use stream::History;
pub use stream::response;

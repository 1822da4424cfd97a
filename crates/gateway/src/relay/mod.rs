//! Streams: whole events from a server to the caller, going on at another server when one fails.

mod broken;
mod flight;
mod stream;

pub use broken::Broken;
pub use flight::Flight;
pub use stream::Past;
pub use stream::response;

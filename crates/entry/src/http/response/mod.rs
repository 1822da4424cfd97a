//! Responses to model requests, in the format of the endpoint that was called.

mod buffered;
mod format;
mod streamed;

pub use buffered::buffered;
pub use format::Format;
pub use streamed::streamed;

//! Frames between the system's own processes.
//!
//! A link carries length-delimited [`Frame`]s. The generated protobuf types in [`link`] are wire
//! types only; [`Attempt`], [`Load`] and the other types here convert them from and to the types
//! of `kumquattiller-base`, so that a frame with a missing or malformed field is refused at the
//! edge.

mod attempt;
mod codec;
mod error;
mod load;

pub use attempt::Attempt;
pub use codec::Codec;
pub use codec::MAX_FRAME_BYTES;
pub use error::Error;
pub use load::Load;

/// Types generated from `proto/link.proto`.
#[allow(missing_docs, clippy::all, clippy::use_self)]
#[rustfmt::skip]
#[path = "generated/kumquattiller.link.v1.rs"]
pub mod link;

pub use link::Frame;
pub use link::frame::Body;

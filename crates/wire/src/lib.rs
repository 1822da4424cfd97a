//! Wire format of the frames that kumquattiller's processes exchange.
//!
//! A link carries length-delimited [`Frame`]s. The protobuf types in [`link`] are generated and
//! used for the wire format only. [`Attempt`] and [`Load`] convert them from and to the types of
//! `kumquattiller-base`, so that a frame with a missing or malformed field is rejected when it is
//! read.

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

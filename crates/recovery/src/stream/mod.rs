//! In-order delivery of a streamed response.
//!
//! A [`Receiver`] checks the frames of one attempt by [`Origin`] and offset. A [`Replay`] compares
//! the output of a later attempt with what the caller already received, so that only the
//! remainder is delivered.

mod drops;
mod origin;
mod receiver;
mod replay;

pub use drops::Drops;
pub use origin::Origin;
pub use receiver::Receiver;
pub use receiver::Verdict;
pub use replay::Mismatch;
pub use replay::Replay;

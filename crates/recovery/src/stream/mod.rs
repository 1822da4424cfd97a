//! The pieces of an answer, in order.

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

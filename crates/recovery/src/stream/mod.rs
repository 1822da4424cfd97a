//! The pieces of an answer, in order.

mod drops;
mod origin;
mod receiver;

pub use drops::Drops;
pub use origin::Origin;
pub use receiver::Receiver;
pub use receiver::Verdict;

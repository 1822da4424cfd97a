//! Brings a request to its outcome.

mod driver;
mod long;
mod output;
mod permit;
mod repeat;
mod run;

pub use driver::Driver;
pub use output::Chunk;
pub use output::End;
pub use output::Output;
pub use output::Position;

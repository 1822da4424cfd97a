//! Starts the programs and the stand-ins as processes, and stops them.

mod build;
mod process;
mod ready;
mod run;

pub use build::Programs;
pub use build::build;
pub use process::Process;
pub use ready::free_address;
pub use ready::wait_until_ready;
pub use run::Member;
pub use run::Standin;
pub use run::Starter;

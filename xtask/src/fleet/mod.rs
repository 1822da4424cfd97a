//! Starts the programs and the stand-ins as processes, and stops them.

mod build;
mod launcher;
mod process;
mod ready;

pub use build::Programs;
pub use build::build;
pub use launcher::Daemon;
pub use launcher::Launcher;
pub use launcher::Standin;
pub use process::Process;
pub use ready::free_address;
pub use ready::wait_for_links;
pub use ready::wait_until_ready;

//! HTTP client for the running programs: sends requests and measures their completions.

mod client;
mod completion;
mod prompt;

pub use client::Caller;
pub use completion::Completion;
pub use completion::Status;
pub use prompt::prompt;

//! A caller of the running programs: sends requests and measures their answers.

mod answer;
mod client;
mod prompt;

pub use answer::Answer;
pub use answer::Ended;
pub use client::Caller;
pub use prompt::prompt;

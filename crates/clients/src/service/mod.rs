//! Adapter for plain services.

mod answer;
mod call;
mod client;

pub use answer::Answer;
pub use call::Call;
pub use client::Client;

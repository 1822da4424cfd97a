//! Adapter for plain services.

mod call;
mod client;
mod response;

pub use call::Call;
pub use client::Client;
pub use response::Response;

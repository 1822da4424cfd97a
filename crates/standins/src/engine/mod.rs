//! A stand-in for a model engine.
//!
//! [`Server`] answers the calls of `kumquattiller_dialect::engine`. Its `Machine` keeps streams,
//! handles and the prefix cache in limited KV memory and advances in steps; [`Timing`] says how
//! long a step takes. The generated text is a function of the request alone ([`Text`]), so that a
//! test can tell whether an answer is whole.

mod cache;
mod job;
mod machine;
mod memory;
mod orders;
mod refusal;
mod remote;
mod routes;
mod server;
mod settings;
mod steps;
mod text;
mod timing;

pub use server::Server;
pub use settings::Settings;
pub use text::Text;
pub use timing::Timing;

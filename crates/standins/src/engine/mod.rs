//! A stand-in for a model engine.
//!
//! [`Server`] implements the API of `kumquattiller_dialect::engine`. Its `Simulator` keeps streams,
//! handles and the prefix cache in limited KV memory and advances in steps, whose duration follows
//! from [`Timing`]. The generated text depends only on the request ([`Text`]), so that a test can
//! check whether a response is complete.

mod cache;
mod job;
mod memory;
mod orders;
mod refusal;
mod remote;
mod routes;
mod server;
mod settings;
mod simulator;
mod steps;
mod text;
mod timing;

pub use server::Server;
pub use settings::Settings;
pub use text::Text;
pub use timing::Timing;

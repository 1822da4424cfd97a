//! Serde types of the HTTP protocols of model engines and the platform.
//!
//! The adapters in `kumquattiller-clients` and the stand-ins in `kumquattiller-standins` share
//! these types. Support for another protocol needs a new adapter and its own types next to these.

pub mod engine;
pub mod platform;

//! Serde types of the protocols of model engines, plain services and the platform.
//!
//! The adapters in `kumquattiller-clients` and the stand-ins in `kumquattiller-standins` share
//! these types. Another dialect of any of them costs one adapter and its own types beside these.

pub mod engine;
pub mod platform;

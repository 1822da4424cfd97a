//! Support for the integration tests.
//!
//! A [`fleet::Fleet`] runs the stand-ins inside the test and the programs under test as processes,
//! on its own loopback address. A [`caller::Caller`] sends requests on behalf of a client account.
//! A [`relay::Relay`] forwards connections between two processes and injects network faults.

pub mod address;
pub mod caller;
pub mod fleet;
pub mod program;
pub mod relay;
pub mod wait;

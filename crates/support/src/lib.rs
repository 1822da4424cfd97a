//! Support for the integration tests.
//!
//! A [`fleet::Fleet`] runs the stand-ins inside the test and the real programs as processes on
//! loopback addresses of its own. A [`caller::Caller`] sends requests as a client account would.
//! A [`relay::Relay`] stands between two processes and cuts their connection.

pub mod address;
pub mod caller;
pub mod fleet;
pub mod program;
pub mod relay;
pub mod wait;

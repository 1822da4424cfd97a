//! Register and rules: reading, checking, comparing and sharding.
//!
//! Operators write a [`register::Register`] (what there is) and [`rules::Rules`] (how it is to
//! be used) in JSON. Together with a version they are a [`Configuration`]. Nothing here does I/O.

pub mod configuration;
pub mod register;
pub mod rules;

pub use configuration::Configuration;

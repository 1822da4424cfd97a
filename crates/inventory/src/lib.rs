//! Register and rules: reading, checking, comparing and sharding.
//!
//! Operators write a [`register::Register`] (what there is) and [`rules::Rules`] (how it is to
//! be used) in JSON. Together with a version they are a [`Configuration`]. Nothing here does I/O.
//!
//! A file on its way to all processes passes through the modules in this order: [`read`] parses
//! it and names the place of an error, [`check`] finds every problem of the whole, [`section`]
//! takes the configuration apart into items with ids, [`diff`] compares two versions, and
//! [`shard`] lays the items out in objects that the platform's store accepts.

pub mod check;
pub mod configuration;
pub mod diff;
pub mod read;
pub mod register;
pub mod rules;
pub mod schema;
pub mod section;
pub mod shard;
mod suggestion;

pub use configuration::Configuration;
pub use configuration::Version;
pub use suggestion::nearest;

//! Parsing, validation, comparison and sharding of the register and the rules.
//!
//! Operators write two JSON files: a [`register::Register`] lists the regions, services, runners
//! and client accounts, and [`rules::Rules`] define how they are used. Together with a version
//! they make up a [`Configuration`]. Nothing here does I/O.
//!
//! The modules process a configuration in this order: [`read`] parses the files and reports the
//! line and column of a syntax or type error, [`check`] validates both files together and reports
//! all problems at once, [`section`] splits the configuration into items with ids, [`diff`]
//! compares two versions, and [`shard`] distributes the items over objects that fit the size
//! limit of the platform's store.

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

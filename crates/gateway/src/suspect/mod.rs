//! Requests suspected of crashing the servers that run them.
//!
//! A server may crash because of a whole request, which then comes again, or because of one part of
//! a prompt, which other requests share. Each request therefore has [`Feature`]s: its fingerprint,
//! and the parts of its prompt except the last, which belongs to it alone. When a server crashes,
//! each request that had not been writing there for a while is blamed: the [`Crash`] is added to
//! the records of its features. A request that writes exonerates its features from all crashes so
//! far.
//!
//! Many requests run beside the one that crashes a server, so most blamed features are innocent.
//! From [`CRASH_LIMIT`] crashes on a feature may be refused, and `rule::choose` picks the features
//! that explain the crashes.
//!
//! The records are sets of crashes, blamed and exonerated, that the daemons exchange and unite. A
//! crash has the same identity at all daemons, so reports may come twice and in any order.

mod crash;
mod feature;
mod record;
mod report;
mod rule;
mod table;

pub use crash::Crash;
pub use feature::Feature;
pub use record::CRASH_LIMIT;
pub use report::Report;
pub use table::Suspects;

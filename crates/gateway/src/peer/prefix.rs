use std::time::Duration;

use kumquattiller_base::size::Tokens;

use crate::prefix;

/// A prefix that a server probably holds.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Prefix {
    /// Hash of the server's id and start time, as in `leaving`.
    #[prost(fixed64, tag = "1")]
    pub server: u64,
    /// Hash of the prefix.
    #[prost(fixed64, tag = "2")]
    pub hash: u64,
    /// Length of the prefix in tokens.
    #[prost(uint64, tag = "3")]
    pub tokens: u64,
    /// Length of its last part in tokens.
    #[prost(uint64, tag = "4")]
    pub added: u64,
    /// Time since its last use, in milliseconds.
    #[prost(uint32, tag = "5")]
    pub age_ms: u32,
}

impl From<prefix::Report> for Prefix {
    fn from(report: prefix::Report) -> Self {
        Self {
            server: report.server,
            hash: report.hash,
            tokens: report.tokens.get(),
            added: report.added.get(),
            age_ms: u32::try_from(report.age.as_millis()).unwrap_or(u32::MAX),
        }
    }
}

impl From<&Prefix> for prefix::Report {
    fn from(prefix: &Prefix) -> Self {
        Self {
            server: prefix.server,
            hash: prefix.hash,
            tokens: Tokens::new(prefix.tokens),
            added: Tokens::new(prefix.added),
            age: Duration::from_millis(prefix.age_ms.into()),
        }
    }
}

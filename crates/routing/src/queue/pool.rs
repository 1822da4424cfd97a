use kumquattiller_base::service;
use xxhash_rust::xxh3::xxh3_64;

/// The servers of a service, which waiting requests compete for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Pool(u64);

impl Pool {
    /// Returns the pool of a service.
    pub fn of(service: &service::Name) -> Self {
        Self(xxh3_64(service.as_str().as_bytes()))
    }

    /// Creates a pool from a number received in a report.
    pub const fn new(value: u64) -> Self {
        Self(value)
    }

    /// Returns the pool as a plain number.
    pub const fn get(self) -> u64 {
        self.0
    }
}

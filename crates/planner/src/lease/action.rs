use crate::lease::Record;

/// What a contender asks of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Reads the lease.
    Read,
    /// Writes the lease.
    Write {
        /// The new value.
        record: Record,
        /// What has to hold.
        condition: Condition,
    },
}

/// What has to hold for a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// The object does not exist.
    Absent,
    /// The object has this version.
    Version(u64),
}

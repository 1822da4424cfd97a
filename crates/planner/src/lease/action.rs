use crate::lease::Record;

/// A store operation that a candidate requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Reads the lease.
    Read,
    /// Writes the lease.
    Write {
        /// Value to write.
        record: Record,
        /// Precondition of the write.
        condition: Condition,
    },
}

/// Precondition of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// The object does not exist.
    Absent,
    /// The object has this version.
    Version(u64),
}

/// Precondition of a write to the platform's store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// The object does not exist.
    Absent,
    /// The object has this version.
    Version(u64),
}

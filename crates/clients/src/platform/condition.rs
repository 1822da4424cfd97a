/// Precondition of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// The object does not exist.
    Absent,
    /// The object has this version.
    Version(u64),
}

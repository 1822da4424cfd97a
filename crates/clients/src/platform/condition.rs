/// What must hold for a write to take effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// The object does not exist.
    Absent,
    /// The object has this version.
    Version(u64),
}

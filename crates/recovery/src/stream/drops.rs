/// Counts of the frames that a receiver did not use.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Drops {
    /// Of another request, attempt or incarnation.
    pub crossed: u64,
    /// Before the next offset.
    pub repeated: u64,
    /// Beyond the next offset.
    pub early: u64,
    /// After the end.
    pub late: u64,
}

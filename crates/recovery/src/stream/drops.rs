/// Counts of the frames that a receiver discarded, by reason.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Drops {
    /// Frames of another request, attempt or incarnation.
    pub foreign: u64,
    /// Chunks that start before the next expected offset.
    pub repeated: u64,
    /// Chunks that start after the next expected offset.
    pub early: u64,
    /// Frames received after the response was complete.
    pub late: u64,
}

/// Reason for a decision about a waiting request, as written to the log and counted in the metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// It was placed when it arrived.
    Placed,
    /// It was placed after it had waited.
    PlacedAfterWait,
    /// The servers lack the memory, or it costs others too much.
    NoRoom,
    /// Others come before it.
    Behind,
    /// It could no longer be answered before its deadline.
    Late,
    /// The queue is full and it is the least valuable entry.
    Full,
    /// The daemon is stopping.
    Stopping,
    /// Its caller has left.
    Left,
}

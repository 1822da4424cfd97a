/// A value read from the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stored<T> {
    /// Version of its last write.
    pub version: u64,
    /// The value.
    pub value: T,
}

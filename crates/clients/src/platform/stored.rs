/// A value read from the platform's store, with its version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stored<T> {
    /// Store version of the last write to the object.
    pub version: u64,
    /// Value of the object.
    pub value: T,
}

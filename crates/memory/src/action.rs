use crate::Name;

/// A request for the runner process to free memory on its engine.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Action {
    /// Cancel a stream.
    CancelStream(Name),
    /// Delete a handle.
    DeleteHandle(Name),
}

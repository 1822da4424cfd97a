use crate::Name;

/// What the runner process has to do on its engine.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Action {
    /// Cancels a stream.
    CancelStream(Name),
    /// Deletes a handle.
    DeleteHandle(Name),
}

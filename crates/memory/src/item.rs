use crate::Action;
use crate::Name;

/// Something that holds KV memory on an engine.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Item {
    /// A stream that runs, waits, or ended and is kept.
    Stream(Name),
    /// KV that is kept for later use.
    Handle(Name),
}

impl Item {
    /// Returns the action that frees it.
    pub fn release(&self) -> Action {
        match self {
            Self::Stream(name) => Action::CancelStream(name.clone()),
            Self::Handle(name) => Action::DeleteHandle(name.clone()),
        }
    }
}

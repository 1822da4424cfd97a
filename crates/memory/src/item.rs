use crate::Action;
use crate::Name;

/// Something that holds KV memory on an engine.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Item {
    /// A running or waiting stream, or an ended one that the engine keeps.
    Stream(Name),
    /// KV data that the engine keeps for later use.
    Handle(Name),
}

impl Item {
    /// Returns the action that frees the item.
    pub fn release_action(&self) -> Action {
        match self {
            Self::Stream(name) => Action::CancelStream(name.clone()),
            Self::Handle(name) => Action::DeleteHandle(name.clone()),
        }
    }
}

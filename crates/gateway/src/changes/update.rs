use kumquattiller_base::time::Moment;

use crate::changes::Change;
use crate::freshness::Kind;
use crate::freshness::Revision;
use crate::freshness::Source;

/// The objects of a kind, or how they have changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Content {
    /// All objects.
    Complete(Vec<Change>),
    /// The changes since a revision, in the order in which they happened, each with its revision.
    Since(Revision, Vec<(Revision, Change)>),
}

/// Answer of the store or of a peer about the objects of a kind.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Update {
    /// Kind of the objects.
    pub kind: Kind,
    /// Who answered.
    pub source: Source,
    /// The objects or their changes.
    pub content: Content,
    /// Revision up to which a copy is complete once the update is applied.
    pub revision: Revision,
    /// Moment whose state the answer shows.
    pub shown_at: Moment,
}

impl Update {
    /// Returns the last change in the update, or `None` if nothing has changed.
    pub fn last_change(&self) -> Option<Revision> {
        match &self.content {
            Content::Complete(_) => Some(self.revision),
            Content::Since(_, changes) => changes.iter().map(|(revision, _)| *revision).max(),
        }
    }

    /// Returns whether the update can be applied to a copy that is complete up to `copy`, and says
    /// anything that the copy lacks.
    pub fn fits(&self, copy: Option<Revision>) -> bool {
        match (&self.content, copy) {
            (_, Some(copy)) if self.revision < copy => false,
            (Content::Complete(_), _) => true,
            (Content::Since(from, _), Some(copy)) => {
                *from <= copy && from.era() == copy.era() && self.revision.era() == copy.era()
            }
            (Content::Since(..), None) => false,
        }
    }
}

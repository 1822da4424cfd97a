use std::collections::VecDeque;

use crate::changes::Change;
use crate::changes::Content;
use crate::changes::Update;
use crate::freshness::Revision;

/// Number of changes that are kept for peers.
const MAX_CHANGES: usize = 256;

/// The last changes of the objects of one kind.
#[derive(Debug, Default)]
pub struct History {
    changes: VecDeque<(Revision, Change)>,
    /// Revision since which no change has been dropped.
    complete_since: Option<Revision>,
}

impl History {
    /// Records an update that has been applied.
    pub fn record(&mut self, update: &Update) {
        let Content::Since(from, changes) = &update.content else {
            self.changes.clear();
            self.complete_since = Some(update.revision);
            return;
        };
        self.complete_since.get_or_insert(*from);
        let last = self.changes.back().map_or(*from, |(revision, _)| *revision);
        let new = changes.iter().filter(|(revision, _)| *revision > last);
        self.changes.extend(new.cloned());
        while self.changes.len() > MAX_CHANGES {
            let dropped = self.changes.pop_front();
            self.complete_since = self.complete_since.max(dropped.map(|(revision, _)| revision));
        }
    }

    /// Returns the changes after `from`, or `None` if some of them are no longer kept.
    pub fn since(&self, from: Revision) -> Option<Vec<(Revision, Change)>> {
        let complete_since = self.complete_since?;
        if from < complete_since || from.era() != complete_since.era() {
            return None;
        }
        Some(self.changes.iter().filter(|(revision, _)| *revision > from).cloned().collect())
    }
}

use std::collections::BTreeSet;

use kumquattiller_base::size::Tokens;
use kumquattiller_base::time::Moment;

use crate::Item;
use crate::Owner;

/// What a table knows about an item.
#[derive(Debug, Clone)]
pub(crate) struct Entry {
    /// Tokens of KV memory that the item holds now or may hold at most.
    pub(crate) tokens: Tokens,
    pub(crate) phase: Phase,
}

/// The state of an item's ownership.
#[derive(Debug, Clone)]
pub(crate) enum Phase {
    /// The item has an owner.
    Held {
        owner: Owner,
        since: Moment,
        /// Whether the item is a prefill, which becomes a handle when it ends.
        prefill: bool,
    },
    /// The engine holds the item, but the table has no owner for it.
    Unclaimed {
        /// Until when the item is kept so that an entry daemon can claim it.
        until: Moment,
        /// Unfinished prefills that may have created the item.
        possible_prefills: BTreeSet<Item>,
    },
    /// The item is to be freed.
    Releasing { since: Moment, next_try: Moment },
}

impl Entry {
    pub(crate) const fn held(owner: Owner, tokens: Tokens, prefill: bool, since: Moment) -> Self {
        Self { tokens, phase: Phase::Held { owner, since, prefill } }
    }

    pub(crate) const fn owner(&self) -> Option<&Owner> {
        match &self.phase {
            Phase::Held { owner, .. } => Some(owner),
            _ => None,
        }
    }

    /// Returns whether the item is a prefill that has not ended.
    pub(crate) const fn is_prefill(&self) -> bool {
        matches!(self.phase, Phase::Held { prefill: true, .. })
    }

    /// Marks the item to be freed at the next tick; does nothing if it is marked already.
    pub(crate) fn mark_releasing(&mut self, now: Moment) {
        if !matches!(self.phase, Phase::Releasing { .. }) {
            self.phase = Phase::Releasing { since: now, next_try: now };
        }
    }
}

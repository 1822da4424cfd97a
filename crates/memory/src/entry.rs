use std::collections::BTreeSet;

use kumquattiller_base::size::Tokens;
use kumquattiller_base::time::Moment;

use crate::Item;
use crate::Owner;

/// What a table knows of an item.
#[derive(Debug, Clone)]
pub(crate) struct Entry {
    /// Tokens that it holds or may come to hold.
    pub(crate) tokens: Tokens,
    pub(crate) phase: Phase,
}

/// Where an item stands.
#[derive(Debug, Clone)]
pub(crate) enum Phase {
    /// It has an owner.
    Held {
        owner: Owner,
        since: Moment,
        /// Whether it becomes a handle when it ends.
        prefill: bool,
    },
    /// The engine holds it and the table does not know why.
    Unclaimed {
        until: Moment,
        /// Prefills that may have made it.
        makers: BTreeSet<Item>,
    },
    /// It is to be freed.
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

    /// Tells whether it is a prefill that has not ended.
    pub(crate) const fn is_prefill(&self) -> bool {
        matches!(self.phase, Phase::Held { prefill: true, .. })
    }

    /// Has it freed at the next tick.
    pub(crate) fn release(&mut self, now: Moment) {
        if !matches!(self.phase, Phase::Releasing { .. }) {
            self.phase = Phase::Releasing { since: now, next_try: now };
        }
    }
}

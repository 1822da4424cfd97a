use std::collections::VecDeque;

use kumquattiller_base::size::Tokens;
use kumquattiller_base::time::Moment;

use crate::prefix::Prefix;
use crate::prefix::copy::RETENTION;

/// What one server is believed to hold, in the order of last use.
#[derive(Debug, Default)]
pub(super) struct Cache {
    entries: VecDeque<Entry>,
    held: Tokens,
}

#[derive(Debug)]
struct Entry {
    prefix: Prefix,
    used_at: Moment,
}

impl Cache {
    /// Records the use of a prefix. Returns the hashes of the prefixes that the server has given up
    /// for it: those used least recently, until the rest fits into `capacity`. `used_at` may lie in the
    /// past, for a use that a peer reports.
    pub(super) fn record(&mut self, prefix: Prefix, capacity: Tokens, used_at: Moment) -> Vec<u64> {
        self.remove(prefix.hash);
        self.held = self.held.saturating_add(prefix.added);
        let position = self.entries.partition_point(|e| e.used_at <= used_at);
        self.entries.insert(position, Entry { prefix, used_at });
        let mut evicted = Vec::new();
        while self.held > capacity && self.entries.len() > 1 {
            evicted.extend(self.pop());
        }
        evicted
    }

    /// Removes what was not used for [`RETENTION`]; returns the hashes.
    pub(super) fn expire(&mut self, now: Moment) -> Vec<u64> {
        let mut expired = Vec::new();
        while self.entries.front().is_some_and(|e| now.since(e.used_at) >= RETENTION) {
            expired.extend(self.pop());
        }
        expired
    }

    /// Returns whether nothing is believed to be held.
    pub(super) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn remove(&mut self, hash: u64) {
        if let Some(position) = self.entries.iter().position(|e| e.prefix.hash == hash)
            && let Some(entry) = self.entries.remove(position)
        {
            self.held = self.held.saturating_sub(entry.prefix.added);
        }
    }

    fn pop(&mut self) -> Option<u64> {
        let entry = self.entries.pop_front()?;
        self.held = self.held.saturating_sub(entry.prefix.added);
        Some(entry.prefix.hash)
    }
}

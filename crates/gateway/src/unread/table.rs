use std::collections::BTreeMap;

use kumquattiller_base::size::Bytes;

use crate::unread::Key;

/// The unread bytes of each response, and which responses are cut off when they exceed the budget.
#[derive(Debug)]
pub struct Table {
    budget: Bytes,
    used: Bytes,
    unread: BTreeMap<Key, Bytes>,
    next: Key,
}

impl Table {
    /// Creates a table without responses.
    pub const fn new(budget: Bytes) -> Self {
        Self { budget, used: Bytes::ZERO, unread: BTreeMap::new(), next: Key::FIRST }
    }

    /// Adds a response.
    pub fn open(&mut self) -> Key {
        let key = self.next;
        self.next = key.next();
        self.unread.insert(key, Bytes::ZERO);
        key
    }

    /// Adds unread bytes to a response, unless it was cut off.
    pub fn add(&mut self, key: Key, bytes: Bytes) {
        if let Some(unread) = self.unread.get_mut(&key) {
            *unread = unread.saturating_add(bytes);
            self.used = self.used.saturating_add(bytes);
        }
    }

    /// Removes bytes of a response that have been read.
    pub fn take(&mut self, key: Key, bytes: Bytes) {
        if let Some(unread) = self.unread.get_mut(&key) {
            let taken = bytes.min(*unread);
            *unread = unread.saturating_sub(taken);
            self.used = self.used.saturating_sub(taken);
        }
    }

    /// Removes a response and returns its unread bytes.
    pub fn close(&mut self, key: Key) -> Bytes {
        let unread = self.unread.remove(&key).unwrap_or_default();
        self.used = self.used.saturating_sub(unread);
        unread
    }

    /// Returns the response to cut off: the one with the most unread bytes, the newest of equals.
    /// Returns `None` while the budget is kept.
    pub fn slowest(&self) -> Option<Key> {
        if self.used <= self.budget {
            return None;
        }
        self.unread.iter().max_by_key(|(key, unread)| (**unread, **key)).map(|(key, _)| *key)
    }

    /// Returns the unread bytes of all responses.
    pub const fn used(&self) -> Bytes {
        self.used
    }

    /// Returns how many unread bytes are allowed.
    pub const fn budget(&self) -> Bytes {
        self.budget
    }

    /// Returns the number of responses.
    pub fn len(&self) -> usize {
        self.unread.len()
    }

    /// Returns whether there are no responses.
    pub fn is_empty(&self) -> bool {
        self.unread.is_empty()
    }
}

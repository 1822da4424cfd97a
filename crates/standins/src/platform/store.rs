use std::collections::BTreeMap;
use std::collections::VecDeque;

use kumquattiller_dialect::platform::Change;
use kumquattiller_dialect::platform::Changes;
use kumquattiller_dialect::platform::List;
use kumquattiller_dialect::platform::Object;
use serde_json::Value;

/// Precondition of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Condition {
    /// No precondition.
    None,
    /// The object does not exist.
    Absent,
    /// The object has this version.
    Version(u64),
}

/// Versioned objects and their most recent changes.
#[derive(Debug, Default)]
pub(super) struct Store {
    version: u64,
    objects: BTreeMap<(String, String), Object>,
    changes: VecDeque<(String, Change)>,
    /// Version up to which changes have been dropped.
    compacted_version: u64,
    max_changes: usize,
}

impl Store {
    pub(super) fn new(max_changes: usize) -> Self {
        Self { max_changes, ..Self::default() }
    }

    pub(super) fn get(&self, kind: &str, name: &str) -> Option<&Object> {
        self.objects.get(&(kind.to_owned(), name.to_owned()))
    }

    pub(super) fn list(&self, kind: &str) -> List {
        let objects = self.objects.values().filter(|object| object.kind == kind);
        List { version: self.version, objects: objects.cloned().collect() }
    }

    /// Writes a value and returns its version, or `None` when the condition does not hold.
    pub(super) fn put(
        &mut self,
        kind: &str,
        name: &str,
        value: Value,
        condition: Condition,
    ) -> Option<u64> {
        self.check_condition(kind, name, condition)?;
        self.version += 1;
        let object = Object {
            kind: kind.to_owned(),
            name: name.to_owned(),
            version: self.version,
            value: value.clone(),
        };
        self.objects.insert((kind.to_owned(), name.to_owned()), object);
        self.record_change(kind, name, Some(value));
        Some(self.version)
    }

    /// Deletes an object; returns `None` when the condition does not hold.
    pub(super) fn delete(&mut self, kind: &str, name: &str, condition: Condition) -> Option<()> {
        self.check_condition(kind, name, condition)?;
        if self.objects.remove(&(kind.to_owned(), name.to_owned())).is_some() {
            self.version += 1;
            self.record_change(kind, name, None);
        }
        Some(())
    }

    /// Returns the changes of a kind after `version`.
    pub(super) fn changes(&self, kind: &str, version: u64) -> Changes {
        let expired = version < self.compacted_version;
        let changes = self.changes.iter().filter(|(k, c)| k == kind && c.version > version);
        let changes = if expired { Vec::new() } else { changes.map(|(_, c)| c.clone()).collect() };
        Changes { version: self.version, expired, changes }
    }

    fn check_condition(&self, kind: &str, name: &str, condition: Condition) -> Option<()> {
        let version = self.get(kind, name).map(|object| object.version);
        let holds = match condition {
            Condition::None => true,
            Condition::Absent => version.is_none(),
            Condition::Version(expected) => version == Some(expected),
        };
        holds.then_some(())
    }

    fn record_change(&mut self, kind: &str, name: &str, value: Option<Value>) {
        let change = Change { name: name.to_owned(), version: self.version, value };
        self.changes.push_back((kind.to_owned(), change));
        if self.changes.len() > self.max_changes
            && let Some((_, change)) = self.changes.pop_front()
        {
            self.compacted_version = change.version;
        }
    }
}

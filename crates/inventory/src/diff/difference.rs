use serde::Serialize;
use serde_json::Value;
use strum::IntoEnumIterator;

use crate::diff::Change;
use crate::diff::Field;
use crate::diff::Kind;
use crate::section::Items;
use crate::section::Section;

/// Fields whose values are not shown to operators.
const SECRET_FIELDS: [&str; 1] = ["credential"];
/// Text that is shown in place of a secret value.
const HIDDEN: &str = "(hidden)";

/// Changes from one configuration to another, for display to an operator.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Difference {
    /// Changes, ordered by section and id.
    pub changes: Vec<Change>,
}

impl Difference {
    /// Compares two configurations. The values of secret fields are hidden.
    pub fn between(old: &Items, new: &Items) -> Self {
        let mut changes = Vec::new();
        for section in Section::iter() {
            let mut found = section_changes(section, old, new);
            found.sort_by(|a, b| a.id.cmp(&b.id));
            changes.append(&mut found);
        }
        Self { changes }
    }

    /// Returns whether the two configurations are equal.
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }

    /// Returns the number of changes of a kind.
    pub fn count(&self, kind: Kind) -> usize {
        self.changes.iter().filter(|change| change.kind == kind).count()
    }
}

impl std::fmt::Display for Difference {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for change in &self.changes {
            writeln!(f, "{change}")?;
        }
        let added = self.count(Kind::Added);
        let removed = self.count(Kind::Removed);
        let changed = self.count(Kind::Changed);
        write!(f, "{added} added, {removed} removed, {changed} changed")
    }
}

fn section_changes(section: Section, old: &Items, new: &Items) -> Vec<Change> {
    let mut changes = Vec::new();
    for (id, value) in new.section(section) {
        match old.get(section, id) {
            None => changes.push(change(section, id, Kind::Added, Vec::new())),
            Some(before) if before != value => {
                changes.push(change(section, id, Kind::Changed, changed_fields(before, value)));
            }
            Some(_) => {}
        }
    }
    for (id, _) in old.section(section) {
        if new.get(section, id).is_none() {
            changes.push(change(section, id, Kind::Removed, Vec::new()));
        }
    }
    changes
}

fn change(section: Section, id: &str, kind: Kind, fields: Vec<Field>) -> Change {
    Change { section, id: id.to_owned(), kind, fields }
}

/// Returns the fields in which two items differ.
fn changed_fields(old: &Value, new: &Value) -> Vec<Field> {
    let (Value::Object(before), Value::Object(after)) = (old, new) else {
        return vec![Field { name: String::new(), old: old.clone(), new: new.clone() }];
    };
    let mut names: Vec<&String> = before.keys().chain(after.keys()).collect();
    names.sort();
    names.dedup();
    let differing = names.into_iter().filter(|name| before.get(*name) != after.get(*name));
    differing.map(|name| field_change(name, before.get(name), after.get(name))).collect()
}

fn field_change(name: &str, old: Option<&Value>, new: Option<&Value>) -> Field {
    let display_value = |value: Option<&Value>| match value {
        Some(_) if SECRET_FIELDS.contains(&name) => HIDDEN.into(),
        other => other.cloned().unwrap_or(Value::Null),
    };
    Field { name: name.to_owned(), old: display_value(old), new: display_value(new) }
}

use serde::Serialize;
use serde_json::Value;
use strum::IntoEnumIterator;

use crate::diff::Change;
use crate::diff::Field;
use crate::diff::Kind;
use crate::section::Items;
use crate::section::Section;

/// Fields whose values are not shown.
const SECRET_FIELDS: [&str; 1] = ["credential"];
/// What stands in place of a secret.
const HIDDEN: &str = "(hidden)";

/// What an operator sees of the way from one configuration to another.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Difference {
    /// Changes by section and id.
    pub changes: Vec<Change>,
}

impl Difference {
    /// Compares two configurations. Secrets are left out.
    pub fn between(old: &Items, new: &Items) -> Self {
        let mut changes = Vec::new();
        for section in Section::iter() {
            let mut found = compare(section, old, new);
            found.sort_by(|a, b| a.id.cmp(&b.id));
            changes.append(&mut found);
        }
        Self { changes }
    }

    /// Tells whether the two are the same.
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }

    /// Counts the changes of a kind.
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

fn compare(section: Section, old: &Items, new: &Items) -> Vec<Change> {
    let mut changes = Vec::new();
    for (id, value) in new.section(section) {
        match old.get(section, id) {
            None => changes.push(change(section, id, Kind::Added, Vec::new())),
            Some(before) if before != value => {
                changes.push(change(section, id, Kind::Changed, fields(before, value)));
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
fn fields(old: &Value, new: &Value) -> Vec<Field> {
    let (Value::Object(before), Value::Object(after)) = (old, new) else {
        return vec![Field { name: String::new(), old: old.clone(), new: new.clone() }];
    };
    let mut names: Vec<&String> = before.keys().chain(after.keys()).collect();
    names.sort();
    names.dedup();
    let differing = names.into_iter().filter(|name| before.get(*name) != after.get(*name));
    differing.map(|name| field(name, before.get(name), after.get(name))).collect()
}

fn field(name: &str, old: Option<&Value>, new: Option<&Value>) -> Field {
    let shown = |value: Option<&Value>| match value {
        Some(_) if SECRET_FIELDS.contains(&name) => HIDDEN.into(),
        other => other.cloned().unwrap_or(Value::Null),
    };
    Field { name: name.to_owned(), old: shown(old), new: shown(new) }
}

use serde::Serialize;
use serde_json::Value;

use crate::section::Section;

/// Kind of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, strum::Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// The item exists only in the new configuration.
    Added,
    /// The item exists only in the old configuration.
    Removed,
    /// Some fields of the item differ.
    Changed,
}

/// A field that differs.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Field {
    /// Name of the field; empty when the item is a single value.
    pub name: String,
    /// Value before.
    pub old: Value,
    /// Value after.
    pub new: Value,
}

/// A change of one item.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Change {
    /// Section of the item.
    pub section: Section,
    /// Id of the item.
    pub id: String,
    /// Kind of the change.
    pub kind: Kind,
    /// Fields that differ, for changed items only.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub fields: Vec<Field>,
}

impl std::fmt::Display for Change {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let sign = match self.kind {
            Kind::Added => '+',
            Kind::Removed => '-',
            Kind::Changed => '~',
        };
        write!(f, "{sign} {} {}", self.section, self.id)?;
        for field in &self.fields {
            let colon = if field.name.is_empty() { "" } else { ": " };
            write!(f, "\n    {}{colon}{} -> {}", field.name, field.old, field.new)?;
        }
        Ok(())
    }
}

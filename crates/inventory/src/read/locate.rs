//! Finds the line and column of a field.

use std::collections::BTreeMap;

use serde_json::value::RawValue;

use crate::read::Position;

/// Returns where the value at `field`, such as `runners[3].zone`, starts in `text`.
///
/// A last part that does not exist is passed over, so that a missing field is located at the
/// value that lacks it.
pub fn find(text: &str, field: &str) -> Option<Position> {
    let mut value: &RawValue = serde_json::from_str(text).ok()?;
    for step in steps(field) {
        match child(value, &step) {
            Some(next) => value = next,
            None => break,
        }
    }
    let offset = value.get().as_ptr() as usize - text.as_ptr() as usize;
    Some(position(text, offset))
}

/// A step from a value to a part of it.
enum Step {
    Name(String),
    Index(usize),
}

fn steps(field: &str) -> Vec<Step> {
    field
        .split(['.', '[', ']'])
        .filter(|part| !part.is_empty())
        .map(|part| part.parse().map_or_else(|_| Step::Name(part.to_owned()), Step::Index))
        .collect()
}

fn child<'a>(value: &'a RawValue, step: &Step) -> Option<&'a RawValue> {
    match step {
        Step::Name(name) => {
            let fields: BTreeMap<String, &RawValue> = serde_json::from_str(value.get()).ok()?;
            fields.get(name).copied()
        }
        Step::Index(index) => {
            let items: Vec<&RawValue> = serde_json::from_str(value.get()).ok()?;
            items.get(*index).copied()
        }
    }
}

fn position(text: &str, offset: usize) -> Position {
    let before = &text[..offset];
    let line = before.matches('\n').count() + 1;
    let column = offset - before.rfind('\n').map_or(0, |newline| newline + 1) + 1;
    Position { line, column }
}

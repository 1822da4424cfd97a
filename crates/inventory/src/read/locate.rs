//! Lookup of the line and column of a field.

use std::collections::BTreeMap;

use serde_json::value::RawValue;

use crate::read::Position;

/// Returns the position in `text` at which the value of `field`, such as `runners[3].zone`, starts.
///
/// The lookup ends at the first part of the path that does not exist, so that a missing field is
/// located at the value that lacks it. Returns `None` if `text` is not valid JSON.
pub fn find(text: &str, field: &str) -> Option<Position> {
    let mut value: &RawValue = serde_json::from_str(text).ok()?;
    for segment in segments(field) {
        match child(value, &segment) {
            Some(next) => value = next,
            None => break,
        }
    }
    let offset = value.get().as_ptr() as usize - text.as_ptr() as usize;
    Some(position_at(text, offset))
}

/// One part of the path of a field.
enum Segment {
    Name(String),
    Index(usize),
}

fn segments(field: &str) -> Vec<Segment> {
    field
        .split(['.', '[', ']'])
        .filter(|part| !part.is_empty())
        .map(|part| part.parse().map_or_else(|_| Segment::Name(part.to_owned()), Segment::Index))
        .collect()
}

fn child<'a>(value: &'a RawValue, segment: &Segment) -> Option<&'a RawValue> {
    match segment {
        Segment::Name(name) => {
            let fields: BTreeMap<String, &RawValue> = serde_json::from_str(value.get()).ok()?;
            fields.get(name).copied()
        }
        Segment::Index(index) => {
            let items: Vec<&RawValue> = serde_json::from_str(value.get()).ok()?;
            items.get(*index).copied()
        }
    }
}

fn position_at(text: &str, offset: usize) -> Position {
    let before = &text[..offset];
    let line = before.matches('\n').count() + 1;
    let column = offset - before.rfind('\n').map_or(0, |newline| newline + 1) + 1;
    Position { line, column }
}

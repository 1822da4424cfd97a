use std::collections::BTreeMap;

use serde_json::value::RawValue;

/// Text of a JSON file, in which the lines of fields can be looked up.
#[derive(Debug, Clone, Copy)]
pub struct Document<'a> {
    text: &'a str,
}

impl<'a> Document<'a> {
    /// Builds a document from the text of a file.
    pub const fn new(text: &'a str) -> Self {
        Self { text }
    }

    /// Returns the line, from 1, of the value at `path`; of its closest existing ancestor when the
    /// path does not exist.
    pub fn line_of(self, path: &str) -> usize {
        let mut value = self.text.trim_start();
        for segment in path_segments(path) {
            match child_value(value, segment) {
                Some(child) => value = child,
                None => break,
            }
        }
        let offset = value.as_ptr() as usize - self.text.as_ptr() as usize;
        self.text[..offset].matches('\n').count() + 1
    }
}

/// Splits a path such as `runners[2].zone` into field names and indexes.
fn path_segments(path: &str) -> impl Iterator<Item = &str> {
    path.split(['.', '[', ']']).filter(|s| !s.is_empty())
}

/// Returns the text of a field of an object, or of an element of an array.
fn child_value<'a>(value: &'a str, segment: &str) -> Option<&'a str> {
    if let Ok(index) = segment.parse::<usize>() {
        let elements: Vec<&'a RawValue> = serde_json::from_str(value).ok()?;
        return elements.get(index).map(|raw| raw.get());
    }
    let fields: BTreeMap<String, &'a RawValue> = serde_json::from_str(value).ok()?;
    fields.get(segment).map(|raw| raw.get())
}

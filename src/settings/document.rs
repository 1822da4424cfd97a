use std::collections::BTreeMap;

use serde_json::value::RawValue;

/// The text of a JSON file, which knows the lines of its fields.
#[derive(Debug, Clone, Copy)]
pub struct Document<'a> {
    text: &'a str,
}

impl<'a> Document<'a> {
    /// Wraps a text.
    pub const fn new(text: &'a str) -> Self {
        Self { text }
    }

    /// Returns the line, from 1, of the value at `path`, or of the nearest value around it.
    pub fn line_of(self, path: &str) -> usize {
        let mut value = self.text.trim_start();
        for step in steps(path) {
            match child(value, step) {
                Some(inner) => value = inner,
                None => break,
            }
        }
        let offset = value.as_ptr() as usize - self.text.as_ptr() as usize;
        self.text[..offset].matches('\n').count() + 1
    }
}

/// Splits a path such as `runners[2].zone` into its steps.
fn steps(path: &str) -> impl Iterator<Item = &str> {
    path.split(['.', '[', ']']).filter(|s| !s.is_empty())
}

/// Returns the text of a field or an element.
fn child<'a>(value: &'a str, step: &str) -> Option<&'a str> {
    if let Ok(index) = step.parse::<usize>() {
        let elements: Vec<&'a RawValue> = serde_json::from_str(value).ok()?;
        return elements.get(index).map(|raw| raw.get());
    }
    let fields: BTreeMap<String, &'a RawValue> = serde_json::from_str(value).ok()?;
    fields.get(step).map(|raw| raw.get())
}

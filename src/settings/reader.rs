use std::path::Path;

use error_stack::ResultExt;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::error;
use crate::error::Error;
use crate::settings::Check;
use crate::settings::Document;
use crate::settings::Problem;

/// Most problems with the names and types of fields that are reported at once.
const MAX_TYPE_PROBLEMS: usize = 32;

/// Reads and checks a settings file.
///
/// # Errors
///
/// Fails when the file cannot be read or is invalid; the message lists all problems with file,
/// line and field.
pub fn read<T>(file: &Path) -> error::Result<T>
where
    T: DeserializeOwned + Check,
{
    let text = std::fs::read_to_string(file)
        .change_context_lazy(|| Error::invalid(format!("cannot read {}", file.display())))?;
    parse(&text).map_err(|problems| {
        let lines: Vec<String> =
            problems.iter().map(|p| format!("{}:{p}", file.display())).collect();
        let count = lines.len();
        let noun = if count == 1 { "problem" } else { "problems" };
        Error::invalid(format!("{count} {noun} in the settings\n{}", lines.join("\n"))).into()
    })
}

/// Parses and checks the text of a settings file.
///
/// # Errors
///
/// Returns all problems, sorted by line.
pub fn parse<T>(text: &str) -> Result<T, Vec<Problem>>
where
    T: DeserializeOwned + Check,
{
    let value: Value = serde_json::from_str(text).map_err(|e| vec![syntax_problem(&e)])?;
    let document = Document::new(text);
    let mut problems = missing_fields::<T>(&value);
    let settings = deserialize_fields::<T>(value, &mut problems);
    match settings {
        Some(settings) if problems.is_empty() => {
            problems.extend(settings.check());
            if problems.is_empty() {
                return Ok(settings);
            }
        }
        _ => {}
    }
    for problem in &mut problems {
        problem.line = document.line_of(&problem.field);
    }
    problems.sort();
    Err(problems)
}

/// Returns the problem for malformed JSON.
fn syntax_problem(error: &serde_json::Error) -> Problem {
    let text = error.to_string();
    let message = text.split(" at line ").next().unwrap_or_default();
    Problem {
        line: error.line(),
        field: String::new(),
        message: format!("malformed JSON at column {}: {message}", error.column()),
    }
}

/// Returns a problem for each required field that is missing.
fn missing_fields<T: Check>(value: &Value) -> Vec<Problem> {
    let is_missing = |name: &&&str| value.get(**name).is_none();
    let required = T::required_fields().iter().filter(is_missing);
    required.map(|name| Problem::new("", format!("field `{name}` is missing"))).collect()
}

/// Deserializes the settings and adds a problem for each field that cannot be deserialized.
///
/// `serde` stops at the first error, so the faulty field is removed and the rest is tried again.
fn deserialize_fields<T: DeserializeOwned>(
    mut value: Value,
    problems: &mut Vec<Problem>,
) -> Option<T> {
    for _ in 0..MAX_TYPE_PROBLEMS {
        let error = match serde_path_to_error::deserialize::<_, T>(&value) {
            Ok(settings) => return Some(settings),
            Err(error) => error,
        };
        let path = error.path().to_string();
        let message = error.inner().to_string();
        let removed = remove_field(&mut value, &path);
        if message.starts_with("missing field") && !removed {
            push_missing_field(problems, &path, message);
            return None;
        }
        problems.push(Problem::new(path, message));
        if !removed {
            return None;
        }
    }
    None
}

/// Adds a problem for a missing field unless there are problems already: the field may be among
/// them, or may be missing because it was faulty and has been removed.
fn push_missing_field(problems: &mut Vec<Problem>, path: &str, message: String) {
    if problems.is_empty() {
        let path = if path == "." { "" } else { path };
        problems.push(Problem::new(path, message));
    }
}

/// Removes the field at `path` and returns whether it existed.
fn remove_field(value: &mut Value, path: &str) -> bool {
    let segments: Vec<&str> = path.split(['.', '[', ']']).filter(|s| !s.is_empty()).collect();
    let Some((last, parents)) = segments.split_last() else {
        return false;
    };
    let mut current = value;
    for segment in parents {
        let next = match segment.parse::<usize>() {
            Ok(index) => current.get_mut(index),
            Err(_) => current.get_mut(*segment),
        };
        match next {
            Some(next) => current = next,
            None => return false,
        }
    }
    match (current, last.parse::<usize>()) {
        (Value::Object(fields), _) => fields.remove(*last).is_some(),
        (Value::Array(elements), Ok(index)) if index < elements.len() => {
            elements.remove(index);
            true
        }
        _ => false,
    }
}

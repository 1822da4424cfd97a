use std::path::Path;

use error_stack::ResultExt;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::error;
use crate::error::Error;
use crate::settings::Check;
use crate::settings::Document;
use crate::settings::Problem;

/// Most problems that are collected from the types of the fields.
const MAX_TYPE_PROBLEMS: usize = 32;

/// Reads and checks a settings file.
///
/// # Errors
///
/// Fails when the file cannot be read or anything in it is wrong; the message lists all
/// problems with file, line and field.
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

/// Reads and checks settings.
///
/// # Errors
///
/// Returns every problem in the order of the lines.
pub fn parse<T>(text: &str) -> Result<T, Vec<Problem>>
where
    T: DeserializeOwned + Check,
{
    let value: Value = serde_json::from_str(text).map_err(|e| vec![syntax(&e)])?;
    let document = Document::new(text);
    let mut problems = missing::<T>(&value);
    let settings = typed::<T>(value, &mut problems);
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

/// Describes malformed JSON.
fn syntax(error: &serde_json::Error) -> Problem {
    let text = error.to_string();
    let message = text.split(" at line ").next().unwrap_or_default();
    Problem {
        line: error.line(),
        field: String::new(),
        message: format!("malformed JSON at column {}: {message}", error.column()),
    }
}

/// Returns the required fields that are not there.
fn missing<T: Check>(value: &Value) -> Vec<Problem> {
    let absent = |name: &&&str| value.get(**name).is_none();
    let required = T::required().iter().filter(absent);
    required.map(|name| Problem::new("", format!("field `{name}` is missing"))).collect()
}

/// Reads the fields; a field that cannot be read is noted and left out of the next try.
fn typed<T: DeserializeOwned>(mut value: Value, problems: &mut Vec<Problem>) -> Option<T> {
    for _ in 0..MAX_TYPE_PROBLEMS {
        let error = match serde_path_to_error::deserialize::<_, T>(&value) {
            Ok(settings) => return Some(settings),
            Err(error) => error,
        };
        let path = error.path().to_string();
        let message = error.inner().to_string();
        let removed = remove(&mut value, &path);
        if message.starts_with("missing field") && !removed {
            note_missing(problems, &path, message);
            return None;
        }
        problems.push(Problem::new(path, message));
        if !removed {
            return None;
        }
    }
    None
}

/// Notes a missing field unless it was noted before or was itself left out.
fn note_missing(problems: &mut Vec<Problem>, path: &str, message: String) {
    if problems.is_empty() {
        let path = if path == "." { "" } else { path };
        problems.push(Problem::new(path, message));
    }
}

/// Removes the field at `path` and tells whether it was there.
fn remove(value: &mut Value, path: &str) -> bool {
    let steps: Vec<&str> = path.split(['.', '[', ']']).filter(|s| !s.is_empty()).collect();
    let Some((last, parents)) = steps.split_last() else {
        return false;
    };
    let mut inner = value;
    for step in parents {
        let next = match step.parse::<usize>() {
            Ok(index) => inner.get_mut(index),
            Err(_) => inner.get_mut(*step),
        };
        match next {
            Some(next) => inner = next,
            None => return false,
        }
    }
    match (inner, last.parse::<usize>()) {
        (Value::Object(fields), _) => fields.remove(*last).is_some(),
        (Value::Array(elements), Ok(index)) if index < elements.len() => {
            elements.remove(index);
            true
        }
        _ => false,
    }
}

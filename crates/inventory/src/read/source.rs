use serde::de::DeserializeOwned;

use crate::read::Error;
use crate::read::locate;

/// Minimum similarity of a known name to be suggested for an unknown one, from 0 to 1.
const MIN_SIMILARITY: f64 = 0.7;

/// Field path of an error that concerns the file as a whole.
const WHOLE_FILE: &str = ".";
/// First character of the field path when parsing stopped before the first field.
const UNKNOWN_PATH: char = '?';

/// Position in a file.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
pub struct Position {
    /// Line, counted from 1.
    pub line: usize,
    /// Column in bytes, counted from 1.
    pub column: usize,
}

impl std::fmt::Display for Position {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}:{}", self.line, self.column)
    }
}

/// A JSON file in memory.
#[derive(Debug, Clone)]
pub struct Source {
    file: String,
    text: String,
}

impl Source {
    /// Creates a source from the name and the text of a file.
    pub fn new(file: impl Into<String>, text: impl Into<String>) -> Self {
        Self { file: file.into(), text: text.into() }
    }

    /// Returns the name of the file.
    pub fn file(&self) -> &str {
        &self.file
    }

    /// Parses the text as `T`.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not valid JSON or does not match `T`; the error names the
    /// file, field, line and column.
    pub fn read<T: DeserializeOwned>(&self) -> Result<T, Error> {
        let mut json = serde_json::Deserializer::from_str(&self.text);
        let value =
            serde_path_to_error::deserialize(&mut json).map_err(|e| self.located_error(&e))?;
        json.end().map_err(|e| self.json_error(WHOLE_FILE.to_owned(), &e))?;
        Ok(value)
    }

    /// Returns the position of the value of `field`, or of the closest enclosing value that exists;
    /// `None` if the text is not valid JSON.
    pub fn locate(&self, field: &str) -> Option<Position> {
        locate::find(&self.text, field)
    }

    fn located_error(&self, error: &serde_path_to_error::Error<serde_json::Error>) -> Error {
        let field = error.path().to_string();
        let path_is_known = !field.starts_with(UNKNOWN_PATH);
        self.json_error(if path_is_known { field } else { WHOLE_FILE.to_owned() }, error.inner())
    }

    fn json_error(&self, field: String, error: &serde_json::Error) -> Error {
        let position = Position { line: error.line(), column: error.column() };
        let text = error.to_string();
        let suffix = format!(" at line {} column {}", error.line(), error.column());
        let message = text.strip_suffix(&suffix).unwrap_or(&text).to_owned();
        let suggestion = suggestion_for(&message);
        Error { file: self.file.clone(), field, position, message, suggestion }
    }
}

/// Returns a suggestion for the unknown field or value that a `serde` error message is about.
///
/// Such a message quotes the unknown name first and then the names that were expected there.
fn suggestion_for(message: &str) -> Option<String> {
    let rest = message.strip_prefix("unknown ")?;
    let mut quoted = rest.split('`').skip(1).step_by(2);
    let unknown = quoted.next()?;
    crate::suggestion::nearest(unknown, quoted, MIN_SIMILARITY).map(str::to_owned)
}

use serde::de::DeserializeOwned;

use crate::read::Error;
use crate::read::locate;

/// Least similarity of a field's name that is worth a suggestion, from 0 to 1.
const MIN_SIMILARITY: f64 = 0.7;

/// Path of a problem with the file as a whole.
const WHOLE_FILE: &str = ".";
/// What a path starts with when reading stopped before its first field.
const UNKNOWN_PATH: char = '?';

/// A line and a column of a file, both counted from 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
pub struct Position {
    /// The line.
    pub line: usize,
    /// The column, in bytes.
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
    /// Keeps the text of the file with this name.
    pub fn new(file: impl Into<String>, text: impl Into<String>) -> Self {
        Self { file: file.into(), text: text.into() }
    }

    /// Returns the name of the file.
    pub fn file(&self) -> &str {
        &self.file
    }

    /// Reads the text as `T`.
    ///
    /// # Errors
    ///
    /// Fails when the text is not JSON of the expected shape; the error names file, field, line
    /// and column.
    pub fn read<T: DeserializeOwned>(&self) -> Result<T, Error> {
        let mut json = serde_json::Deserializer::from_str(&self.text);
        let value = serde_path_to_error::deserialize(&mut json).map_err(|e| self.error(&e))?;
        json.end().map_err(|e| self.json_error(WHOLE_FILE.to_owned(), &e))?;
        Ok(value)
    }

    /// Returns where the value at `field` starts, when there is such a field.
    pub fn locate(&self, field: &str) -> Option<Position> {
        locate::find(&self.text, field)
    }

    fn error(&self, error: &serde_path_to_error::Error<serde_json::Error>) -> Error {
        let field = error.path().to_string();
        let known = !field.starts_with(UNKNOWN_PATH);
        self.json_error(if known { field } else { WHOLE_FILE.to_owned() }, error.inner())
    }

    fn json_error(&self, field: String, error: &serde_json::Error) -> Error {
        let position = Position { line: error.line(), column: error.column() };
        let text = error.to_string();
        let suffix = format!(" at line {} column {}", error.line(), error.column());
        let message = text.strip_suffix(&suffix).unwrap_or(&text).to_owned();
        let suggestion = suggest(&message);
        Error { file: self.file.clone(), field, position, message, suggestion }
    }
}

/// Returns the expected name that is most similar to the unknown one that `message` quotes.
fn suggest(message: &str) -> Option<String> {
    let rest = message.strip_prefix("unknown ")?;
    let mut quoted = rest.split('`').skip(1).step_by(2);
    let unknown = quoted.next()?;
    crate::suggestion::nearest(unknown, quoted, MIN_SIMILARITY).map(str::to_owned)
}

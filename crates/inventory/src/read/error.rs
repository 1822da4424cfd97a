use crate::read::Position;

/// Error in the syntax or the types of a file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Error {
    /// Name of the file.
    pub file: String,
    /// Path of the field, such as `runners[3].zone`; `.` for the whole file.
    pub field: String,
    /// Position at which parsing stopped.
    pub position: Position,
    /// Description of the error.
    pub message: String,
    /// Known name that is similar to an unknown one.
    pub suggestion: Option<String>,
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}:{}: field {}: {}", self.file, self.position, self.field, self.message)?;
        match &self.suggestion {
            Some(name) => write!(f, "; did you mean `{name}`?"),
            None => Ok(()),
        }
    }
}

impl std::error::Error for Error {}

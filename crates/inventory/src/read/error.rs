use crate::read::Position;

/// A file that could not be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Error {
    /// Name of the file.
    pub file: String,
    /// Path of the field, such as `runners[3].zone`; `.` for the whole file.
    pub field: String,
    /// Where reading stopped.
    pub position: Position,
    /// What is wrong.
    pub message: String,
    /// A known field with a similar name.
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

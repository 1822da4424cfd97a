use std::fmt;

/// A problem of a settings file.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Problem {
    /// Line of the field, from 1.
    pub line: usize,
    /// Path of the field, such as `runners[2].zone`; empty for the whole file.
    pub field: String,
    /// Message, in lower case.
    pub message: String,
}

impl Problem {
    /// Builds a problem without a line; [`parse`](crate::settings::parse) fills the line in.
    pub fn new(field: impl Into<String>, message: impl Into<String>) -> Self {
        Self { line: 0, field: field.into(), message: message.into() }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.field.is_empty() {
            return write!(f, "{}: {}", self.line, self.message);
        }
        write!(f, "{}: field `{}`: {}", self.line, self.field, self.message)
    }
}

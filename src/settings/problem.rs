use std::fmt;

/// Something wrong with a field.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Problem {
    /// Line of the field, from 1.
    pub line: usize,
    /// Path of the field, such as `runners[2].zone`; empty for the whole file.
    pub field: String,
    /// What is wrong, in lower case.
    pub message: String,
}

impl Problem {
    /// Builds a problem whose line is not known yet.
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

use std::fmt;

use crate::error::Code;

/// A failure of a command: its kind and the message to the operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Error {
    code: Code,
    message: String,
}

impl Error {
    /// Builds a failure; the message names what failed and where, in lower case.
    pub fn new(code: Code, message: impl Into<String>) -> Self {
        Self { code, message: message.into() }
    }

    /// Builds a failure of kind [`Code::Usage`].
    pub fn usage(message: impl Into<String>) -> Self {
        Self::new(Code::Usage, message)
    }

    /// Builds a failure of kind [`Code::Invalid`].
    pub fn invalid(message: impl Into<String>) -> Self {
        Self::new(Code::Invalid, message)
    }

    /// Builds a failure of kind [`Code::Unreachable`].
    pub fn unreachable(message: impl Into<String>) -> Self {
        Self::new(Code::Unreachable, message)
    }

    /// Returns the kind of the failure.
    pub const fn code(&self) -> Code {
        self.code
    }

    /// Returns the message to the operator.
    pub fn message(&self) -> &str {
        &self.message
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for Error {}

impl From<pico_args::Error> for Error {
    fn from(error: pico_args::Error) -> Self {
        Self::usage(error.to_string())
    }
}

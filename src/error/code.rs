use std::process::ExitCode;

use strum::EnumMessage;
use strum::IntoEnumIterator;

/// Kind of a failure, which determines the exit code of the process.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    strum::Display,
    strum::EnumIter,
    strum::EnumMessage,
    strum::EnumString,
)]
#[strum(serialize_all = "snake_case")]
#[repr(u8)]
pub enum Code {
    /// The operation failed for a reason that no other code covers.
    #[strum(message = "the operation failed")]
    Failed = 1,
    /// The command line is invalid.
    #[strum(message = "the command line is wrong")]
    Usage = 2,
    /// A file cannot be read or is invalid.
    #[strum(message = "a file could not be read or holds something wrong")]
    Invalid = 3,
    /// Another operator's change was committed first, and nothing was changed.
    #[strum(message = "another change came first and nothing was changed")]
    Conflict = 4,
    /// The platform or a process did not answer.
    #[strum(message = "the platform or a process did not answer")]
    Unreachable = 5,
    /// The requested object does not exist.
    #[strum(message = "what was asked for does not exist")]
    NotFound = 6,
    /// The compared configurations differ.
    #[strum(message = "the compared configurations differ")]
    Differs = 7,
}

impl Code {
    /// Returns the exit code of the process.
    pub const fn number(self) -> u8 {
        self as u8
    }

    /// Returns the description of the code in the help text.
    pub fn description(self) -> &'static str {
        self.get_message().unwrap_or_default()
    }

    /// Returns every code.
    pub fn all() -> impl Iterator<Item = Self> {
        Self::iter()
    }
}

impl From<Code> for ExitCode {
    fn from(code: Code) -> Self {
        Self::from(code.number())
    }
}

use crate::check::Fault;
use crate::read::Source;

/// File that a problem is in.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, strum::Display, strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum File {
    /// The register.
    Register,
    /// The rules.
    Rules,
}

/// Problem that makes a register and its rules invalid.
#[derive(Debug, Clone, PartialEq)]
pub struct Problem {
    /// File of the field.
    pub file: File,
    /// Path of the field, such as `runners[3].zone`.
    pub field: String,
    /// Reason why the value is invalid.
    pub fault: Fault,
}

impl Problem {
    /// Returns the problem as text, with the name of its file and the line and column in `source`.
    pub fn describe(&self, source: &Source) -> String {
        match source.locate(&self.field) {
            Some(position) => {
                format!("{}:{position}: field {}: {}", source.file(), self.field, self.fault)
            }
            None => format!("{}: field {}: {}", source.file(), self.field, self.fault),
        }
    }
}

impl std::fmt::Display for Problem {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: field {}: {}", self.file, self.field, self.fault)
    }
}

use crate::check::Fault;
use crate::read::Source;

/// Which of the two files a problem is in.
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

/// Something that keeps a register and rules from being applied.
#[derive(Debug, Clone, PartialEq)]
pub struct Problem {
    /// The file.
    pub file: File,
    /// Path of the field, such as `runners[3].zone`.
    pub field: String,
    /// What is wrong.
    pub fault: Fault,
}

impl Problem {
    /// Describes the problem with the name and the line of the file that it is in.
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

use std::path::Path;

use error_stack::Report;
use kumquattiller_inventory::Configuration;
use kumquattiller_inventory::Version;
use kumquattiller_inventory::check::File;
use kumquattiller_inventory::check::check;
use kumquattiller_inventory::read::Source;
use kumquattiller_inventory::section::Items;
use serde::de::DeserializeOwned;

use crate::error;
use crate::error::Error;

/// Register and rules files that passed all checks.
#[derive(Debug, Clone)]
pub struct Files {
    /// Configuration of the two files; its version is [`Version::NONE`].
    pub configuration: Configuration,
}

impl Files {
    /// Reads and checks a register file and a rules file.
    ///
    /// # Errors
    ///
    /// Fails when a file cannot be read or is invalid; the message lists all problems, one a line,
    /// each with file, line and field.
    pub fn read(register: &Path, rules: &Path) -> error::Result<Self> {
        let register_source = read_source(register)?;
        let rules_source = read_source(rules)?;
        let register = parse_source(&register_source);
        let rules = parse_source(&rules_source);
        let (register, rules) = match (register, rules) {
            (Ok(register), Ok(rules)) => (register, rules),
            (Err(error), Ok(_)) | (Ok(_), Err(error)) => return Err(problems_error(&[error])),
            (Err(first), Err(second)) => return Err(problems_error(&[first, second])),
        };
        let problems = check(&register, &rules);
        if !problems.is_empty() {
            let lines: Vec<String> = problems
                .iter()
                .map(|problem| match problem.file {
                    File::Register => problem.describe(&register_source),
                    File::Rules => problem.describe(&rules_source),
                })
                .collect();
            return Err(problems_error(&lines));
        }
        Ok(Self { configuration: Configuration { version: Version::NONE, register, rules } })
    }

    /// Returns the configuration items of both files.
    pub fn items(&self) -> Items {
        Items::of(&self.configuration)
    }
}

fn read_source(path: &Path) -> error::Result<Source> {
    let name = path.display().to_string();
    match std::fs::read_to_string(path) {
        Ok(text) => Ok(Source::new(name, text)),
        Err(error) => Err(Error::invalid(format!("{name}: {error}")).into()),
    }
}

fn parse_source<T: DeserializeOwned>(source: &Source) -> Result<T, String> {
    source.read().map_err(|error| error.to_string())
}

fn problems_error(lines: &[String]) -> Report<Error> {
    let count = match lines.len() {
        1 => "1 problem".to_owned(),
        count => format!("{count} problems"),
    };
    Report::new(Error::invalid(format!("{count}\n{}", lines.join("\n"))))
}

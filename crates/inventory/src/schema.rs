//! JSON schemas of the files that operators write.

use schemars::Schema;
use schemars::schema_for;

use crate::register::Register;
use crate::rules::Rules;

/// Returns the JSON schema of a register file.
pub fn register() -> Schema {
    schema_for!(Register)
}

/// Returns the JSON schema of a rules file.
pub fn rules() -> Schema {
    schema_for!(Rules)
}

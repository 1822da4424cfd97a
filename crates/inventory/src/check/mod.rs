//! Validation of the register and the rules against each other.
//!
//! A check reports all problems at once, so that an operator can fix them in one pass.

mod fault;
mod index;
mod problem;
mod register;
mod rules;

pub use fault::Fault;
pub use problem::File;
pub use problem::Problem;

use crate::register::Register;
use crate::rules::Rules;

/// Returns all problems of a register and its rules; the result is empty if they are valid.
pub fn check(register: &Register, rules: &Rules) -> Vec<Problem> {
    let index = index::Index::new(register);
    let mut problems = register::check(register, &index);
    problems.extend(rules::check(register, rules, &index));
    problems
}

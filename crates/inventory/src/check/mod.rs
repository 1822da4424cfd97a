//! The whole check of register and rules.
//!
//! Every problem is found at once, so that an operator mends a file in one go.

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

/// Returns every problem of a register and its rules; none when they may be applied.
pub fn check(register: &Register, rules: &Rules) -> Vec<Problem> {
    let index = index::Index::of(register);
    let mut problems = register::check(register, &index);
    problems.extend(rules::check(register, rules, &index));
    problems
}

use crate::settings::Problem;

/// Checks that go beyond the types of the fields.
pub trait Check {
    /// Returns the top-level fields that must be there.
    fn required() -> &'static [&'static str];

    /// Returns what is wrong with the values.
    fn check(&self) -> Vec<Problem>;
}

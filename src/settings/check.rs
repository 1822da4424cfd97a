use crate::settings::Problem;

/// Checks of settings that the types of the fields do not express.
pub trait Check {
    /// Returns the names of the required top-level fields.
    fn required_fields() -> &'static [&'static str];

    /// Returns every problem of the values, or none.
    fn check(&self) -> Vec<Problem>;
}

//! Runners: each is a backend server together with the runner process beside it.

use crate::newtype::name;
use crate::newtype::number;

name!(
    /// Identifies a runner.
    Id
);

number!(
    /// Identifies one start of a runner process; a later start has a higher number.
    Incarnation(u64),
    ""
);

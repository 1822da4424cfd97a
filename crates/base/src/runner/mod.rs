//! Runners: a backend server with the process of the system beside it.

use crate::newtype::name;
use crate::newtype::number;

name!(
    /// Identifies a runner.
    Id
);

number!(
    /// Tells starts of a runner process apart; a later start has a higher number.
    Incarnation(u64),
    ""
);

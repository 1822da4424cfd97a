//! Entry daemons.

use crate::newtype::name;
use crate::newtype::number;

name!(
    /// Identifies an entry daemon by the name in its settings.
    Id
);

number!(
    /// Identifies one start of an entry daemon; a later start has a higher number.
    Incarnation(u64),
    ""
);

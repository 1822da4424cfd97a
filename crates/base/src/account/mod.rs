//! Client accounts.

use crate::newtype::name;
use crate::newtype::number;

name!(
    /// Identifies a client account.
    Id
);

number!(
    /// The rank of a client account under overload; 0 is served first.
    Rank(u8),
    ""
);

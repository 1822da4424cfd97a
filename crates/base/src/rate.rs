//! Rates per second.

use crate::newtype::number;

number!(
    /// Tokens a second.
    TokensPerSecond(u64),
    " tokens/s"
);

number!(
    /// Requests a second.
    RequestsPerSecond(u64),
    " requests/s"
);

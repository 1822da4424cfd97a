use std::time::Duration;

use kumquattiller_base::size::Tokens;

/// Memory limit and time limits of a table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// KV memory of the engine, in tokens.
    pub capacity: Tokens,
    /// Time after which an entry daemon that was not renewed with [`Table::renew_daemon`] loses its
    /// items and reservations.
    ///
    /// [`Table::renew_daemon`]: crate::Table::renew_daemon
    pub owner_timeout: Duration,
    /// Time after the start of the runner process for which items without an owner are kept, so that
    /// entry daemons can claim them.
    pub claim_grace: Duration,
    /// Delay before an unconfirmed action is repeated.
    pub retry_interval: Duration,
}

impl Limits {
    /// Returns the limits for an engine with `capacity`, with the default times.
    pub const fn new(capacity: Tokens) -> Self {
        Self {
            capacity,
            owner_timeout: Duration::from_secs(3),
            claim_grace: Duration::from_secs(2),
            retry_interval: Duration::from_millis(500),
        }
    }
}

use std::time::Duration;

use kumquattiller_base::runner;
use kumquattiller_base::size::Tokens;

use crate::engine::Profile;

/// Age from which a server is no longer believed to hold a prefix that no request has used.
pub const RETENTION: Duration = Duration::from_secs(60);

/// A beginning of a prompt that a server probably holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Copy {
    /// Id of the server.
    pub server: runner::Id,
    /// Length of the longest prefix that it holds.
    pub tokens: Tokens,
    /// Time since the prefix was last used there.
    pub age: Duration,
}

impl Copy {
    /// Returns how much prefill the copy is expected to save, in milliseconds. `free` is the memory
    /// of the server that no running request uses: an engine gives up the memory of finished requests
    /// for running ones. The older the belief, the less likely it holds.
    pub fn saved_ms(&self, profile: &Profile, free: Tokens) -> f64 {
        let likely = 1.0 - (self.age.as_secs_f64() / RETENTION.as_secs_f64()).min(1.0);
        profile.prefill_ms(self.tokens.min(free)) * likely
    }
}

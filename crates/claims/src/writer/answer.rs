use crate::Claim;
use crate::Granted;
use crate::Outcome;
use crate::Timestamp;

/// The writer's answer to a call that wanted a claim.
#[derive(Debug, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Answer {
    /// The call may start its request once.
    Granted(Claim<Granted>),
    /// An earlier call holds the key and may still run.
    Held {
        /// When its deadline passes.
        until: Timestamp,
    },
    /// An earlier call with the key ended.
    Finished(Outcome),
    /// An earlier call with the key may have run; its outcome was never recorded.
    Unknown,
    /// The key was used for another body.
    Reused,
    /// The shard of the key has no room for a record; this call started nothing.
    Full,
    /// The store did not take the record in time; this call started nothing.
    Unavailable,
}

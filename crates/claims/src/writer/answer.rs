use crate::Claim;
use crate::Granted;
use crate::Outcome;
use crate::Timestamp;

/// The writer's answer to a call that asked for a claim.
#[derive(Debug, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Answer {
    /// The call may start its request once.
    Granted(Claim<Granted>),
    /// An earlier call claimed the key, and its request may still run.
    Held {
        /// The deadline of the earlier call, until which its request may run.
        until: Timestamp,
    },
    /// An earlier call with the key ended.
    Finished(Outcome),
    /// An earlier call with the key may have run; its outcome was never recorded.
    Unknown,
    /// The key was used for a request with another fingerprint.
    Reused,
    /// The shard of the key has no room for a record; the request was not started.
    Full,
    /// The store did not confirm the record in time; the request was not started.
    Unavailable,
}

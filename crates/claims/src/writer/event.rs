use kumquattiller_base::fingerprint::Fingerprint;
use kumquattiller_base::request::Key;
use kumquattiller_base::time::Moment;

use crate::Attempt;
use crate::Outcome;
use crate::Shard;
use crate::Timestamp;
use crate::shard::Number;

/// Identifies a call within one entry daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// A call that asks for a claim.
#[derive(Debug, Clone)]
pub struct ClaimRequest {
    /// The call to answer.
    pub call: CallId,
    /// The key to claim.
    pub key: Key,
    /// Fingerprint of the call's request.
    pub fingerprint: Fingerprint,
    /// The attempt, drawn at random for this call.
    pub attempt: Attempt,
    /// The call's deadline on the wall clock.
    pub until: Timestamp,
    /// The latest time at which the request may start.
    pub start_by: Moment,
    /// Time at which the call is refused if the store has not confirmed the claim by then.
    pub answer_by: Moment,
}

/// The result of a read from the store.
#[derive(Debug, Clone)]
pub enum ReadResult {
    /// The object at this version, or `None` when there is none.
    Found(Option<(u64, Shard)>),
    /// The read failed.
    Unavailable,
}

/// The result of a write to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteResult {
    /// The write took effect and produced this version.
    Written(u64),
    /// The object does not have the expected version; nothing changed.
    Conflict,
    /// The store refused the call; nothing changed.
    Unavailable,
    /// No response arrived; the write may have taken effect or may still do so.
    Indeterminate,
}

/// Input of the writer.
#[derive(Debug)]
pub enum Event {
    /// A call asks for a claim.
    Claim(ClaimRequest),
    /// The request of a claim ended.
    Finish {
        /// The claimed key.
        key: Key,
        /// The claiming attempt.
        attempt: Attempt,
        /// How it ended.
        outcome: Outcome,
    },
    /// A claim was released; its request was not started.
    Release {
        /// The claimed key.
        key: Key,
        /// The claiming attempt.
        attempt: Attempt,
    },
    /// A read of a shard ended.
    Read(Number, ReadResult),
    /// A write of a shard ended.
    Write(Number, WriteResult),
    /// Time passed; needed when [`Writer::next_due`](crate::Writer::next_due) is reached.
    Tick,
}

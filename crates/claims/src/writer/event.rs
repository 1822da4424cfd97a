use kumquattiller_base::fingerprint::Fingerprint;
use kumquattiller_base::request::Key;
use kumquattiller_base::time::Moment;

use crate::Attempt;
use crate::Outcome;
use crate::Shard;
use crate::Timestamp;
use crate::shard::Number;

/// Tells the calls of one entry daemon apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Call(pub u64);

/// A call that wants a claim.
#[derive(Debug, Clone)]
pub struct Want {
    /// The call to answer.
    pub call: Call,
    /// The key.
    pub key: Key,
    /// Fingerprint of the call's body.
    pub fingerprint: Fingerprint,
    /// The attempt, drawn at random for this call.
    pub attempt: Attempt,
    /// The call's deadline on the shared clock.
    pub until: Timestamp,
    /// The end of the claim's start window.
    pub start_by: Moment,
    /// When the call is refused if the store has not decided.
    pub answer_by: Moment,
}

/// What the store said to a read.
#[derive(Debug, Clone)]
pub enum ReadResult {
    /// The object at this version, or `None` when there is none.
    Found(Option<(u64, Shard)>),
    /// The read failed.
    Unavailable,
}

/// What the store said to a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteResult {
    /// The write took effect and made this version.
    Written(u64),
    /// The object had another version; nothing changed.
    Conflict,
    /// The store refused the call; nothing changed.
    Unavailable,
    /// No answer came; the write may have taken effect or may still do.
    Lost,
}

/// What the writer hears.
#[derive(Debug)]
pub enum Event {
    /// A call wants a claim.
    Want(Want),
    /// A claimed request ended.
    Finish {
        /// The claimed key.
        key: Key,
        /// The claiming attempt.
        attempt: Attempt,
        /// How it ended.
        outcome: Outcome,
    },
    /// A claim was given up; its request was not started.
    Release {
        /// The claimed key.
        key: Key,
        /// The claiming attempt.
        attempt: Attempt,
    },
    /// The store answered a read.
    Read(Number, ReadResult),
    /// The store answered a write.
    Write(Number, WriteResult),
    /// Time passed.
    Tick,
}

use crate::freshness;

/// A call to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreCall {
    /// Kind of the objects.
    pub kind: freshness::Kind,
    /// What the call is for.
    pub purpose: Purpose,
    /// How it ended.
    pub outcome: CallOutcome,
}

/// What a call to the store is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Purpose {
    /// Registers this daemon.
    Register,
    /// Lists all objects.
    List,
    /// Waits for changes.
    Watch,
    /// Confirms a copy that is old or lacks a change.
    Confirm,
    /// Finds out whether the store responds again.
    Probe,
}

/// How a call to the store ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum CallOutcome {
    /// It succeeded.
    Done,
    /// The connection failed.
    Connection,
    /// The store did not answer in time.
    Timeout,
    /// The store answered with a status other than success.
    Status,
    /// The answer could not be decoded.
    Unreadable,
}

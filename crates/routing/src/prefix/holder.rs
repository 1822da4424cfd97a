use kumquattiller_base::runner::Id;
use kumquattiller_base::time::Moment;

/// A runner that computed a prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holder {
    /// Id of the runner.
    pub runner: Id,
    /// When it last computed or used the prefix.
    pub used_at: Moment,
    /// Number of gaps in the runner's reports when the entry was recorded.
    pub(super) gaps: u32,
}

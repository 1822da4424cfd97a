/// State of a member as seen by one daemon.
///
/// Among entries of the same incarnation, a later variant takes precedence.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    strum::Display,
    strum::EnumString,
    strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum State {
    /// It replies to heartbeats, or was not sent one yet.
    Alive,
    /// It did not reply to a heartbeat in time.
    Suspect,
    /// It remained suspect until the timeout and was removed.
    Dead,
    /// It announced that it leaves.
    Left,
}

impl State {
    /// Returns whether the member is considered live; suspects are.
    pub const fn is_live(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }
}

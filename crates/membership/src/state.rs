/// What a daemon believes of a member, in rising order of precedence at equal incarnations.
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
    /// It answers, or nobody has asked it yet.
    Alive,
    /// It did not answer in time.
    Suspect,
    /// It stayed suspect and was removed.
    Dead,
    /// It said that it leaves.
    Left,
}

impl State {
    /// Tells whether the member counts as live.
    pub const fn is_live(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }
}

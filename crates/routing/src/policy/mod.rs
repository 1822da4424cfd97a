//! Routing policies, selectable by name so that they can be compared with each other.

/// How the router picks a runner.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    Default,
    strum::Display,
    strum::EnumString,
    strum::EnumIter,
    strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum Policy {
    /// All runners in turn.
    RoundRobin,
    /// The runner with the fewest outstanding requests of this daemon.
    LeastOutstanding,
    /// The less loaded of two runners drawn at random.
    TwoChoices,
    /// The lowest estimated cost among all runners.
    #[strum(serialize = "kumquattiller_v1")]
    KumquattillerV1,
    /// The lowest estimated cost, with some engines dedicated to long prompts.
    #[strum(serialize = "kumquattiller_v2")]
    KumquattillerV2,
    /// As the second version, with a preference for runners that have a prefix cached.
    #[strum(serialize = "kumquattiller_v3")]
    KumquattillerV3,
    /// The latest version.
    #[default]
    Kumquattiller,
}

impl Policy {
    /// Returns whether runner processes queue, order and refuse requests under this policy.
    pub const fn has_gate(self) -> bool {
        !matches!(self, Self::RoundRobin | Self::LeastOutstanding | Self::TwoChoices)
    }
}

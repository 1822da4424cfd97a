//! Named policies, so that each can be measured beside the others.

/// How a runner is picked.
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
    /// Each runner in turn.
    RoundRobin,
    /// The runner with the fewest outstanding requests of this daemon.
    LeastOutstanding,
    /// The less loaded of two runners drawn at random.
    TwoChoices,
    /// The lowest estimated cost over all runners.
    #[strum(serialize = "kumquattiller_v1")]
    KumquattillerV1,
    /// The lowest estimated cost, with engines set aside for long prompts.
    #[strum(serialize = "kumquattiller_v2")]
    KumquattillerV2,
    /// As the second version, with prompts drawn to cached prefixes.
    #[strum(serialize = "kumquattiller_v3")]
    KumquattillerV3,
    /// The present best.
    #[default]
    Kumquattiller,
}

impl Policy {
    /// Tells whether runner processes hold, order and refuse requests under this policy.
    pub const fn has_gate(self) -> bool {
        !matches!(self, Self::RoundRobin | Self::LeastOutstanding | Self::TwoChoices)
    }
}

use kumquattiller_base::outcome::Outcome;

/// The kind of an outcome.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, strum::Display, strum::EnumIter, strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum OutcomeKind {
    /// The whole answer was delivered.
    Done,
    /// Nothing was started.
    NotRun,
    /// The request started and failed.
    Failed,
    /// Whether the request ran cannot be known.
    Unknown,
}

impl From<&Outcome> for OutcomeKind {
    fn from(outcome: &Outcome) -> Self {
        match outcome {
            Outcome::Done { .. } => Self::Done,
            Outcome::NotRun(_) => Self::NotRun,
            Outcome::Failed(_) => Self::Failed,
            Outcome::Unknown(_) => Self::Unknown,
        }
    }
}

/// The kind of process on the other side of a link.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, strum::Display, strum::EnumString, strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum LinkKind {
    /// An entry daemon.
    Entry,
    /// A runner process.
    Runner,
    /// The operator's command line.
    Operator,
}
